package crash

import (
	"slices"
	"time"
)

// Tally is what a coordinator knows of all entries' sightings. It is not safe for
// concurrent use. A new one is filled by the entries' next reports.
type Tally struct {
	servers map[Fingerprint]map[string]time.Time
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{servers: map[Fingerprint]map[string]time.Time{}} }

// Add takes in an entry's sightings.
func (tally *Tally) Add(sightings []Sighting, now time.Time) {
	for _, sighting := range sightings {
		if tally.servers[sighting.Fingerprint] == nil {
			tally.servers[sighting.Fingerprint] = map[string]time.Time{}
		}
		tally.servers[sighting.Fingerprint][sighting.Server] = now
	}
}

// Quarantined lists the requests that have crashed enough servers.
func (tally *Tally) Quarantined(now time.Time) []Fingerprint {
	var quarantined []Fingerprint
	for fingerprint, servers := range tally.servers {
		for server, at := range servers {
			if now.Sub(at) > memory {
				delete(servers, server)
			}
		}
		switch {
		case len(servers) == 0:
			delete(tally.servers, fingerprint)
		case len(servers) >= Threshold:
			quarantined = append(quarantined, fingerprint)
		}
	}
	slices.Sort(quarantined)
	return quarantined
}
