package place

import (
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
)

// placement is the planner's state of an item in a host's target.
type placement struct {
	bytes   int64
	mayLoad bool
	// permittedAt is when this planner gave or first saw the permission to
	// load; zero if there was none or the load has completed.
	permittedAt time.Time
}

// host is the planner's state of a server.
type host struct {
	name       names.BackendServer
	changed    Version
	role       engine.Role
	placements map[ledger.Item]*placement
	// dirty is true if the target was changed in this step.
	dirty bool
	// hasTarget is true once the host has a target, either from a plan or made
	// from a report.
	hasTarget bool
	// report is nil while the server is not listed.
	report     *Server
	lastListed time.Time
	usable     map[ledger.Item]bool
	// fresh is true if the last report is recent enough; confirmed, if it also
	// was made with the current target applied.
	fresh, confirmed bool
	// limit is the memory for weights in bytes, and used the bytes of all items
	// in the target or the last report.
	limit, used int64
	speed       float64
	// load is the rate that the copies at the host are expected to receive.
	load float64
	// offered is the rate offered to the host in a round of estimateFlows, and
	// grantedShare the fraction of it that the host has the speed for.
	offered, grantedShare float64
	// reservedFor is the model for which memory was freed. Until reservedUntil
	// no other model may use it.
	reservedFor   names.Model
	reservedUntil time.Time
	// backoffUntil is when the host accepts items again after a load that was
	// not confirmed in time.
	backoffUntil time.Time
}

// observe updates the host from the server's state in this step.
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

// adoptResident makes a target from the usable items of a server that has none.
// A server that returns, or that served before the first plan, thus loses no
// copies.
func (host *host) adoptResident() {
	host.hasTarget, host.dirty, host.confirmed = true, true, false
	for _, weights := range host.report.Reserved {
		base := ledger.Item{Model: weights.Item.Model}
		if host.usable[weights.Item] && host.usable[base] {
			host.placements[weights.Item] = &placement{bytes: weights.Bytes}
		}
	}
}

// sumUsed updates the used bytes from the target and the last report.
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

// active reports whether copies at the host count: the server is listed, is not
// leaving and has a recent report.
func (host *host) active() bool { return host.report != nil && !host.report.Leaving && host.fresh }

// canChange reports whether the target may be changed, which requires that the
// agent has confirmed the current one.
func (host *host) canChange() bool { return host.active() && host.confirmed }

// serves reports whether item is in the target and usable.
func (host *host) serves(item ledger.Item) bool {
	return host.placements[item] != nil && host.usable[item]
}

// lost reports whether item is in the target but neither usable nor permitted
// to load, for example after an engine restart.
func (host *host) lost(item ledger.Item) bool {
	placement := host.placements[item]
	return placement != nil && !placement.mayLoad && !host.usable[item]
}

// assign adds an item to the target with the permission to load it.
func (host *host) assign(now time.Time, weights ledger.Weights) {
	host.placements[weights.Item] = &placement{bytes: weights.Bytes, mayLoad: true, permittedAt: now}
	host.dirty = true
	host.sumUsed()
}

// permitLoad permits the load of a lost item.
func (host *host) permitLoad(now time.Time, item ledger.Item) {
	host.placements[item].mayLoad, host.placements[item].permittedAt = true, now
	host.dirty = true
}

// remove removes item from the target; a model takes its adapters with it.
func (host *host) remove(item ledger.Item) {
	for other := range host.placements {
		if other == item || item.Adapter == "" && other.Model == item.Model {
			delete(host.placements, other)
		}
	}
	host.dirty = true
	host.sumUsed()
}

// modelBytes returns the bytes of the model of item and its adapters in the
// target.
func (host *host) modelBytes(item ledger.Item) int64 {
	var total int64
	for other, placement := range host.placements {
		if other.Model == item.Model {
			total += placement.bytes
		}
	}
	return total
}

// target returns the target in the form of a plan.
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
