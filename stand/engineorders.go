package stand

import (
	"time"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
)

// EngineFetch is one read of weights that a load waits for.
type EngineFetch struct {
	Model   names.Model
	Adapter names.Adapter
	Bytes   int64
	// LoadNumber numbers the load, for [EngineMachine.FinishFetch].
	LoadNumber int64
}

// ApplyOrder carries an order out, or refuses it with a *[engine.FencedError].
func (machine *EngineMachine) ApplyOrder(now time.Time, order engine.Order) ([]EngineFetch, error) {
	if machine.config.Fencing && order.Fence.Epoch < machine.highestFence.Epoch {
		return nil, &engine.FencedError{Sent: order.Fence, Seen: machine.highestFence}
	}
	fetches := machine.applyAction(now, order.Action)
	if order.Fence.Compare(machine.highestFence) > 0 {
		machine.highestFence = order.Fence
	}
	if order.Fence.Compare(machine.appliedFence) > 0 {
		machine.appliedFence = order.Fence
	}
	machine.record(now)
	return fetches, nil
}

// DelayOrder carries an order out at a later step.
func (machine *EngineMachine) DelayOrder(at time.Time, order engine.Order) {
	machine.delayed = append(machine.delayed, engineDelayedOrder{at: at, order: order})
}

func (machine *EngineMachine) applyDelayed(now time.Time) {
	waiting := machine.delayed
	machine.delayed = nil
	for _, delayed := range waiting {
		if delayed.at.After(now) {
			machine.delayed = append(machine.delayed, delayed)
			continue
		}
		// A late order has nobody to answer, and its weights are not fetched.
		fetches, _ := machine.ApplyOrder(now, delayed.order)
		for _, fetch := range fetches {
			machine.FinishFetch(now, fetch, nil)
		}
	}
}

func (machine *EngineMachine) applyAction(now time.Time, action engine.Action) []EngineFetch {
	switch action := action.(type) {
	case engine.LoadModel:
		return machine.load(engineWeightsKey{model: action.Model}, action.Bytes, now.Add(machine.config.LoadTime))
	case engine.LoadAdapter:
		if _, found := machine.weights[engineWeightsKey{model: action.Model}]; !found {
			return nil
		}
		key := engineWeightsKey{model: action.Model, adapter: action.Adapter}
		return machine.load(key, action.Bytes, now.Add(machine.config.AdapterLoadTime))
	case engine.UnloadModel:
		for key := range machine.weights {
			if key.model == action.Model {
				machine.unload(key, now)
			}
		}
	case engine.UnloadAdapter:
		machine.unload(engineWeightsKey{model: action.Model, adapter: action.Adapter}, now)
	case engine.ChangeRole:
		machine.role = action.Role
	}
	return nil
}

func (machine *EngineMachine) load(key engineWeightsKey, bytes int64, readyAt time.Time) []EngineFetch {
	if weights, found := machine.weights[key]; found {
		// A load revives weights that are being unloaded.
		weights.unloading = false
		return nil
	}
	machine.loads++
	machine.weights[key] = &engineWeights{
		bytes: bytes, readyAt: readyAt, loading: true, fetching: machine.config.Fetch != nil, loadNumber: machine.loads,
	}
	return []EngineFetch{{Model: key.model, Adapter: key.adapter, Bytes: bytes, LoadNumber: machine.loads}}
}

// FinishFetch tells that the weights of a load were read, or could not be.
func (machine *EngineMachine) FinishFetch(now time.Time, fetch EngineFetch, err error) {
	key := engineWeightsKey{model: fetch.Model, adapter: fetch.Adapter}
	weights, found := machine.weights[key]
	if !found || weights.loadNumber != fetch.LoadNumber {
		return
	}
	weights.fetching = false
	if err != nil {
		delete(machine.weights, key)
		machine.record(now)
	}
}

// unload breaks the generations that use the weights and frees them later.
func (machine *EngineMachine) unload(key engineWeightsKey, now time.Time) {
	weights, found := machine.weights[key]
	if !found {
		return
	}
	for request, sequence := range machine.sequences {
		generation := sequence.generation
		if generation.Model == key.model && (key.adapter == "" || generation.Adapter == key.adapter) {
			machine.abort(request, errEngineUnloaded)
		}
	}
	weights.unloading, weights.freeAt = true, now.Add(machine.config.UnloadTime)
	if machine.config.UnloadTime == 0 {
		delete(machine.weights, key)
	}
}

func (machine *EngineMachine) finishWeightChanges(now time.Time) {
	for key, weights := range machine.weights {
		if weights.unloading && !weights.freeAt.After(now) {
			delete(machine.weights, key)
			continue
		}
		if weights.loading && !weights.fetching && !weights.readyAt.After(now) {
			weights.loading = false
		}
	}
}
