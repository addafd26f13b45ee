package crash

import (
	"slices"
	"sync"
	"time"
)

// maxTrackerRequests bounds the requests that an entry stores. One crash adds all
// requests that ran in the server; those with the most crashes are kept longest.
const maxTrackerRequests = 256

// Tracker stores what one entry knows: its own suspicions, and those of other entries
// that the coordinator shares. It decides on quarantines without the coordinator, so
// that they outlive it. It is safe for concurrent use.
type Tracker struct {
	// mutex guards the fields below.
	mutex    sync.Mutex
	suspects suspects
	journal  journal
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{suspects: newSuspects(maxTrackerRequests)} }

// Add stores suspicions, whether the entry's own or those of others, and returns the
// requests whose quarantine begins.
func (tracker *Tracker) Add(suspicions ...Suspicion) []Fingerprint {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var quarantined []Fingerprint
	for _, suspicion := range suspicions {
		if !tracker.suspects.add(suspicion) {
			continue
		}
		tracker.journal.add(suspicion)
		if tracker.suspects.count(suspicion.Fingerprint) == QuarantineThreshold {
			quarantined = append(quarantined, suspicion.Fingerprint)
		}
	}
	return quarantined
}

// Expire drops suspicions older than [SuspicionLifetime] and returns the requests whose
// quarantine has ended.
func (tracker *Tracker) Expire(now time.Time) []Fingerprint {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.suspects.expire(now)
}

// Since returns the suspicions that were added after the one with the given number, and
// the number to pass next time. Zero asks for all.
func (tracker *Tracker) Since(number int64) ([]Suspicion, int64) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	suspicions, complete := tracker.journal.since(number)
	if !complete {
		suspicions = tracker.suspects.all(1)
	}
	return suspicions, tracker.journal.lastNumber()
}

// Suspicions returns the suspicions that have not expired.
func (tracker *Tracker) Suspicions(now time.Time) []Suspicion {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return slices.DeleteFunc(tracker.suspects.all(1), func(suspicion Suspicion) bool { return now.Sub(suspicion.At) > SuspicionLifetime })
}

// Empty reports whether there are no suspicions.
func (tracker *Tracker) Empty() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return len(tracker.suspects.byFingerprint) == 0
}

// Quarantined reports whether a request must not be sent to any server.
func (tracker *Tracker) Quarantined(fingerprint Fingerprint) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.suspects.count(fingerprint) >= QuarantineThreshold
}
