package crash

import (
	"slices"
	"sync"
	"time"
)

// bookRequests bounds the requests that an entry remembers: one crash adds all that
// ran in the server, and those that end further servers are kept longest.
const bookRequests = 256

// Tracker is what one entry knows: its own sightings, and those of other entries that
// matter. It judges by itself, so that a quarantine outlives the coordinator. It is
// safe for concurrent use.
type Tracker struct {
	// mutex guards all below.
	mutex   sync.Mutex
	cases   cases
	journal journal
}

// NewTracker returns an empty book.
func NewTracker() *Tracker { return &Tracker{cases: newCases(bookRequests)} }

// Add adds sightings, own ones and those of others, and returns the requests that
// are quarantined from now on.
func (tracker *Tracker) Add(sightings ...Suspicion) []Fingerprint {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var begun []Fingerprint
	for _, suspicion := range sightings {
		if !tracker.cases.add(suspicion) {
			continue
		}
		tracker.journal.add(suspicion)
		if tracker.cases.count(suspicion.Fingerprint) == Threshold {
			begun = append(begun, suspicion.Fingerprint)
		}
	}
	return begun
}

// Expire forgets what is older than [Lifetime] and returns the requests that are no
// longer quarantined.
func (tracker *Tracker) Expire(now time.Time) []Fingerprint {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.cases.expire(now)
}

// Since returns what the book has learned after a number, and the number to go on
// from; zero asks for all.
func (tracker *Tracker) Since(number int64) ([]Suspicion, int64) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	sightings, kept := tracker.journal.since(number)
	if !kept {
		sightings = tracker.cases.all(1)
	}
	return sightings, tracker.journal.end()
}

// Suspicions returns what counts at a time.
func (tracker *Tracker) Suspicions(now time.Time) []Suspicion {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return slices.DeleteFunc(tracker.cases.all(1), func(suspicion Suspicion) bool { return now.Sub(suspicion.At) > Lifetime })
}

// Empty tells whether nothing is known.
func (tracker *Tracker) Empty() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return len(tracker.cases.byRequest) == 0
}

// Quarantined tells whether a request may reach no server.
func (tracker *Tracker) Quarantined(fingerprint Fingerprint) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.cases.count(fingerprint) >= Threshold
}
