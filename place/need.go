package place

import (
	"cmp"
	"slices"

	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
)

// tier is the urgency of a need; needs of a lower tier are satisfied first.
type tier int

const (
	// tierNoCopy is for a model without a copy.
	tierNoCopy tier = iota
	// tierOneDomain is for a model in one failure domain only.
	tierOneDomain
	// tierDemand is for a model with too few copies for its demand.
	tierDemand
)

// busyShare is the fraction of a host's speed from which it counts as busy.
const busyShare = 0.85

// unservedShare is the fraction of a model's rate that may be unserved before
// the model counts as starved.
const unservedShare = 0.01

// need is the need for one more copy of a model.
type need struct {
	tier            tier
	weights         ledger.Weights
	copies          *copies
	worstAttainment float64
	// ratePerCopy is the model's rate divided by its serving and loading copies.
	ratePerCopy float64
}

// needs returns at most one need for each model, the most urgent first.
func (planner *Planner) needs(input Input) []need {
	domains := planner.countActiveDomains()
	var needs []need
	for _, model := range input.Models {
		copies := planner.copies[model.Name()]
		tier, lacking := copies.lacks(domains)
		if !lacking {
			continue
		}
		worst, requested := planner.worstAttainment[model.Name()]
		if !requested {
			worst = 1
		}
		needs = append(needs, need{
			tier: tier, weights: weightsOf(model), copies: copies, worstAttainment: worst,
			ratePerCopy: copies.rate / float64(max(1, copies.count())),
		})
	}
	slices.SortStableFunc(needs, func(a, b need) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier), cmp.Compare(a.worstAttainment, b.worstAttainment), cmp.Compare(b.ratePerCopy, a.ratePerCopy),
			cmp.Compare(a.weights.Item.Model, b.weights.Item.Model),
		)
	})
	return needs
}

// countActiveDomains returns the number of failure domains with an active host.
func (planner *Planner) countActiveDomains() int {
	found := map[names.FailureDomain]bool{}
	for _, host := range planner.ordered {
		if host.active() {
			found[host.report.Domain] = true
		}
	}
	return len(found)
}

// lacks returns the tier of the model's need for another copy, and false if it
// needs none. The active hosts are in available failure domains.
func (copies *copies) lacks(available int) (tier, bool) {
	switch {
	case copies.count() == 0:
		return tierNoCopy, true
	case len(countDomains(copies.all(), nil)) < min(minCopies, available):
		return tierOneDomain, true
	case copies.count() < copies.demanded, copies.starved() && len(copies.loading) == 0:
		return tierDemand, true
	default:
		return tierDemand, false
	}
}

// starved reports whether the copies can't serve the model's rate, or all their
// hosts are busy.
func (copies *copies) starved() bool {
	if copies.rate == 0 {
		return false
	}
	if copies.unserved > unservedShare*copies.rate {
		return true
	}
	for _, host := range copies.all() {
		if host.load < busyShare*host.speed {
			return false
		}
	}
	return true
}
