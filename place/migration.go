package place

import (
	"math"
	"time"

	"github.com/basilkeel/basilkeel/ledger"
)

// migration adds a copy at to, so that the copy at from can be dropped.
type migration struct {
	weights  ledger.Weights
	from, to *host
	cost     float64
}

// migrate takes the first step toward making room for a starved model when no
// copy can be dropped. It adds a copy of another model on a host with room. Once
// that copy serves, the model's copy on a less busy host is surplus.
func (planner *Planner) migrate(now time.Time, need need) {
	best := migration{cost: math.Inf(1)}
	for _, from := range planner.ordered {
		if !need.eligible(now, from) || from.load >= busyShare*from.speed {
			continue
		}
		for item, placement := range from.placements {
			if item.Adapter != "" || from.used-from.modelBytes(item)+need.weights.Bytes > from.limit {
				continue
			}
			cost := planner.ratePerServingCopy(item)/from.speed + from.load/from.speed
			if cost > best.cost || cost == best.cost && item.Model >= best.weights.Item.Model || !from.serves(item) {
				continue
			}
			weights := ledger.Weights{Item: item, Bytes: placement.bytes}
			if to := planner.migrationTarget(now, weights, from); to != nil {
				best = migration{weights: weights, from: from, to: to, cost: cost}
			}
		}
	}
	if best.to == nil {
		return
	}
	best.from.reservedFor, best.from.reservedUntil = need.weights.Item.Model, now.Add(reservationTime)
	moved := need
	moved.weights, moved.copies = best.weights, planner.copies[best.weights.Item.Model]
	planner.startLoad(now, moved, best.to)
}

// migrationTarget returns the first host that can replace the copy at from, or
// nil. It is in the same failure domain, or in one without a copy of the model.
func (planner *Planner) migrationTarget(now time.Time, weights ledger.Weights, from *host) *host {
	copies := planner.copies[weights.Item.Model]
	if copies == nil || len(copies.loading) > 0 {
		return nil
	}
	counts := countDomains(copies.all(), nil)
	migrationNeed := need{tier: tierDemand, weights: weights, copies: copies}
	for _, host := range planner.ordered {
		domain := host.report != nil && (host.report.Domain == from.report.Domain || counts[host.report.Domain] == 0)
		if domain && host.used+weights.Bytes <= host.limit && migrationNeed.eligible(now, host) {
			return host
		}
	}
	return nil
}
