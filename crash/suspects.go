package crash

import (
	"maps"
	"time"
)

// expiryInterval is the least time between two sweeps for expired suspicions.
const expiryInterval = 10 * time.Second

// suspects stores the suspicions of a bounded number of requests. It is not safe for
// concurrent use.
type suspects struct {
	maxRequests   int
	byFingerprint map[Fingerprint]*suspect
	lastExpiry    time.Time
}

// suspect is what is known of one request that is suspected of a crash.
type suspect struct {
	// servers maps each server that ended while it ran the request to the time at
	// which that was found.
	servers map[string]time.Time
	// lastCrash is the latest of these times.
	lastCrash time.Time
}

func newSuspects(maxRequests int) suspects {
	return suspects{maxRequests: maxRequests, byFingerprint: map[Fingerprint]*suspect{}}
}

// add stores a suspicion and reports whether it is new. If there are too many requests,
// it evicts one.
func (suspects *suspects) add(suspicion Suspicion) bool {
	known, found := suspects.byFingerprint[suspicion.Fingerprint]
	if !found {
		if len(suspects.byFingerprint) >= suspects.maxRequests {
			suspects.evict()
		}
		known = &suspect{servers: map[string]time.Time{}}
		suspects.byFingerprint[suspicion.Fingerprint] = known
	}
	if _, seen := known.servers[suspicion.Server]; seen {
		return false
	}
	known.servers[suspicion.Server] = suspicion.At
	if suspicion.At.After(known.lastCrash) {
		known.lastCrash = suspicion.At
	}
	return true
}

// count returns how many servers have ended while they ran a request.
func (suspects *suspects) count(fingerprint Fingerprint) int {
	known, found := suspects.byFingerprint[fingerprint]
	if !found {
		return 0
	}
	return len(known.servers)
}

// all returns the suspicions of every request that at least minServers servers ran when
// they ended.
func (suspects *suspects) all(minServers int) []Suspicion {
	var suspicions []Suspicion
	for fingerprint, known := range suspects.byFingerprint {
		if len(known.servers) >= minServers {
			suspicions = append(suspicions, suspects.suspicions(fingerprint)...)
		}
	}
	return suspicions
}

// suspicions returns the suspicions of one request.
func (suspects *suspects) suspicions(fingerprint Fingerprint) []Suspicion {
	known, found := suspects.byFingerprint[fingerprint]
	if !found {
		return nil
	}
	suspicions := make([]Suspicion, 0, len(known.servers))
	for server, at := range known.servers {
		suspicions = append(suspicions, Suspicion{Fingerprint: fingerprint, Server: server, At: at})
	}
	return suspicions
}

// expire drops suspicions older than [SuspicionLifetime] and returns the requests whose
// quarantine has ended.
func (suspects *suspects) expire(now time.Time) []Fingerprint {
	if now.Sub(suspects.lastExpiry) < expiryInterval {
		return nil
	}
	suspects.lastExpiry = now
	var released []Fingerprint
	for fingerprint, known := range suspects.byFingerprint {
		before := len(known.servers)
		maps.DeleteFunc(known.servers, func(_ string, at time.Time) bool { return now.Sub(at) > SuspicionLifetime })
		if before >= QuarantineThreshold && len(known.servers) < QuarantineThreshold {
			released = append(released, fingerprint)
		}
		if len(known.servers) == 0 {
			delete(suspects.byFingerprint, fingerprint)
		}
	}
	return released
}

// evict drops the request with the fewest servers, and among those the one whose last
// crash is the oldest.
func (suspects *suspects) evict() {
	var evicted Fingerprint
	var weakest *suspect
	for fingerprint, known := range suspects.byFingerprint {
		if weakest == nil || len(known.servers) < len(weakest.servers) ||
			(len(known.servers) == len(weakest.servers) && known.lastCrash.Before(weakest.lastCrash)) {
			evicted, weakest = fingerprint, known
		}
	}
	delete(suspects.byFingerprint, evicted)
}
