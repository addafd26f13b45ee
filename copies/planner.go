package copies

import (
	"math"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
)

const (
	// minEvictingGain is the part of an engine's mean work by which another copy has to
	// relieve each of the copies that there are; below that a load costs more than it
	// gives.
	minEvictingGain = 0.12
	// minMeanLoad is the mean load of engines that is reckoned with at least: where they
	// are at ease, another copy relieves nobody, and a few requests tell little.
	minMeanLoad = 1.0
	// minFreeGain is the same of a copy that takes memory which nothing else uses.
	minFreeGain = 0.02
	// gainPerLoadSecond is added for each second of its load, in which the engine takes no
	// orders for adapters.
	gainPerLoadSecond = 0.01
	// hotFactor is how far above the mean load of engines those of a model have to
	// be before it gets another copy.
	hotFactor = 1.1
	// minCopyAge is how long a copy stays at least, so that copies do not alternate
	// within the time of a load.
	minCopyAge = 2500 * time.Millisecond
	// evictionGainFactor is how much more a copy has to relieve others than those that make
	// way for it do.
	evictionGainFactor = 1.6
	// concurrentLoadsPerRate is how many loads run at once for each load a second that the
	// weight store allows; beyond that each takes longer.
	concurrentLoadsPerRate = 1.2
	// demandHorizon is how long demand for a model stays about the same.
	demandHorizon = 15 * time.Second
	// minPayoff keeps long loads from counting for nothing, as of a model that no
	// engine holds.
	minPayoff = 0.05
	// sizeExponent relates the work of a request to the size of its model; models
	// of half the size take a third of the time.
	sizeExponent = 1.5
)

// Demand is what callers ask of one model.
type Demand struct {
	// Work is the time of an engine that a second's requests take.
	Work float64
	// Steady is the same over the last while.
	Steady float64
	// Waiting counts requests that wait because no engine holds the model.
	Waiting int
}

// EngineState is what the planner needs to know of an engine.
type EngineState struct {
	Server   names.BackendServer
	Models   []names.Model
	Loading  names.Model
	InMemory []names.Model
	OnDisk   []names.Model
	// LoadedAt tells since when a copy is there.
	LoadedAt map[names.Model]time.Time
	// Unloading engines have not begun to load: streams of models that make way still
	// run there.
	Unloading bool
	// Blocked engines take no orders now: one is under way, or the engine leaves.
	Blocked bool
	// Draining engines take no requests.
	Draining bool
}

// loadTime is how long the engine takes to load a model, from the nearest place that
// has its weights.
func (state *EngineState) loadTime(model names.Model, engine *policy.Engine) time.Duration {
	known := engine.Models[model]
	switch {
	case known.MemoryLoad > 0 && slices.Contains(state.InMemory, model):
		return known.MemoryLoad
	case known.DiskLoad > 0 && slices.Contains(state.OnDisk, model):
		return known.DiskLoad
	default:
		return known.Load
	}
}

// PlanInput is what a plan follows from.
type PlanInput struct {
	Engine  *policy.Engine
	Engines []EngineState
	Demand  map[names.Model]Demand
	Now     time.Time
}

// Step is one change: the models to unload first, and the one to load.
type Step struct {
	Server names.BackendServer
	Unload []names.Model
	Load   names.Model
	// FromStore tells that the load counts against the weight store.
	FromStore bool
}

// Planner decides which copies to add. It is not safe for concurrent use.
type Planner struct {
	storeLoads *loadWindow
}

// PlannerConfig carries what a [Planner] is built from.
type PlannerConfig struct {
	// Window is the span in which loads from the weight store are counted.
	Window time.Duration
	// Now is when the term began; loads of the former term count as begun then.
	Now time.Time
	// PriorLoads is how many loads may have begun before.
	PriorLoads int
}

// NewPlanner returns a planner.
func NewPlanner(config PlannerConfig) *Planner {
	planner := &Planner{storeLoads: newLoadWindow(config.Window)}
	for range config.PriorLoads {
		planner.storeLoads.recordStart(config.Now)
	}
	return planner
}

// Plan returns the next changes, the most urgent first.
func (planner *Planner) Plan(planInput PlanInput) []Step {
	planner.storeLoads.sync(planInput.Engines, planInput.Now)
	view := newView(planInput)
	var steps []Step
	for range planInput.Engines {
		step, found := planner.next(view)
		if !found {
			break
		}
		switch {
		case step.FromStore && len(step.Unload) > 0:
			planner.storeLoads.addPending(step.Server)
		case step.FromStore:
			planner.storeLoads.recordStart(planInput.Now)
		}
		view.apply(step)
		steps = append(steps, step)
	}
	return steps
}

// next returns the most urgent change that is possible.
func (planner *Planner) next(view *view) (Step, bool) {
	storeAllows := planner.storeLoads.allows(view.input.Engine.LoadsPerSecond, view.input.Now)
	for _, need := range view.needs() {
		best, bestCost := Step{}, math.Inf(1)
		for index := range view.engines {
			step, cost, possible := view.placement(index, need, storeAllows)
			if possible && cost < bestCost {
				best, bestCost = step, cost
			}
		}
		if !math.IsInf(bestCost, 1) {
			return best, true
		}
	}
	return Step{}, false
}

// placement returns the change that adds a copy of a model to an engine, and its
// cost in loads: how uneven it leaves the engines, the copies that make way, and
// the load.
func (view *view) placement(index int, need need, storeAllows bool) (Step, float64, bool) {
	engine, model := &view.engines[index], need.model
	if engine.Blocked || engine.Draining || slices.Contains(engine.Models, model) || engine.Loading != "" {
		return Step{}, 0, false
	}
	step := Step{Server: engine.Server, Load: model}
	cost := 0.0
	switch {
	case slices.Contains(engine.InMemory, model):
	case slices.Contains(engine.OnDisk, model):
		cost += diskCost
	default:
		step.FromStore = true
		cost += storeCost
		if !storeAllows {
			return Step{}, 0, false
		}
	}
	load := engine.loadTime(model, view.input.Engine)
	missingMB := view.input.Engine.Models[model].WeightsMB - view.freeMB[index]
	evicts := missingMB > 0
	if view.copies[model] > 0 && need.gain*payoff(load) < view.minGain(evicts, load) {
		return Step{}, 0, false
	}
	if evicts {
		if view.unloading >= maxUnloading(len(view.engines)) || view.copies[model] > 0 && !need.hot {
			return Step{}, 0, false
		}
		unload, loss, possible := view.makeRoom(engine, missingMB, need, payoff(load))
		if !possible {
			return Step{}, 0, false
		}
		step.Unload = unload
		cost += loss
	} else if step.FromStore && view.storeLoads >= maxStoreLoads(view.input.Engine) {
		return Step{}, 0, false
	}
	cost += view.unevenness(index, step.Unload, model) / (2 * max(view.mean, minMeanLoad))
	return step, cost, true
}

// payoff is the part of the time for which demand stays that is left after a load.
func payoff(load time.Duration) float64 {
	return max(1-load.Seconds()/demandHorizon.Seconds(), minPayoff)
}

const (
	// diskCost and storeCost are the loads of an engine that a load from its disk
	// or from the weight store counts as.
	diskCost  = 0.02
	storeCost = 0.15
)

// maxUnloadingFraction is the part of the engines that make room at once: meanwhile the
// copies that go take no requests.
const maxUnloadingFraction = 0.34

func maxUnloading(engines int) int { return max(int(maxUnloadingFraction*float64(engines)), 1) }

func maxStoreLoads(engine *policy.Engine) int {
	return max(int(math.Ceil(engine.LoadsPerSecond*concurrentLoadsPerRate)), 1)
}
