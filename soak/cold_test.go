package soak_test

import (
	"slices"
	"time"
)

const (
	coldService = "cold-desk"
	// coldStart is how long a server of the cold service is cold after its start, and
	// coldPerSecond how many requests a second it accepts then, as its policy declares.
	coldStart     = 3 * time.Second
	coldPerSecond = 8
	// maxColdPerSecond is the largest number of requests that may reach a cold server in
	// any second.
	maxColdPerSecond = coldPerSecond*3/2 + 5
	// renewInterval is how often servers of the cold service write their registry entry.
	// Entries assume that those are cold whose entry is not renewed.
	renewInterval = 1200 * time.Millisecond
	// noticeTime is longer than the entries need to learn of a cold period. They learn of
	// it late if the store fails or the coordinator ends at its beginning
	// (docs/design/cold.md), so that it counts once neither has happened for this time.
	noticeTime = 1500 * time.Millisecond
)

// coldPeriod is the time during which a server is cold.
type coldPeriod struct {
	// cause is why the server became cold.
	cause string
	since time.Time
	until time.Time
	// known is set when the entries have had the time to learn of the period.
	known bool
	// arrivals are the times of the requests of the last second in this period.
	arrivals []time.Time
}

// becomeCold begins a cold period of a server that runs.
func (backend *backend) becomeCold(duration time.Duration) {
	backend.mutex.Lock()
	if backend.service == coldService {
		now := time.Now()
		backend.cold = coldPeriod{cause: "again", since: now, until: now.Add(duration)}
	}
	backend.mutex.Unlock()
	backend.register()
}

// renew renews the server's entry of the registry until the test is over.
func (backend *backend) renew() {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			backend.register()
		case <-backend.soak.over:
			return
		}
	}
}

// checkCold checks that a request does not exceed what may reach a cold server.
func (backend *backend) checkCold(now time.Time) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if now.After(backend.cold.until) {
		return
	}
	cold, disturbed := &backend.cold, backend.soak.disturbedAt()
	undisturbed := disturbed.Before(cold.since.Add(-noticeTime))
	cold.known = cold.known || now.Sub(cold.since) > noticeTime && now.Sub(disturbed) > noticeTime
	if !cold.known && !undisturbed {
		return
	}
	cold.arrivals = append(slices.DeleteFunc(cold.arrivals, func(arrival time.Time) bool { return now.Sub(arrival) >= time.Second }), now)
	backend.soak.ledger.count("requests at cold servers")
	if len(cold.arrivals) > maxColdPerSecond {
		at := []int64{}
		for _, arrival := range cold.arrivals {
			at = append(at, arrival.Sub(cold.since).Milliseconds())
		}
		backend.soak.ledger.fault("COLD", "server %s, cold since %s (%s), got requests after %d ms", backend.id, cold.since.Format(time.TimeOnly+".000"), cold.cause, at)
	}
}

// disturbedAt returns the last time at which the store failed or an entry was ended.
func (soak *soak) disturbedAt() time.Time {
	ended := time.Unix(0, soak.disturbed.Load())
	if failed := soak.store.failedAt(); failed.After(ended) {
		return failed
	}
	return ended
}

func (soak *soak) coldServers() []*backend {
	return slices.DeleteFunc(slices.Clone(soak.servers), func(backend *backend) bool { return backend.usual != coldService })
}
