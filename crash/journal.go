package crash

import "slices"

// maxJournalled bounds the suspicions that a journal keeps.
const maxJournalled = 1024

// journal numbers suspicions in the order in which they are added, so that only those
// that a receiver lacks are sent to it. It is not safe for concurrent use.
type journal struct {
	// dropped counts the suspicions that are no longer kept.
	dropped    int64
	suspicions []Suspicion
}

func (journal *journal) add(suspicions ...Suspicion) {
	journal.suspicions = append(journal.suspicions, suspicions...)
	if excess := len(journal.suspicions) - maxJournalled; excess > 0 {
		journal.suspicions = slices.Clone(journal.suspicions[excess:])
		journal.dropped += int64(excess)
	}
}

// lastNumber returns the number of the newest suspicion.
func (journal *journal) lastNumber() int64 { return journal.dropped + int64(len(journal.suspicions)) }

// since returns the suspicions after the one with the given number, or false if some of
// them are no longer kept.
func (journal *journal) since(number int64) ([]Suspicion, bool) {
	if number < journal.dropped {
		return nil, false
	}
	from := min(number-journal.dropped, int64(len(journal.suspicions)))
	return slices.Clone(journal.suspicions[from:]), true
}
