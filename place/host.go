package place

import (
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
)

// placement is an item of a server's target, as the planner keeps it.
type placement struct {
	bytes   int64
	mayLoad bool
	// permittedAt is when the planner first saw the permission to load; zero where it
	// never did.
	permittedAt time.Time
}

// host is a server as the planner keeps it.
type host struct {
	name       names.BackendServer
	changed    Version
	role       engine.Role
	placements map[ledger.Item]*placement
	// dirty tells that the target was changed in this step.
	dirty bool
	// hasTarget tells that the target exists, be it in a plan or from a report.
	hasTarget bool
	// report is nil while the server is off the list.
	report     *Server
	lastListed time.Time
	usable     map[ledger.Item]bool
	// fresh tells that the last report is young enough, confirmed that it also
	// follows the target.
	fresh, confirmed bool
	// limit is the memory for weights, taken what the target and the last
	// report need together.
	limit, used int64
	speed       float64
	// load is the rate that its copies are expected to get.
	load float64
	// offered and granted are what a round of filling offers and the part taken.
	offered, grantedShare float64
	// reservedFor names the model that room was made for, until a time.
	reservedFor   names.Model
	reservedUntil time.Time
	// backoffUntil keeps models away after a load that did not end.
	backoffUntil time.Time
}

// observe takes the server's state in this step.
func (host *host) observe(now time.Time, server *Server, config *Config) {
	host.report, host.lastListed, host.load = server, now, 0
	host.fresh = !server.ReportedAt.IsZero() && now.Sub(server.ReportedAt) <= config.MaxReportAge
	host.confirmed = host.fresh && server.Applied >= host.changed
	host.limit = int64(float64(server.MemoryBytes) * config.WeightShare)
	host.speed = server.TokensPerSecond
	setDefault(&host.speed, config.TokensPerSecond)
	host.usable = make(map[ledger.Item]bool, len(server.Usable))
	for _, item := range server.Usable {
		host.usable[item] = true
	}
	if !host.hasTarget && host.fresh {
		host.adoptResident()
	}
	host.sumUsed()
}

// adoptResident makes a target of what a server without one holds, so that a server
// that comes back, or comes with a fleet that had no plan, loses nothing.
func (host *host) adoptResident() {
	host.hasTarget, host.dirty, host.confirmed = true, true, false
	for _, weights := range host.report.Reserved {
		base := ledger.Item{Model: weights.Item.Model}
		if host.usable[weights.Item] && host.usable[base] {
			host.placements[weights.Item] = &placement{bytes: weights.Bytes}
		}
	}
}

// sumUsed sums what the target and the last report need together.
func (host *host) sumUsed() {
	host.used = 0
	for _, placement := range host.placements {
		host.used += placement.bytes
	}
	for _, weights := range host.report.Reserved {
		if host.placements[weights.Item] == nil {
			host.used += weights.Bytes
		}
	}
}

// active tells that copies at the server count for the future.
func (host *host) active() bool { return host.report != nil && !host.report.Leaving && host.fresh }

// canChange tells that the target may be changed.
func (host *host) canChange() bool { return host.active() && host.confirmed }

// serves tells that item is wanted and can serve.
func (host *host) serves(item ledger.Item) bool {
	return host.placements[item] != nil && host.usable[item]
}

// lost tells that item is wanted, cannot serve and may not be loaded.
func (host *host) lost(item ledger.Item) bool {
	placement := host.placements[item]
	return placement != nil && !placement.mayLoad && !host.usable[item]
}

// assign wants item; its bytes are counted from now on.
func (host *host) assign(now time.Time, weights ledger.Weights) {
	host.placements[weights.Item] = &placement{bytes: weights.Bytes, mayLoad: true, permittedAt: now}
	host.dirty = true
	host.sumUsed()
}

// permitLoad lets a lost item be loaded again.
func (host *host) permitLoad(now time.Time, item ledger.Item) {
	host.placements[item].mayLoad, host.placements[item].permittedAt = true, now
	host.dirty = true
}

// remove no longer wants item, with its adapters.
func (host *host) remove(item ledger.Item) {
	for other := range host.placements {
		if other == item || item.Adapter == "" && other.Model == item.Model {
			delete(host.placements, other)
		}
	}
	host.dirty = true
	host.sumUsed()
}

// modelBytes returns what item takes with its adapters.
func (host *host) modelBytes(item ledger.Item) int64 {
	var total int64
	for other, placement := range host.placements {
		if other.Model == item.Model {
			total += placement.bytes
		}
	}
	return total
}

// target returns the spot as a plan has it.
func (host *host) target() Target {
	target := Target{Server: host.name, Changed: host.changed, Role: host.role}
	for item, placement := range host.placements {
		weights := ledger.Weights{Item: item, Bytes: placement.bytes}
		target.Items = append(target.Items, Assignment{Weights: weights, MayLoad: placement.mayLoad})
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
