package stand

import (
	"time"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
)

// EngineFetch describes weights that have to be fetched before a load completes.
type EngineFetch struct {
	Model   names.Model
	Adapter names.Adapter
	Bytes   int64
	// LoadNumber identifies the load in [EngineMachine.FinishFetch].
	LoadNumber int64
}

// ApplyOrder executes an order and returns the weights to fetch for it. If
// fencing refuses the order, it returns a *[engine.FencedError].
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

// DelayOrder schedules an order for the first step at or after at.
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
		// A delayed order has no caller left to respond to, so its error is
		// ignored, and its weights count as fetched.
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
		// A load cancels an unload that is in progress.
		weights.unloading = false
		return nil
	}
	machine.loads++
	machine.weights[key] = &engineWeights{
		bytes: bytes, readyAt: readyAt, loading: true, fetching: machine.config.Fetch != nil, loadNumber: machine.loads,
	}
	return []EngineFetch{{Model: key.model, Adapter: key.adapter, Bytes: bytes, LoadNumber: machine.loads}}
}

// FinishFetch records that fetch has ended; a non-nil err aborts the load. It
// ignores a fetch whose load is no longer current.
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

// unload fails the generations that use the weights and frees the memory after
// the unload time.
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
