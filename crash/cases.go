package crash

import (
	"maps"
	"time"
)

// sweepPeriod is the time between two looks for old sightings.
const sweepPeriod = 10 * time.Second

// cases holds sightings by the request that ran, for a bounded number of requests.
// It is not safe for concurrent use.
type cases struct {
	most      int
	byRequest map[Fingerprint]*incident
	swept     time.Time
}

// incident is what is known of one request.
type incident struct {
	// servers has an entry for each server that ended, with when that was found.
	servers map[string]time.Time
	// newest is the time of the last of them.
	newest time.Time
}

func newCases(most int) cases { return cases{most: most, byRequest: map[Fingerprint]*incident{}} }

// add tells whether a sighting is new. Where there are too many requests, it drops
// the one with the fewest servers, the oldest of these first.
func (cases *cases) add(suspicion Suspicion) bool {
	known, found := cases.byRequest[suspicion.Fingerprint]
	if !found {
		if len(cases.byRequest) >= cases.most {
			cases.evict()
		}
		known = &incident{servers: map[string]time.Time{}}
		cases.byRequest[suspicion.Fingerprint] = known
	}
	if _, seen := known.servers[suspicion.Server]; seen {
		return false
	}
	known.servers[suspicion.Server] = suspicion.At
	if suspicion.At.After(known.newest) {
		known.newest = suspicion.At
	}
	return true
}

// count returns how many servers have ended under a request.
func (cases *cases) count(fingerprint Fingerprint) int {
	known, found := cases.byRequest[fingerprint]
	if !found {
		return 0
	}
	return len(known.servers)
}

// all returns the sightings of requests under which at least that many servers have
// ended.
func (cases *cases) all(least int) []Suspicion {
	var sightings []Suspicion
	for fingerprint, known := range cases.byRequest {
		if len(known.servers) >= least {
			sightings = append(sightings, cases.sightings(fingerprint)...)
		}
	}
	return sightings
}

// sightings returns those of one request.
func (cases *cases) sightings(fingerprint Fingerprint) []Suspicion {
	known, found := cases.byRequest[fingerprint]
	if !found {
		return nil
	}
	sightings := make([]Suspicion, 0, len(known.servers))
	for server, at := range known.servers {
		sightings = append(sightings, Suspicion{Fingerprint: fingerprint, Server: server, At: at})
	}
	return sightings
}

// expire drops sightings older than [Lifetime], and returns the requests that no
// longer are quarantined.
func (cases *cases) expire(now time.Time) []Fingerprint {
	if now.Sub(cases.swept) < sweepPeriod {
		return nil
	}
	cases.swept = now
	var ended []Fingerprint
	for fingerprint, known := range cases.byRequest {
		before := len(known.servers)
		maps.DeleteFunc(known.servers, func(_ string, at time.Time) bool { return now.Sub(at) > Lifetime })
		if before >= Threshold && len(known.servers) < Threshold {
			ended = append(ended, fingerprint)
		}
		if len(known.servers) == 0 {
			delete(cases.byRequest, fingerprint)
		}
	}
	return ended
}

func (cases *cases) evict() {
	var least Fingerprint
	var weakest *incident
	for fingerprint, known := range cases.byRequest {
		if weakest == nil || len(known.servers) < len(weakest.servers) ||
			(len(known.servers) == len(weakest.servers) && known.newest.Before(weakest.newest)) {
			least, weakest = fingerprint, known
		}
	}
	delete(cases.byRequest, least)
}
