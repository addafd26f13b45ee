package copies

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// view is the state of all engines that a plan is based on, including the steps planned
// so far.
type view struct {
	input   PlanInput
	engines []EngineState
	// copies counts the engines that hold or load a model; work is the load of all
	// its requests, in units of the capacity of an engine.
	copies map[names.Model]int
	// loaded counts the engines that hold a model and have loaded it.
	loaded map[names.Model]int
	work   map[names.Model]float64
	// capacities is the capacity of each engine in units of that of an engine that
	// declares no rate; modelCapacity is the sum of those of a model's copies.
	capacities    []float64
	modelCapacity map[names.Model]float64
	// total is the sum of work; mean is the mean load of engines that do not drain. A
	// load is relative to the engine's capacity.
	total float64
	mean  float64
	// storeLoads counts the running loads and those planned from the weight store,
	// without the loads counted in unloading.
	storeLoads int
	// unloading counts the engines that unload models before a load.
	unloading int
	// largestMB is the size of the largest model.
	largestMB float64
	// missing is the number of models without a copy.
	missing int
	// holders lists the engines that hold or load a model and do not drain; loads is
	// the load of each engine.
	holders map[names.Model][]int
	loads   []float64
	// loadChangeBuffer is a buffer for unevenness with an element for each engine. All
	// elements are zero between two calls.
	loadChangeBuffer []float64
	// freeMB is the unused memory of each engine. adaptersMB is the memory that is
	// reserved for the adapters of an engine.
	freeMB     []float64
	adaptersMB float64
}

// need is a model that needs another copy.
type need struct {
	model names.Model
	// class and urgency order needs: the lower class first, and within a class the
	// greater urgency.
	class int
	// gain is the load that another copy takes off each existing copy.
	gain float64
	// hot reports whether the engines that hold the model have more load than others.
	hot     bool
	urgency float64
}

func newView(planInput PlanInput) *view {
	view := &view{input: planInput, engines: slices.Clone(planInput.Engines), copies: map[names.Model]int{}, loaded: map[names.Model]int{}, work: map[names.Model]float64{}}
	for _, model := range planInput.Engine.Models {
		view.largestMB = max(view.largestMB, model.WeightsMB)
	}
	for _, engine := range view.engines {
		switch {
		case engine.Unloading:
			view.unloading++
		case engine.Loading != "":
			view.storeLoads++
		}
		if engine.Draining {
			continue
		}
		for _, model := range heldModels(engine) {
			view.copies[model]++
			if model != engine.Loading {
				view.loaded[model]++
			}
		}
	}
	for name, demand := range planInput.Demand {
		size := planInput.Engine.Models[name].WeightsMB
		view.work[name] = demand.Work
		if view.largestMB > 0 {
			view.work[name] *= math.Pow(size/view.largestMB, sizeExponent)
		}
		view.total += view.work[name]
	}
	view.mean = view.total / max(view.computeCapacities(), minCapacity)
	view.adaptersMB = adapterMemoryMB(planInput.Engine)
	view.loadChangeBuffer = make([]float64, len(view.engines))
	view.computeLoads()
	return view
}

// minCapacity is the least capacity of an engine that declares a rate.
const minCapacity = 0.01

// computeCapacities computes the capacity of each engine: that which its rate, if it
// declares one, leaves of an engine's work at the mean work of a request. It returns the
// capacity of all engines that do not drain.
func (view *view) computeCapacities() float64 {
	view.capacities = make([]float64, len(view.engines))
	usable := 0.0
	for index, engine := range view.engines {
		view.capacities[index] = 1
		if perSecond, limited := view.input.Rates[engine.Server]; limited && view.input.RequestsPerSecond > 0 {
			workPerRequest := view.total / view.input.RequestsPerSecond
			view.capacities[index] = min(max(perSecond*workPerRequest, minCapacity), 1)
		}
		if !engine.Draining {
			usable += view.capacities[index]
		}
	}
	return usable
}

// computeLoads computes the holders and the capacity of each model, the number of models
// without a copy, and the load and the free memory of each engine.
func (view *view) computeLoads() {
	view.missing = 0
	for model := range view.input.Engine.Models {
		if view.copies[model] == 0 {
			view.missing++
		}
	}
	view.holders, view.modelCapacity = map[names.Model][]int{}, map[names.Model]float64{}
	for index, engine := range view.engines {
		if engine.Draining {
			continue
		}
		for _, model := range heldModels(engine) {
			view.modelCapacity[model] += view.capacities[index]
		}
	}
	view.loads, view.freeMB = make([]float64, len(view.engines)), make([]float64, len(view.engines))
	for index, engine := range view.engines {
		view.freeMB[index] = view.input.Engine.WeightsMB - view.adaptersMB
		for _, model := range heldModels(engine) {
			view.loads[index] += view.copyLoad(model)
			view.freeMB[index] -= view.input.Engine.Models[model].WeightsMB
			if !engine.Draining {
				view.holders[model] = append(view.holders[model], index)
			}
		}
	}
}

// heldModels returns the models that an engine holds or loads.
func heldModels(engine EngineState) []names.Model {
	if engine.Loading == "" || slices.Contains(engine.Models, engine.Loading) {
		return engine.Models
	}
	return append(slices.Clone(engine.Models), engine.Loading)
}

// copyLoad returns the load of each engine that holds a model by its requests.
func (view *view) copyLoad(model names.Model) float64 {
	if view.copies[model] == 0 {
		return view.work[model]
	}
	return view.work[model] / view.modelCapacity[model]
}

// modelLoad returns the mean load of the engines that hold a model.
func (view *view) modelLoad(model names.Model) float64 {
	load := 0.0
	for _, index := range view.holders[model] {
		load += view.loads[index]
	}
	return load / float64(max(len(view.holders[model]), 1))
}

// unevenness returns the change in the sum of the squares of all engines' loads if an
// engine unloads some models and loads another. The requests for unloaded models go to
// their other copies.
func (view *view) unevenness(index int, unload []names.Model, model names.Model) float64 {
	changes := loadChanges{byEngine: view.loadChangeBuffer}
	for _, victim := range unload {
		before, after := view.copyLoad(victim), 0.0
		if view.copies[victim] > 1 {
			after = view.work[victim] / view.capacityWithout(victim, index)
		}
		for _, holder := range view.holders[victim] {
			changes.add(holder, after-before)
		}
		changes.add(index, -after)
	}
	after := view.work[model] / (view.modelCapacity[model] + view.capacities[index])
	for _, holder := range view.holders[model] {
		changes.add(holder, after-view.copyLoad(model))
	}
	changes.add(index, after)
	sum := 0.0
	for _, holder := range changes.engines {
		change := changes.byEngine[holder]
		changes.byEngine[holder] = 0
		sum += change * (2*view.loads[holder] + change)
	}
	return sum
}

// loadChanges holds changes of engines' loads.
type loadChanges struct {
	// engines lists the engines whose load changes; the others are zero in byEngine.
	engines  []int
	byEngine []float64
}

func (loadChanges *loadChanges) add(engine int, change float64) {
	if loadChanges.byEngine[engine] == 0 {
		loadChanges.engines = append(loadChanges.engines, engine)
	}
	loadChanges.byEngine[engine] += change
}

// gain returns the load that another copy of a model takes off each existing copy.
func (view *view) gain(model names.Model) float64 {
	capacity := view.modelCapacity[model]
	return view.work[model] / (capacity * (capacity + 1))
}

// loss returns the load that each other copy of a model takes over if the one on an
// engine is evicted.
func (view *view) loss(model names.Model, index int) float64 {
	capacity := view.modelCapacity[model]
	return view.work[model] * view.capacities[index] / (capacity * view.capacityWithout(model, index))
}

// capacityWithout returns the capacity of a model's copies other than the one on an
// engine.
func (view *view) capacityWithout(model names.Model, index int) float64 {
	return max(view.modelCapacity[model]-view.capacities[index], minCapacity)
}

// needs returns the models that need a copy, the most urgent first: those that are
// requested but on no engine, by the number of waiting requests and the work; then those
// whose copies gain most by another one; then those on no engine without requests.
func (view *view) needs() []need {
	var needs []need
	for name := range view.input.Engine.Models {
		demand := view.input.Demand[name]
		switch {
		case view.copies[name] == 0 && (demand.Waiting > 0 || demand.Work > 0):
			needs = append(needs, need{model: name, class: 0, urgency: float64(demand.Waiting) + demand.Work})
		case view.copies[name] == 0 && view.total > 0:
			needs = append(needs, need{model: name, class: 2})
		case view.work[name] > 0:
			if gain := view.gain(name); gain > view.minGain(false, 0) {
				needs = append(needs, need{model: name, class: 1, urgency: gain, gain: gain, hot: view.modelLoad(name) > hotFactor*view.mean})
			}
		}
	}
	sort.Slice(needs, func(i, j int) bool {
		a, b := needs[i], needs[j]
		switch {
		case a.class != b.class:
			return a.class < b.class
		case a.urgency != b.urgency:
			return a.urgency > b.urgency
		default:
			return a.model < b.model
		}
	})
	return needs
}

// makeRoom returns the copies to evict from an engine so that a needed model fits, the
// cost of that beside the load that other copies take over, and whether enough copies may
// be evicted.
func (view *view) makeRoom(index int, missingMB float64, need need, payoff float64) ([]names.Model, float64, bool) {
	victims := slices.Clone(view.engines[index].Models)
	sort.SliceStable(victims, func(i, j int) bool {
		return view.victimCost(victims[i], index) < view.victimCost(victims[j], index)
	})
	var unload []names.Model
	loss, missing := 0.0, view.missing
	for _, victim := range victims {
		if missingMB <= 0 {
			break
		}
		if !view.mayEvict(index, victim, need, payoff, missing) {
			continue
		}
		unload = append(unload, victim)
		loss += view.unloadCost(victim, index)
		if view.copies[victim] <= 1 {
			missing++
			if !view.idle(victim) {
				loss += lastCopyLoss
			}
		}
		missingMB -= view.input.Engine.Models[victim].WeightsMB
	}
	return unload, loss, missingMB <= 0
}

const (
	// usualUnloadCost is the cost of an unload, in units of the load of an engine, if the
	// model's requests are not known. An unload waits two to three seconds for running
	// streams, and the next load starts only then.
	usualUnloadCost = 0.3
	// idleUnloadCost is that of a model without requests. With requests it grows from
	// minUnloadCost to maxUnloadCost, and is in the middle with halfUnloadRequests: the
	// more requests there are, the later the last one ends.
	idleUnloadCost     = 0.05
	minUnloadCost      = 0.1
	maxUnloadCost      = 0.4
	halfUnloadRequests = 6
	// adapterCost is the cost of each adapter that has to be loaded elsewhere again.
	adapterCost = 0.01
)

// unloadCost returns the cost of unloading a model from an engine, in units of the load of
// an engine.
func (view *view) unloadCost(model names.Model, index int) float64 {
	engine := &view.engines[index]
	if !view.input.Scheduled || engine.Requests == nil {
		return usualUnloadCost
	}
	cost := idleUnloadCost
	if running := float64(engine.Requests[model]); running > 0 {
		cost = minUnloadCost + (maxUnloadCost-minUnloadCost)*running/(running+halfUnloadRequests)
	}
	return cost + adapterCost*float64(engine.Adapters[model])
}

// victimCost orders the models of an engine by what their eviction costs.
func (view *view) victimCost(model names.Model, index int) float64 {
	cost := view.evictionLoss(model, index)
	if view.input.Scheduled {
		cost += view.unloadCost(model, index)
	}
	return cost
}

// evictionLoss returns what is lost if a model is evicted from an engine: the load that each
// other copy takes over, or much more if there is no other copy.
func (view *view) evictionLoss(model names.Model, index int) float64 {
	switch {
	case view.copies[model] <= 1 && view.idle(model):
		return idleCopyLoss + view.input.Demand[model].Steady
	case view.copies[model] <= 1:
		return lastCopyLoss + view.work[model]
	default:
		return view.loss(model, index)
	}
}

const (
	// idleCopyLoss is the loss of the last copy of a model that nobody requests, in a service
	// whose requests are scheduled. Its weights stay on the engine's disk, so that it can
	// be loaded again within a second or two.
	idleCopyLoss = 0.1
	// minIdleEvictionGain is the least gain of a copy that evicts such a last copy, as a fraction
	// of the mean load of engines.
	minIdleEvictionGain = 0.12
	// maxMissingFraction is the largest fraction of the models that may have no copy for the
	// sake of further copies of others.
	maxMissingFraction = 0.2
)

// idle reports whether nobody has requested a model for some seconds and its last copy may
// make room for further copies of requested ones.
func (view *view) idle(model names.Model) bool {
	return view.input.Scheduled && view.work[model] == 0 && view.input.Demand[model].Waiting == 0
}

// lastCopyLoss is added to the loss of a model's last copy, so that even that of a model
// without requests is evicted after copies of models that have several.
const lastCopyLoss = 1

// lastCopyDemandFactor is how many times the steady demand for a model must be that for
// another one whose last copy it evicts.
const lastCopyDemandFactor = 3

// minIdleCopyAge is the age before which the last copy of an idle model does not make room for
// a further copy of another one. A model that is requested every few seconds is idle
// in between; without this bound each of its requests would wait for a load.
const minIdleCopyAge = demandHorizon

// mayEvict reports whether a copy on an engine may be evicted for a needed model, if a number
// of models are without a copy then.
func (view *view) mayEvict(index int, victim names.Model, need need, payoff float64, missing int) bool {
	since, known := view.engines[index].LoadedAt[victim]
	age := view.input.Now.Sub(since)
	if known && age < minCopyAge {
		return false
	}
	if view.input.Scheduled && view.copies[victim] > 1 && view.loaded[victim] <= 1 && !view.idle(victim) {
		// The other copies serve no requests until their loads, which may fail, are done.
		return false
	}
	demand := view.input.Demand[need.model]
	wanted := demand.Work > 0 || demand.Waiting > 0
	if view.copies[victim] <= 1 && view.copies[need.model] > 0 && view.idle(victim) {
		return need.hot && (!known || age >= minIdleCopyAge) && need.gain*payoff >= minIdleEvictionGain*max(view.mean, minMeanLoad) &&
			float64(missing) < maxMissingFraction*float64(len(view.input.Engine.Models))
	}
	if view.copies[victim] <= 1 {
		// The last copy is evicted only if it has no requests now and the needed model has no
		// copy and is requested much more often. Otherwise rarely requested models would
		// evict each other in turn.
		last := view.input.Demand[victim]
		return view.work[victim] == 0 && last.Waiting == 0 && last.Steady*lastCopyDemandFactor <= demand.Steady && wanted && view.copies[need.model] == 0
	}
	if view.copies[need.model] == 0 {
		return wanted || !view.requested(victim)
	}
	return view.loss(victim, index)*evictionGainFactor < need.gain*payoff
}

// requestedWork is the mean work per second over a longer time from which a model counts
// as requested, although it has no requests at the moment.
const requestedWork = 0.002

// requested reports whether a model has requests, or had some lately.
func (view *view) requested(model names.Model) bool {
	if view.work[model] > 0 {
		return true
	}
	demand := view.input.Demand[model]
	return view.input.Scheduled && (demand.Waiting > 0 || demand.Steady >= requestedWork)
}

// minGain returns the least gain that another copy has to bring. The bound depends on
// whether the copy evicts others, and otherwise on the time of its load.
func (view *view) minGain(evicts bool, load time.Duration) float64 {
	minimum := minFreeGain + gainPerLoadSecond*load.Seconds()
	switch {
	case evicts:
		minimum = minEvictingGain
	case view.input.Scheduled:
		minimum *= scheduledFreeGainFactor
	}
	return minimum * max(view.mean, minMeanLoad)
}

// scheduledFreeGainFactor multiplies the least gain of a copy that fits into unused memory,
// for a service whose requests are scheduled: demand shifts after seven to eight seconds,
// so that such a copy has to be loaded at the beginning of a shift.
const scheduledFreeGainFactor = 0.5

// apply applies a planned step to the view.
func (view *view) apply(step Step) {
	for index := range view.engines {
		engine := &view.engines[index]
		if engine.Server != step.Server {
			continue
		}
		remaining := slices.Clone(engine.Models)
		for _, model := range step.Unload {
			view.copies[model]--
			view.loaded[model]--
			remaining = slices.DeleteFunc(remaining, func(other names.Model) bool { return other == model })
		}
		engine.Models, engine.Loading, engine.Blocked = remaining, step.Load, true
		view.copies[step.Load]++
		switch {
		case len(step.Unload) > 0:
			view.unloading++
		case step.FromStore:
			view.storeLoads++
		}
	}
	view.computeLoads()
}
