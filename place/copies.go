package place

import (
	"math"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
)

// minCopies is the number of copies that a model has at least, in as many
// failure domains, if there are enough domains and memory.
const minCopies = 2

// surplusMargin is the free speed that the other copies of a model must have
// before a surplus copy is dropped, as a multiple of the speed that it uses.
const surplusMargin = 1.3

// copies lists the copies of one model, with the demand for it.
type copies struct {
	item ledger.Item
	// serving and loading are the active hosts whose copy can serve and those
	// that are permitted to load one.
	serving, loading []*host
	rate             float64
	// demanded is the number of copies that the rate requires if their servers
	// have no other load.
	demanded int
	// flows is the part of the rate that each copy is expected to receive, and
	// unserved the part that no copy has the speed for.
	flows    map[*host]float64
	unserved float64
}

func (copies *copies) count() int { return len(copies.serving) + len(copies.loading) }

// all returns the hosts of serving and loading copies.
func (copies *copies) all() []*host {
	all := make([]*host, 0, copies.count())
	all = append(all, copies.serving...)
	return append(all, copies.loading...)
}

// countDomains counts the hosts in each failure domain, without excluded.
func countDomains(hosts []*host, excluded *host) map[names.FailureDomain]int {
	counts := map[names.FailureDomain]int{}
	for _, host := range hosts {
		if host != excluded {
			counts[host.report.Domain]++
		}
	}
	return counts
}

// canDrop reports whether the copy at host may be dropped in favor of a need of
// tier. A lost copy may always be dropped, a loading one never. For any tier
// another serving copy has to remain. Except for tierNoCopy the model also has
// to keep minCopies failure domains, or those it has if they are fewer. For
// tierDemand the copy must be surplus as well.
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

// removeServing removes the copy at dropped from the serving copies.
func (copies *copies) removeServing(dropped *host) {
	serving := copies.serving[:0:0]
	for _, host := range copies.serving {
		if host != dropped {
			serving = append(serving, host)
		}
	}
	copies.serving = serving
}

// countCopies finds the copies of each model and estimates the load of each host.
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

// meanSpeed returns the mean speed of the hosts with copies, or the configured
// speed if there are none.
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

// redundant reports whether the other serving copies have enough free speed to
// replace the copy at excluded.
func (copies *copies) redundant(excluded *host) bool {
	var free float64
	for _, host := range copies.serving {
		if host != excluded {
			free += max(0, host.speed-host.load)
		}
	}
	return free >= surplusMargin*copies.flows[excluded]
}

// unconfigured reports whether the model of item is no longer configured.
func (planner *Planner) unconfigured(item ledger.Item) bool { return planner.copies[item.Model] == nil }

func weightsOf(model config.Model) ledger.Weights {
	return ledger.Weights{Item: ledger.Item{Model: model.Name()}, Bytes: model.WeightBytes()}
}
