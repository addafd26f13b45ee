package coord

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

// holdings records what each engine holds with the version of its last change, so
// that an entry is sent only what has changed since its version.
type holdings struct {
	version int64
	latest  map[names.BackendServer]*holdingChange
	// changes are sorted by version. Those that are not in latest are out of date.
	changes []*holdingChange
}

type holdingChange struct {
	holding pool.Holding
	version int64
}

// holdingsPerReply bounds the engines in one reply.
const holdingsPerReply = 200

// holdingBytesPerReply bounds the names of models and adapters in one reply, unless one
// engine has more: a message may have four megabytes.
const holdingBytesPerReply = 1 << 20

// minStaleChanges is the least number of outdated changes that are kept before they
// are removed, so that they are not removed on each update.
const minStaleChanges = 256

func newHoldings() *holdings { return &holdings{latest: map[names.BackendServer]*holdingChange{}} }

// update records the current holdings of all engines.
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

// since returns the holdings that have changed since version, or all if version
// belongs to another term, and the version that they lead to. It returns at most
// holdingsPerReply, and holdingBytesPerReply of names, at a time: a reply that takes too long to make would time out at
// the entry, which would ask for the same again.
func (holdings *holdings) since(version Version, term int64) ([]pool.Holding, int64) {
	after := version.Number
	if version.Term != term {
		after = 0
	}
	first, _ := slices.BinarySearchFunc(holdings.changes, after+1, func(change *holdingChange, version int64) int {
		return cmp.Compare(change.version, version)
	})
	var changed []pool.Holding
	bytes := 0
	for _, change := range holdings.changes[first:] {
		if !holdings.isLatest(change) {
			continue
		}
		bytes += nameBytes(&change.holding)
		if len(changed) == holdingsPerReply || (len(changed) > 0 && bytes > holdingBytesPerReply) {
			return changed, change.version - 1
		}
		changed = append(changed, change.holding)
	}
	return changed, holdings.version
}

// nameBytes returns the size of the names of a holding's models and adapters.
func nameBytes(holding *pool.Holding) int {
	bytes := 0
	for _, model := range holding.Models {
		bytes += len(model)
	}
	for _, adapter := range holding.Adapters {
		bytes += len(adapter.Model) + len(adapter.Name)
	}
	return bytes
}

// refreshHoldings updates the holdings, at most once in holdingsPeriod. It is called
// with the coordinator's mutex held.
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

// updateDepartures adds an entry's departures and returns those that any entry has
// reported lately. It is called with the coordinator's mutex held.
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
