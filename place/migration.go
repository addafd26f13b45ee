package place

import (
	"math"
	"time"

	"github.com/basilkeel/basilkeel/ledger"
)

// migration is a copy to be made elsewhere so that the one at from may go.
type migration struct {
	weights  ledger.Weights
	from, to *host
	cost     float64
}

// migrate makes the first step towards room for a starved model where no copy
// can be spared: another model's copy is made on a server with room, after
// which its copy on a less busy server is surplus.
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

// migrationTarget returns the first server that can take a copy in the place of that at
// from, in the same failure domain or in one where the model is not, or nil.
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
