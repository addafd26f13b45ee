package coord

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

// holdings are what engines hold, each with the version of its last change, so that
// entries are told only what is new to them.
type holdings struct {
	version int64
	known   map[names.BackendServer]*holdingChange
	// changes are in the order of their versions; those that are not in known are
	// out of date.
	changes []*holdingChange
}

type holdingChange struct {
	holding pool.Holding
	version int64
}

// holdingsPerExchange is how many engines an answer tells of at most.
const holdingsPerExchange = 200

// leastChanges is how many changes out of date are kept at least, so that they are
// not sorted out each time.
const leastChanges = 256

func newHoldings() *holdings { return &holdings{known: map[names.BackendServer]*holdingChange{}} }

// update takes in what all engines hold now.
func (holdings *holdings) update(current []pool.Holding) {
	listed := make(map[names.BackendServer]bool, len(current))
	for _, holding := range current {
		listed[holding.Server] = true
		known, found := holdings.known[holding.Server]
		if found && known.holding.Equal(&holding) {
			continue
		}
		holdings.version++
		change := &holdingChange{holding: holding, version: holdings.version}
		holdings.known[holding.Server] = change
		holdings.changes = append(holdings.changes, change)
	}
	for server := range holdings.known {
		if !listed[server] {
			delete(holdings.known, server)
		}
	}
	if len(holdings.changes) > 2*len(holdings.known)+leastChanges {
		holdings.changes = slices.DeleteFunc(holdings.changes, func(change *holdingChange) bool { return !holdings.current(change) })
	}
}

func (holdings *holdings) current(change *holdingChange) bool {
	return holdings.known[change.holding.Server] == change
}

// since returns what has changed since a version, or all where that is of another
// term, and the version that it leads to. It returns a part at a time: an answer
// that takes too long to make is never taken in, and would be asked for again.
func (holdings *holdings) since(version Version, term int64) ([]pool.Holding, int64) {
	after := version.Number
	if version.Term != term {
		after = 0
	}
	first, _ := slices.BinarySearchFunc(holdings.changes, after+1, func(change *holdingChange, version int64) int {
		return cmp.Compare(change.version, version)
	})
	var changed []pool.Holding
	for _, change := range holdings.changes[first:] {
		if !holdings.current(change) {
			continue
		}
		if len(changed) == holdingsPerExchange {
			return changed, change.version - 1
		}
		changed = append(changed, change.holding)
	}
	return changed, holdings.version
}

// watch looks at what engines hold. It is called with the desk's mutex held.
func (term *term) watch(snapshot *policy.Snapshot, now time.Time) {
	if !term.watched.IsZero() && now.Sub(term.watched) < watchPeriod {
		return
	}
	term.watched = now
	var current []pool.Holding
	for _, service := range snapshot.Services() {
		if service.Engine != nil {
			current = append(current, term.keeper.Holdings(service.Name)...)
		}
	}
	term.holdings.update(current)
}

// departed takes in which servers an entry knows to leave, and returns those that
// any entry knows. It is called with the desk's mutex held.
func (term *term) departed(told []pool.Departure, now time.Time) []pool.Departure {
	for _, departure := range told {
		if _, known := term.departures[departure]; !known {
			term.departures[departure] = now
		}
	}
	var departures []pool.Departure
	for departure, since := range term.departures {
		if now.Sub(since) < departureLifetime {
			departures = append(departures, departure)
		}
	}
	return departures
}
