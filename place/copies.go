package place

import (
	"math"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
)

// minCopies is how many copies a model has where memory allows, in as many
// failure domains.
const minCopies = 2

// surplusMargin is how much more speed than a copy uses the other copies must
// have free before it may go.
const surplusMargin = 1.3

// copies is where a model is.
type copies struct {
	item ledger.Item
	// serving copies can serve and stay; coming ones are being loaded.
	serving, loading []*host
	rate             float64
	// demanded is how many copies demand asks for, whatever else their servers do.
	demanded int
	// flows is the part of the rate that each copy is expected to get, left what
	// no copy has the speed for.
	flows    map[*host]float64
	unserved float64
}

func (copies *copies) count() int { return len(copies.serving) + len(copies.loading) }

// all lists serving and coming copies.
func (copies *copies) all() []*host {
	all := make([]*host, 0, copies.count())
	all = append(all, copies.serving...)
	return append(all, copies.loading...)
}

// countDomains counts the failure domains of spots, without one of them.
func countDomains(spots []*host, excluded *host) map[names.FailureDomain]int {
	counts := map[names.FailureDomain]int{}
	for _, host := range spots {
		if host != excluded {
			counts[host.report.Domain]++
		}
	}
	return counts
}

// canDrop tells that the copy at spot may go for the sake of a need of tier.
func (copies *copies) canDrop(host *host, tier tier) bool {
	if host.lost(copies.item) {
		return true
	}
	if !host.serves(copies.item) {
		return false
	}
	remaining := len(copies.serving) - 1
	remainingDomains := len(countDomains(copies.serving, host))
	switch tier {
	case tierNoCopy:
		return remaining >= 1
	case tierOneDomain:
		return remaining >= 1 && remainingDomains >= min(minCopies, len(countDomains(copies.serving, nil)))
	default:
		return remaining >= max(minCopies, copies.demanded) && copies.redundant(host) && remainingDomains >= min(minCopies, len(countDomains(copies.serving, nil)))
	}
}

// removeServing takes the copy at spot off the count.
func (copies *copies) removeServing(dropped *host) {
	serving := copies.serving[:0:0]
	for _, host := range copies.serving {
		if host != dropped {
			serving = append(serving, host)
		}
	}
	copies.serving = serving
}

// countCopies finds the copies of each model and the load of each server.
func (planner *Planner) countCopies(input Input) {
	planner.copies = make(map[names.Model]*copies, len(input.Models))
	for _, model := range input.Models {
		planner.copies[model.Name()] = &copies{
			item: ledger.Item{Model: model.Name()}, rate: planner.demandRates[model.Name()].rate, flows: map[*host]float64{},
		}
	}
	for _, host := range planner.ordered {
		for item, placement := range host.placements {
			copies := planner.copies[item.Model]
			if item.Adapter != "" || copies == nil || !host.active() {
				continue
			}
			switch {
			case host.serves(item):
				copies.serving = append(copies.serving, host)
			case placement.mayLoad:
				copies.loading = append(copies.loading, host)
			}
		}
	}
	for _, copies := range planner.copies {
		copies.demanded = int(math.Ceil(copies.rate / (copies.meanSpeed(&planner.config) * planner.config.CopyShare)))
	}
	planner.estimateFlows(input)
}

// meanSpeed is the mean speed of the servers with copies.
func (copies *copies) meanSpeed(config *Config) float64 {
	all := copies.all()
	if len(all) == 0 {
		return config.TokensPerSecond
	}
	var sum float64
	for _, host := range all {
		sum += host.speed
	}
	return sum / float64(len(all))
}

// redundant tells that the other serving copies could do the work of that at spot.
func (copies *copies) redundant(excluded *host) bool {
	var free float64
	for _, host := range copies.serving {
		if host != excluded {
			free += max(0, host.speed-host.load)
		}
	}
	return free >= surplusMargin*copies.flows[excluded]
}

// unconfigured tells that no model of that name is configured any more.
func (planner *Planner) unconfigured(item ledger.Item) bool { return planner.copies[item.Model] == nil }

func weightsOf(model config.Model) ledger.Weights {
	return ledger.Weights{Item: ledger.Item{Model: model.Name()}, Bytes: model.WeightBytes()}
}
