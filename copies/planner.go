package copies

import (
	"math"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
)

const (
	// leastGain is the part of an engine's mean work by which another copy has to
	// relieve each of the copies that there are; below that a load costs more than it
	// gives.
	leastGain = 0.12
	// leastMean is the mean load of engines that is reckoned with at least: where they
	// are at ease, another copy relieves nobody, and a few requests tell little.
	leastMean = 1.0
	// fillGain is the same of a copy that takes memory which nothing else uses.
	fillGain = 0.02
	// busyGain is added for each second of its load, in which the engine takes no
	// orders for adapters.
	busyGain = 0.01
	// hotFactor is how far above the mean load of engines those of a model have to
	// be before it gets another copy.
	hotFactor = 1.1
	// leastStay is how long a copy stays at least, so that copies do not alternate
	// within the time of a load.
	leastStay = 2500 * time.Millisecond
	// gainFactor is how much more a copy has to relieve others than those that make
	// way for it do.
	gainFactor = 1.6
	// loadsAtOnce is how many loads run at once for each load a second that the
	// weight store allows; beyond that each takes longer.
	loadsAtOnce = 1.2
	// demandStays is how long demand for a model stays about the same.
	demandStays = 15 * time.Second
	// leastPays keeps long loads from counting for nothing, as of a model that no
	// engine holds.
	leastPays = 0.05
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
	loads *loadWindow
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
	planner := &Planner{loads: newLoadWindow(config.Window)}
	for range config.PriorLoads {
		planner.loads.begin(config.Now)
	}
	return planner
}

// Plan returns the next changes, the most urgent first.
func (planner *Planner) Plan(planInput PlanInput) []Step {
	planner.loads.sync(planInput.Engines, planInput.Now)
	view := newView(planInput)
	var steps []Step
	for range planInput.Engines {
		step, found := planner.next(view)
		if !found {
			break
		}
		switch {
		case step.FromStore && len(step.Unload) > 0:
			planner.loads.plan(step.Server)
		case step.FromStore:
			planner.loads.begin(planInput.Now)
		}
		view.apply(step)
		steps = append(steps, step)
	}
	return steps
}

// next returns the most urgent change that is possible.
func (planner *Planner) next(view *view) (Step, bool) {
	storeAllows := planner.loads.allows(view.input.Engine.LoadsPerSecond, view.input.Now)
	for _, need := range view.urgent() {
		best, bestCost := Step{}, math.Inf(1)
		for index := range view.engines {
			step, cost, possible := view.placed(index, need, storeAllows)
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

// placed returns the change that adds a copy of a model to an engine, and its
// cost in loads: how uneven it leaves the engines, the copies that make way, and
// the load.
func (view *view) placed(index int, need need, storeAllows bool) (Step, float64, bool) {
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
	missing := view.input.Engine.Models[model].WeightsMB - view.free[index]
	moves := missing > 0
	if view.copies[model] > 0 && need.gain*pays(load) < view.leastRelief(moves, load) {
		return Step{}, 0, false
	}
	if moves {
		if view.unloading >= mostUnloading(len(view.engines)) || view.copies[model] > 0 && !need.hot {
			return Step{}, 0, false
		}
		unload, lost, possible := view.makeRoom(engine, missing, need, pays(load))
		if !possible {
			return Step{}, 0, false
		}
		step.Unload = unload
		cost += lost
	} else if step.FromStore && view.storeLoads >= mostAtOnce(view.input.Engine) {
		return Step{}, 0, false
	}
	cost += view.unevenness(index, step.Unload, model) / (2 * max(view.mean, leastMean))
	return step, cost, true
}

// pays is the part of the time for which demand stays that is left after a load.
func pays(load time.Duration) float64 {
	return max(1-load.Seconds()/demandStays.Seconds(), leastPays)
}

const (
	// diskCost and storeCost are the loads of an engine that a load from its disk
	// or from the weight store counts as.
	diskCost  = 0.02
	storeCost = 0.15
)

// unloadingPart is the part of the engines that make room at once: meanwhile the
// copies that go take no requests.
const unloadingPart = 0.34

func mostUnloading(engines int) int { return max(int(unloadingPart*float64(engines)), 1) }

func mostAtOnce(engine *policy.Engine) int {
	return max(int(math.Ceil(engine.LoadsPerSecond*loadsAtOnce)), 1)
}
