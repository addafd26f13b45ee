package copies

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// view is what the planner reckons with while it makes a plan.
type view struct {
	input   PlanInput
	engines []EngineState
	// copies counts the engines that hold or load a model, work is the load that
	// its requests are, in engines.
	copies     map[names.Model]int
	work       map[names.Model]float64
	total      float64
	mean       float64
	storeLoads int
	// unloading counts the engines that make room for a load.
	unloading int
	largestMB float64
	// holders lists the engines that hold or load a model, loads the load of each.
	holders map[names.Model][]int
	loads   []float64
	// loadChangeBuffer has a zero for each engine between two calls of unevenness.
	loadChangeBuffer []float64
	// freeMB is the memory of each engine that nothing uses, adaptersMB what its
	// adapters may take.
	freeMB     []float64
	adaptersMB float64
}

// need is a model that another copy would do good.
type need struct {
	model names.Model
	class int
	// gain is by how much another copy relieves each of those that there are.
	gain float64
	// hot tells that their engines have more to do than others.
	hot     bool
	urgency float64
}

func newView(planInput PlanInput) *view {
	view := &view{input: planInput, engines: slices.Clone(planInput.Engines), copies: map[names.Model]int{}, work: map[names.Model]float64{}}
	for _, model := range planInput.Engine.Models {
		view.largestMB = max(view.largestMB, model.WeightsMB)
	}
	usable := 0.0
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
		usable++
		for _, model := range heldModels(engine) {
			view.copies[model]++
		}
	}
	for name, demand := range planInput.Demand {
		size := planInput.Engine.Models[name].WeightsMB
		view.work[name] = demand.Work * math.Pow(size/view.largestMB, sizeExponent)
		view.total += view.work[name]
	}
	view.mean = view.total / max(usable, 1)
	view.adaptersMB = view.adapterMemoryMB()
	view.loadChangeBuffer = make([]float64, len(view.engines))
	view.computeLoads()
	return view
}

// computeLoads works out who holds what, and the load and the free memory of each engine.
func (view *view) computeLoads() {
	view.holders = map[names.Model][]int{}
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

// heldModels lists the models that an engine holds or will hold.
func heldModels(engine EngineState) []names.Model {
	if engine.Loading == "" || slices.Contains(engine.Models, engine.Loading) {
		return engine.Models
	}
	return append(slices.Clone(engine.Models), engine.Loading)
}

// copyLoad is the load that one copy of a model carries.
func (view *view) copyLoad(model names.Model) float64 {
	return view.work[model] / float64(max(view.copies[model], 1))
}

// modelLoad is the mean load of the engines that hold a model.
func (view *view) modelLoad(model names.Model) float64 {
	load := 0.0
	for _, index := range view.holders[model] {
		load += view.loads[index]
	}
	return load / float64(max(len(view.holders[model]), 1))
}

// unevenness is by how much the sum of the squares of all loads changes where an
// engine takes a copy of a model in place of others. The requests of those go to
// their other copies.
func (view *view) unevenness(index int, unload []names.Model, model names.Model) float64 {
	changes := loadChanges{byEngine: view.loadChangeBuffer}
	for _, victim := range unload {
		before, after := view.copyLoad(victim), 0.0
		if count := view.copies[victim]; count > 1 {
			after = view.work[victim] / float64(count-1)
		}
		for _, holder := range view.holders[victim] {
			changes.add(holder, after-before)
		}
		changes.add(index, -after)
	}
	after := view.work[model] / float64(view.copies[model]+1)
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

// loadChanges are changes of the loads of engines.
type loadChanges struct {
	// engines lists those that change; the others are zero in by.
	engines  []int
	byEngine []float64
}

func (loadChanges *loadChanges) add(engine int, change float64) {
	if loadChanges.byEngine[engine] == 0 {
		loadChanges.engines = append(loadChanges.engines, engine)
	}
	loadChanges.byEngine[engine] += change
}

// gain is by how much another copy relieves each copy of a model.
func (view *view) gain(model names.Model) float64 {
	count := float64(view.copies[model])
	return view.work[model] / (count * (count + 1))
}

// loss is by how much each copy of a model is burdened when one goes.
func (view *view) loss(model names.Model) float64 {
	count := float64(view.copies[model])
	return view.work[model] / (count * (count - 1))
}

// needs lists the models that need a copy: first those that nobody holds, by
// how many wait, then those that another copy relieves most, then those that
// nobody holds or asks for.
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

// makeRoom returns the copies that make way for a model on an engine where memory
// is missing, and what that costs beside the load that others take over.
func (view *view) makeRoom(engine *EngineState, missingMB float64, need need, payoff float64) ([]names.Model, float64, bool) {
	victims := slices.Clone(engine.Models)
	sort.SliceStable(victims, func(i, j int) bool { return view.evictionLoss(victims[i]) < view.evictionLoss(victims[j]) })
	var unload []names.Model
	loss := 0.0
	for _, victim := range victims {
		if missingMB <= 0 {
			break
		}
		if !view.mayEvict(engine, victim, need, payoff) {
			continue
		}
		unload = append(unload, victim)
		loss += unloadCost
		if view.copies[victim] <= 1 {
			loss += lastCopyLoss
		}
		missingMB -= view.input.Engine.Models[victim].WeightsMB
	}
	return unload, loss, missingMB <= 0
}

// unloadCost is the load that an unload counts as: it waits for the streams that
// run, two to three seconds, and the load after it only then begins.
const unloadCost = 0.3

// evictionLoss is what is lost with one copy of a model: the load that others take
// over, and much more where there is no other.
func (view *view) evictionLoss(model names.Model) float64 {
	if view.copies[model] <= 1 {
		return lastCopyLoss + view.work[model]
	}
	return view.loss(model)
}

// lastCopyLoss keeps the last copy of a model that nobody asks for behind every
// second copy.
const lastCopyLoss = 1

// lastCopyDemandFactor is how much more a model has to be asked for than one whose last
// copy makes way for it.
const lastCopyDemandFactor = 3

// mayEvict tells whether a copy may make way for another model.
func (view *view) mayEvict(engine *EngineState, victim names.Model, need need, payoff float64) bool {
	if since, known := engine.LoadedAt[victim]; known && view.input.Now.Sub(since) < minCopyAge {
		return false
	}
	demand := view.input.Demand[need.model]
	wanted := demand.Work > 0 || demand.Waiting > 0
	if view.copies[victim] <= 1 {
		// The last copy goes only where nobody asks for it just now and the other is held
		// nowhere and asked for much more often: rare models would take turns otherwise.
		last := view.input.Demand[victim]
		return view.work[victim] == 0 && last.Waiting == 0 && last.Steady*lastCopyDemandFactor <= demand.Steady && wanted && view.copies[need.model] == 0
	}
	if view.copies[need.model] == 0 {
		return wanted || view.work[victim] == 0
	}
	return view.loss(victim)*evictionGainFactor < need.gain*payoff
}

// minGain is by how much another copy has to relieve each of those that there
// are, where others make way for it or not, with a load of that time.
func (view *view) minGain(evicts bool, load time.Duration) float64 {
	minimum := minFreeGain + gainPerLoadSecond*load.Seconds()
	if evicts {
		minimum = minEvictingGain
	}
	return minimum * max(view.mean, minMeanLoad)
}

// adapterMemoryMB is the memory that an engine's adapters may take.
func (view *view) adapterMemoryMB() float64 {
	largest := 0.0
	for _, model := range view.input.Engine.Models {
		largest = max(largest, model.AdapterMB)
	}
	return largest * float64(view.input.Engine.AdapterSlots)
}

// apply changes the view as a step will.
func (view *view) apply(step Step) {
	for index := range view.engines {
		engine := &view.engines[index]
		if engine.Server != step.Server {
			continue
		}
		remaining := slices.Clone(engine.Models)
		for _, model := range step.Unload {
			view.copies[model]--
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
