package crash

import (
	"sync"
	"time"
)

const (
	// Threshold is how many servers a request crashes before it is quarantined. Two
	// crashes beside a common lookup may be chance.
	Threshold = 3
	// memory is how long a sighting counts; callers send again within their deadlines
	// of some seconds, and operators' days have hours.
	memory = 10 * time.Minute
	// mostSightings bounds what an entry remembers and tells.
	mostSightings = 256
)

// Sighting is a server that ended while it ran a request.
type Sighting struct {
	Fingerprint Fingerprint
	// Server names one incarnation.
	Server string
}

// Book is what one entry knows. It is safe for concurrent use.
type Book struct {
	// mutex guards all below.
	mutex       sync.Mutex
	sightings   map[Sighting]time.Time
	quarantined map[Fingerprint]bool
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{sightings: map[Sighting]time.Time{}, quarantined: map[Fingerprint]bool{}}
}

// Saw notes a sighting.
func (book *Book) Saw(sighting Sighting, now time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	for other, at := range book.sightings {
		if now.Sub(at) > memory {
			delete(book.sightings, other)
		}
	}
	if len(book.sightings) < mostSightings {
		book.sightings[sighting] = now
	}
}

// Sightings returns what is remembered, for the coordinator.
func (book *Book) Sightings(now time.Time) []Sighting {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	var sightings []Sighting
	for sighting, at := range book.sightings {
		if now.Sub(at) <= memory {
			sightings = append(sightings, sighting)
		}
	}
	return sightings
}

// Quarantine takes over which requests are quarantined, in place of what was
// told before. It returns those that are new and those that no longer are.
func (book *Book) Quarantine(fingerprints []Fingerprint) (begun, ended []Fingerprint) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	former := book.quarantined
	book.quarantined = make(map[Fingerprint]bool, len(fingerprints))
	for _, fingerprint := range fingerprints {
		book.quarantined[fingerprint] = true
		if !former[fingerprint] {
			begun = append(begun, fingerprint)
		}
	}
	for fingerprint := range former {
		if !book.quarantined[fingerprint] {
			ended = append(ended, fingerprint)
		}
	}
	return begun, ended
}

// Empty tells whether nothing is quarantined.
func (book *Book) Empty() bool {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return len(book.quarantined) == 0
}

// Quarantined tells whether a request may reach no server.
func (book *Book) Quarantined(fingerprint Fingerprint) bool {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return book.quarantined[fingerprint]
}
