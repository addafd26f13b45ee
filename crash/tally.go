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

// Aggregator is what a coordinator knows of all entries' sightings. It is not safe for
// concurrent use. A new one is filled by the entries' next reports.
type Aggregator struct {
	cases   cases
	journal journal
}

// NewAggregator returns an empty tally.
func NewAggregator() *Aggregator { return &Aggregator{cases: newCases(tallyRequests)} }

// Add takes in an entry's sightings.
func (aggregator *Aggregator) Add(sightings []Suspicion) {
	for _, suspicion := range sightings {
		if !aggregator.cases.add(suspicion) {
			continue
		}
		switch count := aggregator.cases.count(suspicion.Fingerprint); {
		case count == suspectServers:
			aggregator.journal.add(aggregator.cases.sightings(suspicion.Fingerprint)...)
		case count > suspectServers:
			aggregator.journal.add(suspicion)
		}
	}
}

// Expire forgets what is older than [Lifetime].
func (aggregator *Aggregator) Expire(now time.Time) { aggregator.cases.expire(now) }

// Since returns the sightings that matter to all entries which the tally has learned
// after a number, and the number to go on from; zero asks for all.
func (aggregator *Aggregator) Since(number int64) ([]Suspicion, int64) {
	sightings, kept := aggregator.journal.since(number)
	if !kept {
		sightings = aggregator.cases.all(suspectServers)
	}
	return sightings, aggregator.journal.end()
}

// LastNumber is that of the newest sighting that matters to all entries.
func (aggregator *Aggregator) LastNumber() int64 { return aggregator.journal.end() }

// Record returns what outlives all entries.
func (aggregator *Aggregator) Record() Record {
	sightings := aggregator.cases.all(suspectServers)
	slices.SortStableFunc(sightings, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(aggregator.cases.count(b.Fingerprint), aggregator.cases.count(a.Fingerprint)), b.At.Compare(a.At))
	})
	return Record{sightings: sightings[:min(len(sightings), recordSightings)]}
}
