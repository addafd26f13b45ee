package copies

import (
	"math"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
)

const (
	// minEvictingGain is the least gain of a copy that evicts others, as a fraction of
	// the mean load of engines. The gain is the load that the copy takes off each
	// existing copy of the model. Below this bound a load costs more than it gains.
	minEvictingGain = 0.12
	// minMeanLoad is the lower bound of the mean load of engines in these comparisons.
	// If engines are nearly idle, another copy brings no benefit, and a few requests say
	// little about demand.
	minMeanLoad = 1.0
	// minFreeGain corresponds to minEvictingGain for a copy that fits into unused memory.
	minFreeGain = 0.02
	// gainPerLoadSecond is added to minFreeGain for each second of the load, in which
	// the engine accepts no orders for adapters.
	gainPerLoadSecond = 0.01
	// hotFactor is how many times the mean load of all engines the engines that hold a
	// model must have before another copy of it may evict others.
	hotFactor = 1.1
	// minCopyAge is the age before which a copy is not evicted, so that copies do not
	// alternate within the time of a load.
	minCopyAge = 2500 * time.Millisecond
	// evictionGainFactor is the least ratio of the gain of another copy to the loss from
	// each copy that it evicts.
	evictionGainFactor = 1.6
	// concurrentLoadsPerRate is the number of loads that may run at once for each load
	// per second that the weight store allows. With more, each takes longer.
	concurrentLoadsPerRate = 1.2
	// demandHorizon is the time for which demand for a model stays about the same.
	demandHorizon = 15 * time.Second
	// minPayoff is the lower bound of the payoff, so that a long load is not worthless,
	// such as that of a model that no engine holds.
	minPayoff = 0.05
	// sizeExponent relates the work of a request to the size of its model. Models of
	// half the size take a third of the time.
	sizeExponent = 1.5
)

// Demand is the demand for one model.
type Demand struct {
	// Work is the expected work per second, in seconds of an engine.
	Work float64
	// Steady is the mean work per second over a longer time.
	Steady float64
	// Waiting counts requests that wait because no engine holds the model.
	Waiting int
}

// EngineState is the state of an engine as the planner needs it.
type EngineState struct {
	Server   names.BackendServer
	Models   []names.Model
	Loading  names.Model
	InMemory []names.Model
	OnDisk   []names.Model
	// LoadedAt is when each copy was loaded, if known.
	LoadedAt map[names.Model]time.Time
	// Requests counts the requests that run for each model, or is nil if they are not
	// known. Adapters counts the adapters of each model.
	Requests map[names.Model]int
	Adapters map[names.Model]int
	// Unloading reports whether the engine has yet to unload models before it loads one.
	// Running streams of these models have to end first.
	Unloading bool
	// Blocked reports whether the engine accepts no orders now: a step is running, its
	// state is unknown, or it refuses the orders of this term.
	Blocked bool
	// Draining reports whether the engine is leaving or evacuated and accepts no requests.
	Draining bool
}

// loadTime returns the time to load a model from the nearest source of its weights: the
// engine's memory, its disk or the weight store.
func (state *EngineState) loadTime(model names.Model, engine *policy.Engine) time.Duration {
	known := engine.Models[model]
	switch {
	case known.MemoryLoadTime > 0 && slices.Contains(state.InMemory, model):
		return known.MemoryLoadTime
	case known.DiskLoadTime > 0 && slices.Contains(state.OnDisk, model):
		return known.DiskLoadTime
	default:
		return known.LoadTime
	}
}

// PlanInput is the input of [Planner.Plan].
type PlanInput struct {
	Engine  *policy.Engine
	Engines []EngineState
	Demand  map[names.Model]Demand
	// Rates are the request rates of engines that declare one, and RequestsPerSecond is
	// the rate of all requests that make up Demand, or zero if it is not known.
	Rates             map[names.BackendServer]float64
	RequestsPerSecond float64
	// Scheduled reports whether the requests of the service are scheduled. Copies of its
	// models move earlier, and those whose requests end soonest are evicted first.
	Scheduled bool
	Now       time.Time
}

// Step is one change on an engine: the models to unload first, and the one to load.
type Step struct {
	Server names.BackendServer
	Unload []names.Model
	Load   names.Model
	// FromStore reports whether the weights come from the weight store.
	FromStore bool
	// Scheduled reports whether the requests of the service are scheduled. Demand is then
	// the demand for the model to load that the step was planned for.
	Scheduled bool
	Demand    Demand
}

// Planner decides which copies to add. It is not safe for concurrent use.
type Planner struct {
	storeLoads *loadWindow
}

// PlannerConfig configures a [Planner].
type PlannerConfig struct {
	// Window is the time window in which loads from the weight store are counted.
	Window time.Duration
	// Now is when the term began. Loads of the previous term count as started then.
	Now time.Time
	// PriorLoads is how many loads the previous coordinator may have started just
	// before.
	PriorLoads int
}

// NewPlanner returns a planner for one term.
func NewPlanner(config PlannerConfig) *Planner {
	planner := &Planner{storeLoads: newLoadWindow(config.Window)}
	for range config.PriorLoads {
		planner.storeLoads.recordStart(config.Now)
	}
	return planner
}

// Plan returns the next steps, the most urgent first.
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

// next returns the most urgent step that is possible, if any.
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

// placement returns the step that adds a copy of a needed model to an engine, its cost,
// and whether it is possible. The cost is in units of the load of an engine; it consists
// of the change in how unevenly engines are loaded, the evicted copies, and the loading
// of the weights.
func (view *view) placement(index int, need need, storeAllows bool) (Step, float64, bool) {
	engine, model := &view.engines[index], need.model
	if engine.Blocked || engine.Draining || slices.Contains(engine.Models, model) || engine.Loading != "" {
		return Step{}, 0, false
	}
	step := Step{Server: engine.Server, Load: model}
	if view.input.Scheduled {
		step.Scheduled, step.Demand = true, view.input.Demand[model]
	}
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
		unload, loss, possible := view.makeRoom(index, missingMB, need, payoff(load))
		if !possible {
			return Step{}, 0, false
		}
		step.Unload = unload
		cost += loss
	} else if step.FromStore && view.storeLoads >= maxStoreLoads(view.input.Engine, view.input.Scheduled) {
		return Step{}, 0, false
	}
	cost += view.unevenness(index, step.Unload, model) / (2 * max(view.mean, minMeanLoad))
	return step, cost, true
}

// payoff returns the fraction of demandHorizon that is left after a load.
func payoff(load time.Duration) float64 {
	return max(1-load.Seconds()/demandHorizon.Seconds(), minPayoff)
}

const (
	// diskCost and storeCost are the costs of loading weights from the engine's disk
	// and from the weight store, in units of the load of an engine.
	diskCost  = 0.02
	storeCost = 0.15
)

// maxUnloadingFraction is the largest fraction of the engines that unload models at the
// same time. The copies that they unload receive no requests meanwhile.
const maxUnloadingFraction = 0.34

func maxUnloading(engines int) int { return max(int(maxUnloadingFraction*float64(engines)), 1) }

// maxStoreLoads returns how many loads the weight store serves at once without slowing
// down. For a service whose requests are scheduled it is the number that the rate of the
// store and the time of the shortest load imply.
func maxStoreLoads(engine *policy.Engine, scheduled bool) int {
	perRate := concurrentLoadsPerRate
	if scheduled {
		shortest := math.Inf(1)
		for _, model := range engine.Models {
			shortest = min(shortest, model.LoadTime.Seconds())
		}
		if !math.IsInf(shortest, 1) {
			perRate = max(perRate, shortest)
		}
	}
	return max(int(math.Ceil(engine.LoadsPerSecond*perRate)), 1)
}
