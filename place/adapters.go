package place

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilkeel/basilkeel/ledger"
)

// placeAdapters adds adapters to serving copies of their models. It chooses
// the copies by rendezvous hashing, so that a change in the copies moves few
// adapters.
func (planner *Planner) placeAdapters(now time.Time, input Input) {
	for _, model := range input.Models {
		serving := planner.copies[model.Name()].serving
		if len(serving) == 0 {
			continue
		}
		for _, adapter := range model.Adapters() {
			weights := ledger.Weights{
				Item:  ledger.Item{Model: model.Name(), Adapter: adapter.Name()},
				Bytes: adapter.WeightBytes(),
			}
			planner.placeAdapter(now, weights, serving)
		}
	}
}

// placeAdapter adds the adapter to as many of the serving hosts as its demand
// requires.
func (planner *Planner) placeAdapter(now time.Time, weights ledger.Weights, serving []*host) {
	item := weights.Item
	share := serving[0].speed * planner.config.CopyShare
	missing := minCopies + int(math.Ceil(planner.adapterRates[item].rate/share))
	missing = min(missing, len(serving))
	for _, host := range serving {
		if placement := host.placements[item]; placement != nil && (placement.mayLoad || host.usable[item]) {
			missing--
		}
	}
	if missing <= 0 {
		return
	}
	ranked := slices.Clone(serving)
	slices.SortFunc(ranked, func(a, b *host) int {
		if rendezvousScore(item, a) < rendezvousScore(item, b) {
			return 1
		}
		return -1
	})
	for _, host := range ranked {
		if missing > 0 && planner.addAdapter(now, weights, host) {
			missing--
		}
	}
}

// addAdapter assigns the adapter to host, or permits its load again if it was
// lost, and reports whether it could.
func (planner *Planner) addAdapter(now time.Time, weights ledger.Weights, host *host) bool {
	item := weights.Item
	if !host.canChange() || planner.loadingAdapters >= planner.config.AdaptersAtOnce || now.Before(host.backoffUntil) {
		return false
	}
	switch {
	case host.lost(item):
		host.permitLoad(now, item)
	case host.placements[item] == nil && host.used+weights.Bytes <= host.limit:
		host.assign(now, weights)
	default:
		return false
	}
	planner.loadingAdapters++
	return true
}

// rendezvousScore returns the rank of host for item; the highest scores are
// chosen first.
func rendezvousScore(item ledger.Item, host *host) uint64 {
	return xxhash.Sum64String(string(item.Model) + "/" + string(item.Adapter) + "/" + string(host.name))
}
