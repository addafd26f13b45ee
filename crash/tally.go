package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// tallyRequests bounds the requests that a coordinator remembers: those of a large
	// fleet whose engines all end at once.
	tallyRequests = 8192
	// suspectServers is how many servers end under a request before all entries are
	// told of it; most requests that meet one crash never meet another.
	suspectServers = 2
	// recordSightings bounds the record, of 80 bytes each, well below the megabyte that
	// the platform's service holds under a key.
	recordSightings = 4096
)

// Tally is what a coordinator knows of all entries' sightings. It is not safe for
// concurrent use. A new one is filled by the entries' next reports.
type Tally struct {
	cases   cases
	journal journal
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{cases: newCases(tallyRequests)} }

// Add takes in an entry's sightings.
func (tally *Tally) Add(sightings []Sighting) {
	for _, sighting := range sightings {
		if !tally.cases.add(sighting) {
			continue
		}
		switch count := tally.cases.count(sighting.Fingerprint); {
		case count == suspectServers:
			tally.journal.add(tally.cases.sightings(sighting.Fingerprint)...)
		case count > suspectServers:
			tally.journal.add(sighting)
		}
	}
}

// Expire forgets what is older than [Lifetime].
func (tally *Tally) Expire(now time.Time) { tally.cases.expire(now) }

// Since returns the sightings that matter to all entries which the tally has learned
// after a number, and the number to go on from; zero asks for all.
func (tally *Tally) Since(number int64) ([]Sighting, int64) {
	sightings, kept := tally.journal.since(number)
	if !kept {
		sightings = tally.cases.all(suspectServers)
	}
	return sightings, tally.journal.end()
}

// Number is that of the newest sighting that matters to all entries.
func (tally *Tally) Number() int64 { return tally.journal.end() }

// Record returns what outlives all entries.
func (tally *Tally) Record() Record {
	sightings := tally.cases.all(suspectServers)
	slices.SortStableFunc(sightings, func(a, b Sighting) int {
		return cmp.Or(cmp.Compare(tally.cases.count(b.Fingerprint), tally.cases.count(a.Fingerprint)), b.At.Compare(a.At))
	})
	return Record{sightings: sightings[:min(len(sightings), recordSightings)]}
}
