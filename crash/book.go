package crash

import (
	"slices"
	"sync"
	"time"
)

// bookRequests bounds the requests that an entry remembers: one crash adds all that
// ran in the server, and those that end further servers are kept longest.
const bookRequests = 256

// Book is what one entry knows: its own sightings, and those of other entries that
// matter. It judges by itself, so that a quarantine outlives the coordinator. It is
// safe for concurrent use.
type Book struct {
	// mutex guards all below.
	mutex   sync.Mutex
	cases   cases
	journal journal
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{cases: newCases(bookRequests)} }

// Learn adds sightings, own ones and those of others, and returns the requests that
// are quarantined from now on.
func (book *Book) Learn(sightings ...Sighting) []Fingerprint {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	var begun []Fingerprint
	for _, sighting := range sightings {
		if !book.cases.add(sighting) {
			continue
		}
		book.journal.add(sighting)
		if book.cases.count(sighting.Fingerprint) == Threshold {
			begun = append(begun, sighting.Fingerprint)
		}
	}
	return begun
}

// Expire forgets what is older than [Lifetime] and returns the requests that are no
// longer quarantined.
func (book *Book) Expire(now time.Time) []Fingerprint {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return book.cases.expire(now)
}

// Since returns what the book has learned after a number, and the number to go on
// from; zero asks for all.
func (book *Book) Since(number int64) ([]Sighting, int64) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	sightings, kept := book.journal.since(number)
	if !kept {
		sightings = book.cases.all(1)
	}
	return sightings, book.journal.end()
}

// Sightings returns what counts at a time.
func (book *Book) Sightings(now time.Time) []Sighting {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return slices.DeleteFunc(book.cases.all(1), func(sighting Sighting) bool { return now.Sub(sighting.At) > Lifetime })
}

// Empty tells whether nothing is known.
func (book *Book) Empty() bool {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return len(book.cases.byRequest) == 0
}

// Quarantined tells whether a request may reach no server.
func (book *Book) Quarantined(fingerprint Fingerprint) bool {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return book.cases.count(fingerprint) >= Threshold
}
