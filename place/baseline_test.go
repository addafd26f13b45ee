package place_test

import (
	"math"
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/ledger"
)

// addCopy makes the model resident at runner, usable after wait.
func (sim *sim) addCopy(runner *runner, model int, wait time.Duration) {
	item := ledger.Item{Model: sim.models[model].Name()}
	runner.reserved[item], runner.usableAt[item] = sim.modelBytes[model], sim.now.Add(wait)
}

func (sim *sim) free(runner *runner) int64 {
	share := simWeights // the planner's WeightShare
	free := int64(share * float64(runner.MemoryBytes))
	for _, bytes := range runner.reserved {
		free -= bytes
	}
	return free
}

// evenPolicy places copies once, evenly over the models, until memory is full.
type evenPolicy struct{ done bool }

func (evenPolicy *evenPolicy) step(sim *sim, _, _ []float64) {
	sim.now = sim.now.Add(simStep)
	if evenPolicy.done {
		return
	}
	evenPolicy.done = true
	for placed := true; placed; {
		placed = false
		for model := range sim.models {
			var best *runner
			for _, runner := range sim.runners {
				_, has := runner.reserved[ledger.Item{Model: sim.models[model].Name()}]
				if has || sim.free(runner) < sim.modelBytes[model] {
					continue
				}
				if best == nil || sim.free(runner) > sim.free(best) {
					best = runner
				}
			}
			if best != nil {
				sim.addCopy(best, model, 0)
				placed = true
			}
		}
	}
}

// lruPolicy loads a copy of a model with unserved demand and evicts the least
// recently used copies.
type lruPolicy struct {
	used  map[*runner]map[ledger.Item]time.Time
	level float64
	ends  []time.Time
}

func (lruPolicy *lruPolicy) step(sim *sim, rates, unserved []float64) {
	sim.now = sim.now.Add(simStep)
	if lruPolicy.used == nil {
		lruPolicy.used = map[*runner]map[ledger.Item]time.Time{}
		for _, runner := range sim.runners {
			lruPolicy.used[runner] = map[ledger.Item]time.Time{}
		}
	}
	lruPolicy.touch(sim)
	lruPolicy.level = min(float64(sim.size.loadsAtOnce), lruPolicy.level+sim.size.loadsPerSecond*simStep.Seconds())
	var wanting []int
	for model := range rates {
		lacks := unserved[model] > 0.01*rates[model]
		arrives := sim.random.Float64() < 1-math.Exp(-unserved[model]*simStep.Seconds()/simTokens)
		if lacks && arrives && !lruPolicy.loading(sim, model) {
			wanting = append(wanting, model)
		}
	}
	sim.random.Shuffle(len(wanting), func(i, j int) { wanting[i], wanting[j] = wanting[j], wanting[i] })
	for _, model := range wanting {
		lruPolicy.load(sim, model)
	}
}

// touch updates the time of last use of each copy that received a request.
func (lruPolicy *lruPolicy) touch(sim *sim) {
	for model, served := range sim.served {
		for _, runner := range sim.runners {
			rate := served[runner]
			if rate > 0 && sim.random.Float64() < 1-math.Exp(-rate*simStep.Seconds()/simTokens) {
				lruPolicy.used[runner][ledger.Item{Model: sim.models[model].Name()}] = sim.now
			}
		}
	}
}

func (lruPolicy *lruPolicy) loading(sim *sim, model int) bool {
	item := ledger.Item{Model: sim.models[model].Name()}
	for _, runner := range sim.runners {
		if _, has := runner.reserved[item]; has && sim.now.Before(runner.usableAt[item]) {
			return true
		}
	}
	return false
}

func (lruPolicy *lruPolicy) load(sim *sim, model int) {
	ends := lruPolicy.ends[:0]
	for _, end := range lruPolicy.ends {
		if sim.now.Before(end) {
			ends = append(ends, end)
		}
	}
	lruPolicy.ends = ends
	if lruPolicy.level < 1 || len(lruPolicy.ends) >= sim.size.loadsAtOnce {
		return
	}
	runner := lruPolicy.choose(sim, model)
	if runner == nil {
		return
	}
	lruPolicy.evict(sim, runner, sim.modelBytes[model])
	sim.addCopy(runner, model, simLoad)
	lruPolicy.used[runner][ledger.Item{Model: sim.models[model].Name()}] = sim.now
	lruPolicy.level--
	lruPolicy.ends = append(lruPolicy.ends, sim.now.Add(simLoad))
	sim.totals.loads++
}

// choose returns the least loaded server with room, or else the one with the
// least recently used copy.
func (lruPolicy *lruPolicy) choose(sim *sim, model int) *runner {
	item := ledger.Item{Model: sim.models[model].Name()}
	work := map[*runner]float64{}
	for _, served := range sim.served {
		for runner, rate := range served {
			work[runner] += rate
		}
	}
	var best, oldest *runner
	var oldestAt time.Time
	for _, runner := range sim.runners {
		if _, has := runner.reserved[item]; has {
			continue
		}
		if sim.free(runner) >= sim.modelBytes[model] && (best == nil || work[runner] < work[best]) {
			best = runner
		}
		for other := range runner.reserved {
			at := lruPolicy.used[runner][other]
			if !sim.now.Before(runner.usableAt[other]) && (oldest == nil || at.Before(oldestAt)) {
				oldest, oldestAt = runner, at
			}
		}
	}
	if best != nil {
		return best
	}
	return oldest
}

func (lruPolicy *lruPolicy) evict(sim *sim, runner *runner, bytes int64) {
	items := make([]ledger.Item, 0, len(runner.reserved))
	for item := range runner.reserved {
		items = append(items, item)
	}
	used := lruPolicy.used[runner]
	sort.Slice(items, func(i, j int) bool {
		if !used[items[i]].Equal(used[items[j]]) {
			return used[items[i]].Before(used[items[j]])
		}
		return less(items[i], items[j])
	})
	for _, item := range items {
		if sim.free(runner) >= bytes {
			return
		}
		delete(runner.reserved, item)
	}
}
