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
	// observed receives a value after this entry has found evidence about a part.
	observed chan struct{}
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{suspects: newSuspects(maxTrackerSubjects), answers: newAnswers(), observed: make(chan struct{}, 1)}
}

// Add stores suspicions, whether the entry's own or those of others, and returns the
// requests whose quarantine begins.
func (tracker *Tracker) Add(suspicions ...Suspicion) []Subject {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var quarantined []Subject
	for _, suspicion := range suspicions {
		subject := suspicion.Subject()
		answeredAt := tracker.answers.last(suspicion.Fingerprint)
		switch {
		case suspicion.Part && answeredAt.After(suspicion.At):
			tracker.clear(subject, answeredAt)
		case suspicion.Cleared:
			// It is not reported to the coordinator again: its time would grow on the way.
			tracker.suspects.add(suspicion)
		default:
			former := tracker.suspects.quarantined(subject, time.Time{})
			if !tracker.suspects.add(suspicion) {
				continue
			}
			tracker.journal.add(suspicion)
			if !subject.Part && !former && tracker.suspects.quarantined(subject, time.Time{}) {
				quarantined = append(quarantined, subject)
			}
		}
	}
	return quarantined
}

// clear stores that this entry has seen the subject answered.
func (tracker *Tracker) clear(subject Subject, at time.Time) {
	clearance := Suspicion{Fingerprint: subject.Fingerprint, Part: subject.Part, Cleared: true, At: at}
	if tracker.suspects.add(clearance) {
		tracker.journal.add(clearance)
		tracker.notifyObserved()
	}
}

// Observed returns a channel that receives a value after this entry has found evidence
// about parts that the coordinator needs soon.
func (tracker *Tracker) Observed() <-chan struct{} { return tracker.observed }

func (tracker *Tracker) notifyObserved() {
	select {
	case tracker.observed <- struct{}{}:
	default:
	}
}

// AddOwn is Add for what this entry has found itself at a moment. It returns the subjects
// whose quarantine begins.
func (tracker *Tracker) AddOwn(now time.Time, suspicions ...Suspicion) []Subject {
	begun := tracker.Add(suspicions...)
	begun = append(begun, tracker.Settle(now)...)
	tracker.notifyObserved()
	return begun
}

// clearSuspect is clear for a subject that is suspected; it has no effect on others.
func (tracker *Tracker) clearSuspect(subject Subject, at time.Time) {
	if tracker.suspects.total(subject) > 0 {
		tracker.clear(subject, at)
	}
}

// Settle has unconfirmed suspicions count whose time has come, and new suspicions of parts
// after a while without an answer to a prompt with the part. It returns the requests whose
// quarantine has begun thereby, and the parts whose quarantine has begun since the last call.
// It has to be called regularly.
func (tracker *Tracker) Settle(now time.Time) []Subject {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.suspects.settle(now)
}

// TakeCounted returns the unconfirmed suspicions that have begun to count since the last
// call.
func (tracker *Tracker) TakeCounted() []Suspicion {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.suspects.takeCounted()
}

// Unconfirmed returns the unconfirmed suspicions that count after [UnconfirmedGrace] or
// earlier, and how many there are in all.
func (tracker *Tracker) Unconfirmed(now time.Time) ([]Suspicion, int) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var due []Suspicion
	count := 0
	for subject, known := range tracker.suspects.bySubject {
		count += len(known.unconfirmed)
		for server, ending := range known.unconfirmed {
			if ending.countsAt.Sub(now) <= UnconfirmedGrace {
				due = append(due, ending.suspicion(subject, server))
			}
		}
	}
	return due, count
}

// RecordAnswer records that a server began to answer a prompt with the given parts, so
// that none of them crashes servers.
func (tracker *Tracker) RecordAnswer(parts []Fingerprint, at time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, part := range parts {
		tracker.answers.record(part, at)
		tracker.clearSuspect(Subject{Fingerprint: part, Part: true}, at)
	}
}

// RecordCompletion records that a server answered a request completely, so that it does not
// crash servers.
func (tracker *Tracker) RecordCompletion(fingerprint Fingerprint, at time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.clearSuspect(Subject{Fingerprint: fingerprint}, at)
}

// Expire drops suspicions older than [SuspicionLifetime] and returns the subjects whose
// quarantine has ended since the last call.
func (tracker *Tracker) Expire(now time.Time) []Subject {
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
		suspicions = tracker.suspects.all(0)
	}
	return suspicions, tracker.journal.lastNumber()
}

// Suspicions returns the suspicions that count and have not expired.
func (tracker *Tracker) Suspicions(now time.Time) []Suspicion {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return slices.DeleteFunc(tracker.suspects.all(1), func(suspicion Suspicion) bool {
		return suspicion.Cleared || suspicion.Withdrawn || !tracker.suspects.counts(suspicion) || now.Sub(suspicion.At) > SuspicionLifetime
	})
}

// Empty reports whether there are no suspicions.
func (tracker *Tracker) Empty() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return len(tracker.suspects.bySubject) == 0
}

// QuarantinedCount returns the number of requests and parts that are quarantined.
func (tracker *Tracker) QuarantinedCount(now time.Time) int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	count := 0
	for subject := range tracker.suspects.bySubject {
		if tracker.suspects.quarantined(subject, now) {
			count++
		}
	}
	return count
}

// Quarantined reports whether a request must not be sent to any server.
func (tracker *Tracker) Quarantined(fingerprint Fingerprint) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.suspects.quarantined(Subject{Fingerprint: fingerprint}, time.Time{})
}

// NearQuarantine reports whether one more server is enough for a request to be quarantined.
// Without a coordinator, other entries may know of that server and this one doesn't.
func (tracker *Tracker) NearQuarantine(fingerprint Fingerprint) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.suspects.count(Subject{Fingerprint: fingerprint}) >= QuarantineThreshold-1
}

// QuarantinedParts returns those of a prompt's parts with which it must not be sent to any
// server.
func (tracker *Tracker) QuarantinedParts(parts []Fingerprint, now time.Time) []Fingerprint {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var quarantined []Fingerprint
	for _, part := range parts {
		if tracker.suspects.quarantined(Subject{Fingerprint: part, Part: true}, now) && !slices.Contains(quarantined, part) {
			quarantined = append(quarantined, part)
		}
	}
	return quarantined
}
