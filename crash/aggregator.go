package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxAggregatorSubjects bounds the requests that a coordinator stores, and the parts.
	// It is enough for a large fleet whose engines all end at once.
	maxAggregatorSubjects = 8192
	// sharedThreshold is how many servers must have ended while they ran a subject for
	// its suspicions to be shared with all entries. Most requests that ran during one
	// crash do not run during another.
	sharedThreshold = 2
	// maxRecordSuspicions bounds the size of a record: at 80 bytes each, it stays well
	// below the megabyte that the platform's service stores under a key.
	maxRecordSuspicions = 4096
)

// Aggregator is a coordinator's view of all entries' suspicions. Each term begins with
// an empty one, which the entries' next reports fill. It is not safe for concurrent use.
type Aggregator struct {
	suspects suspects
	journal  journal
	// probes maps parts to the times of their last probes.
	probes map[Fingerprint]time.Time
}

// NewAggregator returns an empty aggregator.
func NewAggregator() *Aggregator {
	return &Aggregator{suspects: newSuspects(maxAggregatorSubjects), probes: map[Fingerprint]time.Time{}}
}

// Add stores suspicions that an entry reports.
func (aggregator *Aggregator) Add(suspicions []Suspicion) {
	for _, suspicion := range suspicions {
		added := aggregator.suspects.add(suspicion)
		known, found := aggregator.suspects.bySubject[suspicion.Subject()]
		if !found {
			continue
		}
		if added && suspicion.Cleared {
			known.clearanceShared = false
		}
		// An entry that reports an outdated suspicion needs to know when it was cleared.
		outdated := !suspicion.Cleared && !suspicion.Withdrawn && !suspicion.At.After(known.clearedAt) && !known.clearanceShared
		switch {
		case !added && !outdated:
		case outdated, !known.shared && known.total() >= sharedThreshold:
			known.shared, known.clearanceShared = true, true
			aggregator.journal.add(aggregator.suspects.suspicions(suspicion.Subject())...)
		case known.shared:
			known.clearanceShared = known.clearanceShared || suspicion.Cleared
			aggregator.journal.add(suspicion)
		}
	}
}

// Expire drops suspicions older than [SuspicionLifetime], and has unconfirmed ones count whose
// time has come.
func (aggregator *Aggregator) Expire(now time.Time) {
	aggregator.suspects.settle(now)
	for _, suspicion := range aggregator.suspects.takeCounted() {
		// The record changes by this, so that it needs another number.
		if known, found := aggregator.suspects.bySubject[suspicion.Subject()]; found && known.shared {
			aggregator.journal.add(suspicion)
		}
	}
	aggregator.suspects.expire(now)
}

// Since returns the suspicions that all entries need and that were added after the one
// with the given number, and the number to pass next time. Zero asks for all.
func (aggregator *Aggregator) Since(number int64) ([]Suspicion, int64) {
	suspicions, complete := aggregator.journal.since(number)
	if !complete {
		suspicions = aggregator.suspects.all(sharedThreshold)
	}
	return suspicions, aggregator.journal.lastNumber()
}

// LastNumber returns the number of the newest suspicion that all entries need.
func (aggregator *Aggregator) LastNumber() int64 { return aggregator.journal.lastNumber() }

// Record returns the record of the suspicions that all entries need. If there are too
// many, it omits subjects with few crashes and old suspicions first.
func (aggregator *Aggregator) Record() Record {
	suspicions := slices.DeleteFunc(aggregator.suspects.all(sharedThreshold), func(suspicion Suspicion) bool {
		return suspicion.Cleared || suspicion.Withdrawn || !aggregator.suspects.counts(suspicion)
	})
	for index := range suspicions {
		suspicions[index].CountsAt = time.Time{}
	}
	slices.SortStableFunc(suspicions, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(aggregator.suspects.count(b.Subject()), aggregator.suspects.count(a.Subject())), b.At.Compare(a.At))
	})
	return Record{suspicions: suspicions[:min(len(suspicions), maxRecordSuspicions)]}
}
