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
	latest  map[names.BackendServer]*holdingChange
	// changes are in the order of their versions; those that are not in known are
	// out of date.
	changes []*holdingChange
}

type holdingChange struct {
	holding pool.Holding
	version int64
}

// holdingsPerReply is how many engines an answer tells of at most.
const holdingsPerReply = 200

// minStaleChanges is how many changes out of date are kept at least, so that they are
// not sorted out each time.
const minStaleChanges = 256

func newHoldings() *holdings { return &holdings{latest: map[names.BackendServer]*holdingChange{}} }

// update takes in what all engines hold now.
func (holdings *holdings) update(current []pool.Holding) {
	listed := make(map[names.BackendServer]bool, len(current))
	for _, holding := range current {
		listed[holding.Server] = true
		latest, found := holdings.latest[holding.Server]
		if found && latest.holding.Equal(&holding) {
			continue
		}
		holdings.version++
		change := &holdingChange{holding: holding, version: holdings.version}
		holdings.latest[holding.Server] = change
		holdings.changes = append(holdings.changes, change)
	}
	for server := range holdings.latest {
		if !listed[server] {
			delete(holdings.latest, server)
		}
	}
	if len(holdings.changes) > 2*len(holdings.latest)+minStaleChanges {
		holdings.changes = slices.DeleteFunc(holdings.changes, func(change *holdingChange) bool { return !holdings.isLatest(change) })
	}
}

func (holdings *holdings) isLatest(change *holdingChange) bool {
	return holdings.latest[change.holding.Server] == change
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
		if !holdings.isLatest(change) {
			continue
		}
		if len(changed) == holdingsPerReply {
			return changed, change.version - 1
		}
		changed = append(changed, change.holding)
	}
	return changed, holdings.version
}

// refreshHoldings looks at what engines hold. It is called with the desk's mutex held.
func (term *term) refreshHoldings(snapshot *policy.Snapshot, now time.Time) {
	if !term.holdingsReadAt.IsZero() && now.Sub(term.holdingsReadAt) < holdingsPeriod {
		return
	}
	term.holdingsReadAt = now
	var current []pool.Holding
	for _, service := range snapshot.Services() {
		if service.Engine != nil {
			current = append(current, term.dispatcher.Holdings(service.Name)...)
		}
	}
	term.holdings.update(current)
}

// updateDepartures takes in which servers an entry knows to leave, and returns those that
// any entry knows. It is called with the desk's mutex held.
func (term *term) updateDepartures(reported []pool.Departure, now time.Time) []pool.Departure {
	for _, departure := range reported {
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
