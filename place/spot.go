package place

import (
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
)

// held is an item of a server's target, as the planner keeps it.
type held struct {
	bytes int64
	load  bool
	// since is when the planner first saw the permission to load; zero where it
	// never did.
	since time.Time
}

// spot is a server as the planner keeps it.
type spot struct {
	name    names.BackendServer
	changed Version
	role    engine.Role
	items   map[ledger.Item]*held
	// dirty tells that the target was changed in this step.
	dirty bool
	// known tells that the target exists, be it in a plan or from a report.
	known bool
	// server is nil while the server is off the list.
	server *Server
	seen   time.Time
	usable map[ledger.Item]bool
	// fresh tells that the last report is young enough, confirmed that it also
	// follows the target.
	fresh, confirmed bool
	// limit is the memory for weights, taken what the target and the last
	// report need together.
	limit, taken int64
	speed        float64
	// load is the rate that its copies are expected to get.
	load float64
	// offered and granted are what a round of filling offers and the part taken.
	offered, granted float64
	// promised names the model that room was made for, until a time.
	promised names.Model
	until    time.Time
	// barredUntil keeps models away after a load that did not end.
	barredUntil time.Time
}

// observe takes the server's state in this step.
func (spot *spot) observe(now time.Time, server *Server, config *Config) {
	spot.server, spot.seen, spot.load = server, now, 0
	spot.fresh = !server.ReportedAt.IsZero() && now.Sub(server.ReportedAt) <= config.MaxReportAge
	spot.confirmed = spot.fresh && server.Applied >= spot.changed
	spot.limit = int64(float64(server.MemoryBytes) * config.WeightShare)
	spot.speed = server.TokensPerSecond
	setDefault(&spot.speed, config.TokensPerSecond)
	spot.usable = make(map[ledger.Item]bool, len(server.Usable))
	for _, item := range server.Usable {
		spot.usable[item] = true
	}
	if !spot.known && spot.fresh {
		spot.inherit()
	}
	spot.count()
}

// inherit makes a target of what a server without one holds, so that a server
// that comes back, or comes with a fleet that had no plan, loses nothing.
func (spot *spot) inherit() {
	spot.known, spot.dirty, spot.confirmed = true, true, false
	for _, weights := range spot.server.Reserved {
		base := ledger.Item{Model: weights.Item.Model}
		if spot.usable[weights.Item] && spot.usable[base] {
			spot.items[weights.Item] = &held{bytes: weights.Bytes}
		}
	}
}

// count sums what the target and the last report need together.
func (spot *spot) count() {
	spot.taken = 0
	for _, held := range spot.items {
		spot.taken += held.bytes
	}
	for _, weights := range spot.server.Reserved {
		if spot.items[weights.Item] == nil {
			spot.taken += weights.Bytes
		}
	}
}

// staying tells that copies at the server count for the future.
func (spot *spot) staying() bool { return spot.server != nil && !spot.server.Leaving && spot.fresh }

// open tells that the target may be changed.
func (spot *spot) open() bool { return spot.staying() && spot.confirmed }

// serves tells that item is wanted and can serve.
func (spot *spot) serves(item ledger.Item) bool { return spot.items[item] != nil && spot.usable[item] }

// lost tells that item is wanted, cannot serve and may not be loaded.
func (spot *spot) lost(item ledger.Item) bool {
	held := spot.items[item]
	return held != nil && !held.load && !spot.usable[item]
}

// add wants item; its bytes are counted from now on.
func (spot *spot) add(now time.Time, weights ledger.Weights) {
	spot.items[weights.Item] = &held{bytes: weights.Bytes, load: true, since: now}
	spot.dirty = true
	spot.count()
}

// permit lets a lost item be loaded again.
func (spot *spot) permit(now time.Time, item ledger.Item) {
	spot.items[item].load, spot.items[item].since = true, now
	spot.dirty = true
}

// remove no longer wants item, with its adapters.
func (spot *spot) remove(item ledger.Item) {
	for other := range spot.items {
		if other == item || item.Adapter == "" && other.Model == item.Model {
			delete(spot.items, other)
		}
	}
	spot.dirty = true
	spot.count()
}

// bytesOf returns what item takes with its adapters.
func (spot *spot) bytesOf(item ledger.Item) int64 {
	var total int64
	for other, held := range spot.items {
		if other.Model == item.Model {
			total += held.bytes
		}
	}
	return total
}

// target returns the spot as a plan has it.
func (spot *spot) target() Target {
	target := Target{Server: spot.name, Changed: spot.changed, Role: spot.role}
	for item, held := range spot.items {
		weights := ledger.Weights{Item: item, Bytes: held.bytes}
		target.Items = append(target.Items, Assignment{Weights: weights, MayLoad: held.load})
	}
	sort.Slice(target.Items, func(i, j int) bool {
		left, right := target.Items[i].Weights.Item, target.Items[j].Weights.Item
		if left.Model != right.Model {
			return left.Model < right.Model
		}
		return left.Adapter < right.Adapter
	})
	return target
}
