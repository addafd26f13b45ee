package crash

import (
	"slices"
	"sync"
	"time"
)

// maxTrackerSubjects bounds the requests that an entry stores, and the parts. One crash
// adds all requests that ran in the server; those with the most crashes are kept longest.
const maxTrackerSubjects = 256

// Tracker stores what one entry knows: its own suspicions, and those of other entries
// that the coordinator shares. It decides on quarantines without the coordinator, so
// that they outlive it. It is safe for concurrent use.
type Tracker struct {
	// mutex guards the fields below.
	mutex    sync.Mutex
	suspects suspects
	journal  journal
	// answers are those that this entry has seen.
	answers answers
	// released are the subjects whose quarantine has ended since the last call of Expire.
	released []Subject
	probes   probes
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{suspects: newSuspects(maxTrackerSubjects), answers: newAnswers(), probes: newProbes()}
}

// Add stores suspicions, whether the entry's own or those of others, and returns the
// subjects whose quarantine begins.
func (tracker *Tracker) Add(suspicions ...Suspicion) []Subject {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.add(suspicions...)
}

// add is Add, called with the mutex held.
func (tracker *Tracker) add(suspicions ...Suspicion) []Subject {
	before := map[Subject]bool{}
	for _, suspicion := range suspicions {
		if answeredAt := tracker.answers.last(suspicion.Fingerprint); suspicion.Part && answeredAt.After(suspicion.At) {
			suspicion.Server, suspicion.Cleared, suspicion.At = "", true, answeredAt
		}
		subject := suspicion.Subject()
		if _, seen := before[subject]; !seen {
			before[subject] = tracker.suspects.quarantined(subject)
		}
		if tracker.suspects.add(suspicion) {
			tracker.journal.add(suspicion)
		}
	}
	var begun []Subject
	for subject, was := range before {
		switch is := tracker.suspects.quarantined(subject); {
		case is && !was:
			begun = append(begun, subject)
		case was && !is:
			tracker.released = append(tracker.released, subject)
		}
	}
	return begun
}

// RecordAnswer records that a server began to answer a prompt with the given parts, so
// that none of them crashes servers.
func (tracker *Tracker) RecordAnswer(parts []Fingerprint, at time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, part := range parts {
		tracker.answers.record(part, at)
		subject := Subject{Fingerprint: part, Part: true}
		if tracker.suspects.count(subject) > 0 {
			tracker.add(Suspicion{Fingerprint: part, Part: true, Cleared: true, At: at})
		}
	}
}

// RecordCompletion records that a server answered a request completely, so that it does not
// crash servers.
func (tracker *Tracker) RecordCompletion(fingerprint Fingerprint, at time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.suspects.count(Subject{Fingerprint: fingerprint}) > 0 {
		tracker.add(Suspicion{Fingerprint: fingerprint, Cleared: true, At: at})
	}
}

// Expire drops suspicions older than [SuspicionLifetime] and returns the subjects whose
// quarantine has ended since the last call.
func (tracker *Tracker) Expire(now time.Time) []Subject {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	released := slices.Concat(tracker.released, tracker.suspects.expire(now))
	tracker.released = nil
	return released
}

// Since returns the suspicions that were added after the one with the given number, and
// the number to pass next time. Zero asks for all.
func (tracker *Tracker) Since(number int64) ([]Suspicion, int64) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	suspicions, complete := tracker.journal.since(number)
	if !complete {
		suspicions = tracker.suspects.all(0)
	}
	return suspicions, tracker.journal.lastNumber()
}

// Suspicions returns the suspicions that have not expired.
func (tracker *Tracker) Suspicions(now time.Time) []Suspicion {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return slices.DeleteFunc(tracker.suspects.all(1), func(suspicion Suspicion) bool {
		return suspicion.Cleared || now.Sub(suspicion.At) > SuspicionLifetime
	})
}

// Empty reports whether there are no suspicions.
func (tracker *Tracker) Empty() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return len(tracker.suspects.bySubject) == 0
}

// Quarantined reports whether a request must not be sent to any server.
func (tracker *Tracker) Quarantined(fingerprint Fingerprint) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.suspects.quarantined(Subject{Fingerprint: fingerprint})
}

// QuarantinedParts returns those of a prompt's parts with which it must not be sent to any
// server.
func (tracker *Tracker) QuarantinedParts(parts []Fingerprint) []Fingerprint {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var quarantined []Fingerprint
	for _, part := range parts {
		if tracker.suspects.quarantined(Subject{Fingerprint: part, Part: true}) && !slices.Contains(quarantined, part) {
			quarantined = append(quarantined, part)
		}
	}
	return quarantined
}
