package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/ledger"
)

// reservationTime is how long freed memory is reserved for a model.
const reservationTime = 30 * time.Second

// satisfy permits the load of one more copy if the limits allow it and a host has
// room, and otherwise tries to make room for it.
func (planner *Planner) satisfy(now time.Time, need need) {
	if need.tier == tierDemand && !planner.moveTokens.hasToken() {
		return
	}
	if planner.loadingModels >= planner.config.LoadsAtOnce || !planner.loadTokens.hasToken() {
		return
	}
	if host := planner.bestWithRoom(now, need); host != nil {
		planner.startLoad(now, need, host)
		return
	}
	if planner.hasReservation(now, need) || planner.makeRoom(now, need) {
		return
	}
	if need.tier == tierDemand && !planner.migrationTried {
		planner.migrationTried = true
		planner.migrate(now, need)
	}
}

// startLoad adds the copy to the target of host and permits its load.
func (planner *Planner) startLoad(now time.Time, need need, host *host) {
	if host.lost(need.weights.Item) {
		host.permitLoad(now, need.weights.Item)
	} else {
		host.assign(now, need.weights)
	}
	host.reservedFor = ""
	host.load += need.copies.unserved + need.copies.rate/float64(need.copies.count()+1)
	need.copies.loading = append(need.copies.loading, host)
	planner.loadingModels++
	planner.loadTokens.take()
	if need.tier == tierDemand {
		planner.moveTokens.take()
	}
}

// eligible reports whether host may take the copy, regardless of its free
// memory.
func (need need) eligible(now time.Time, host *host) bool {
	item := need.weights.Item
	if !host.canChange() || host.dirty || now.Before(host.backoffUntil) || need.weights.Bytes > host.limit {
		return false
	}
	if host.placements[item] != nil && !host.lost(item) {
		return false
	}
	if need.tier == tierOneDomain && countDomains(need.copies.all(), nil)[host.report.Domain] > 0 {
		return false
	}
	return host.reservedFor == "" || host.reservedFor == item.Model || now.After(host.reservedUntil)
}

// bestWithRoom returns the host of lowest cost with free memory for the copy, or nil.
func (planner *Planner) bestWithRoom(now time.Time, need need) *host {
	var best *host
	bestCost := math.Inf(1)
	counts := countDomains(need.copies.all(), nil)
	for _, host := range planner.ordered {
		if !need.eligible(now, host) {
			continue
		}
		lost := host.lost(need.weights.Item)
		if !lost && host.used+need.weights.Bytes > host.limit {
			continue
		}
		cost := host.load/host.speed + float64(counts[host.report.Domain])*domainCost
		cost += fillCost * float64(host.used) / float64(host.limit)
		if lost || host.reservedFor == need.weights.Item.Model {
			cost -= readyBonus
		}
		if cost < bestCost {
			best, bestCost = host, cost
		}
	}
	return best
}

// Terms of the cost of a host in bestWithRoom, where full load costs 1. Each copy
// of the model in the same failure domain adds domainCost, and full memory adds
// fillCost. A host on which the copy was lost or that has reserved memory for the
// model is preferred by readyBonus.
const (
	domainCost = 0.05
	fillCost   = 0.2
	readyBonus = 10
)

// hasReservation reports whether an active host has memory reserved for the model.
func (planner *Planner) hasReservation(now time.Time, need need) bool {
	for _, host := range planner.ordered {
		if host.reservedFor == need.weights.Item.Model && !now.After(host.reservedUntil) && host.active() {
			return true
		}
	}
	return false
}

// makeRoom drops copies from the host where that costs least, and reserves the
// memory for the model. It only uses the rules of a more urgent tier if those of
// a less urgent one find no copies to drop. The new copy is added once the agent
// has confirmed the drop. The result reports whether there was such a host.
func (planner *Planner) makeRoom(now time.Time, need need) bool {
	for level := tierDemand; level >= need.tier; level-- {
		best, victims := planner.cheapestDrop(now, need, level)
		if best == nil {
			continue
		}
		for _, item := range victims {
			if copies := planner.copies[item.Model]; copies != nil {
				copies.removeServing(best)
			}
			best.remove(item)
		}
		best.reservedFor, best.reservedUntil = need.weights.Item.Model, now.Add(reservationTime)
		return true
	}
	return false
}

// cheapestDrop returns the host where making room for need costs least and the
// items to drop there, or nil. Copies may be dropped as for a need of tier level.
func (planner *Planner) cheapestDrop(now time.Time, need need, level tier) (*host, []ledger.Item) {
	var best *host
	var victims []ledger.Item
	bestCost := math.Inf(1)
	for _, host := range planner.ordered {
		if !need.eligible(now, host) {
			continue
		}
		found, cost := planner.victims(host, need, level)
		cost += host.load / host.speed
		if found != nil && cost < bestCost {
			best, victims, bestCost = host, found, cost
		}
	}
	return best, victims
}

// victims returns the copies at host to drop to make room for need and the cost
// of dropping them, or nil if they don't free enough memory.
func (planner *Planner) victims(host *host, need need, level tier) ([]ledger.Item, float64) {
	var spare []ledger.Item
	for item := range host.placements {
		if item.Adapter != "" || item == need.weights.Item {
			continue
		}
		if planner.unconfigured(item) || planner.copies[item.Model].canDrop(host, level) {
			spare = append(spare, item)
		}
	}
	slices.SortFunc(spare, func(a, b ledger.Item) int {
		return cmp.Or(cmp.Compare(planner.ratePerServingCopy(a), planner.ratePerServingCopy(b)), cmp.Compare(a.Model, b.Model))
	})
	free, cost := host.limit-host.used, 0.0
	for i, item := range spare {
		free += host.modelBytes(item)
		cost += planner.ratePerServingCopy(item) / host.speed
		if free >= need.weights.Bytes {
			return spare[:i+1], cost
		}
	}
	return nil, 0
}

// ratePerServingCopy returns the rate of item's model divided by the number of its
// serving copies, but at least by one. It is zero if the model is not configured.
func (planner *Planner) ratePerServingCopy(item ledger.Item) float64 {
	copies := planner.copies[item.Model]
	if copies == nil {
		return 0
	}
	return copies.rate / float64(max(1, len(copies.serving)))
}
