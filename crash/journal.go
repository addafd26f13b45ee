package crash

import "slices"

// mostJournalled bounds the sightings that a journal keeps for others.
const mostJournalled = 1024

// journal numbers sightings in the order in which they became known, so that others
// are told only of those that they lack. It is not safe for concurrent use.
type journal struct {
	// dropped counts sightings that are no longer kept.
	dropped   int64
	sightings []Suspicion
}

func (journal *journal) add(sightings ...Suspicion) {
	journal.sightings = append(journal.sightings, sightings...)
	if excess := len(journal.sightings) - mostJournalled; excess > 0 {
		journal.sightings = slices.Clone(journal.sightings[excess:])
		journal.dropped += int64(excess)
	}
}

// end is the number of the newest sighting.
func (journal *journal) end() int64 { return journal.dropped + int64(len(journal.sightings)) }

// since returns what came after a number, and false where a part is no longer kept.
func (journal *journal) since(number int64) ([]Suspicion, bool) {
	if number < journal.dropped {
		return nil, false
	}
	from := min(number-journal.dropped, int64(len(journal.sightings)))
	return slices.Clone(journal.sightings[from:]), true
}
