package coord

import (
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
}

type holdingChange struct {
	holding pool.Holding
	version int64
}

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
		holdings.known[holding.Server] = &holdingChange{holding: holding, version: holdings.version}
	}
	for server := range holdings.known {
		if !listed[server] {
			delete(holdings.known, server)
		}
	}
}

// since returns what has changed since a version, or all where that is of another
// term, and the version that it leads to.
func (holdings *holdings) since(version Version, term int64) ([]pool.Holding, int64) {
	after := version.Number
	if version.Term != term {
		after = 0
	}
	var changed []pool.Holding
	for _, known := range holdings.known {
		if known.version > after {
			changed = append(changed, known.holding)
		}
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
