package copies_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

var errNoAnswer = errors.New("no answer")

// fakeEngine is a model engine that checks what it is ordered to hold.
type fakeEngine struct {
	spec  *policy.Engine
	clock *quickClock
	// mutex guards all below.
	mutex    sync.Mutex
	accepted int64
	fence    int64
	models   []names.Model
	adapters []pool.Adapter
	loading  names.Model
	// delayed are orders that have had no answer and may be carried out later.
	delayed []copies.OrderRequest
	// violations lists what an engine must never be ordered.
	violations []string
	// fate decides what becomes of the next order.
	fate    func() fate
	reports int
	// history is what the engine held and did at former times, oldest first.
	history []snapshot
}

// snapshot is what an engine held at a time.
type snapshot struct {
	at       time.Time
	models   []names.Model
	adapters []pool.Adapter
	busy     bool
}

// reportLag is how old what a report says of models may be; its count of orders
// is fresh.
const reportLag = 200 * time.Millisecond

// record is called with the mutex held after each change.
func (engine *fakeEngine) record() {
	engine.history = append(engine.history, snapshot{
		at: engine.clock.Now(), models: slices.Clone(engine.models), adapters: slices.Clone(engine.adapters), busy: engine.loading != "",
	})
}

// reported is what a report tells. It is called with the mutex held.
func (engine *fakeEngine) reported() snapshot {
	now := engine.clock.Now()
	seen := engine.history[0]
	for _, each := range engine.history {
		if now.Sub(each.at) >= reportLag {
			seen = each
		}
	}
	return seen
}

// fate is what becomes of an order.
type fate int

const (
	fateReplied fate = iota
	fateReplyLost
	fateDelayed
	fateLost
)

func newFakeEngine(models ...names.Model) *fakeEngine {
	engine := &fakeEngine{spec: engineSpec(), clock: newQuickClock(), models: models, fate: func() fate { return fateReplied }}
	engine.record()
	return engine
}

// Order implements [copies.EngineClient].
func (engine *fakeEngine) Order(_ context.Context, orderRequest copies.OrderRequest) (copies.Outcome, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	switch engine.fate() {
	case fateReplyLost:
		engine.execute(orderRequest)
		return copies.OutcomeUnknown, errNoAnswer
	case fateDelayed:
		engine.delayed = append(engine.delayed, orderRequest)
		return copies.OutcomeUnknown, errNoAnswer
	case fateLost:
		return copies.OutcomeUnknown, errNoAnswer
	default:
		return engine.execute(orderRequest), nil
	}
}

// execute is called with the mutex held.
func (engine *fakeEngine) execute(orderRequest copies.OrderRequest) copies.Outcome {
	defer engine.record()
	if orderRequest.Term < engine.fence {
		return copies.OutcomeFenced
	}
	if orderRequest.Accepted != engine.accepted || engine.loading != "" {
		return copies.OutcomeConflict
	}
	engine.fence = orderRequest.Term
	adapter := pool.Adapter{Model: orderRequest.Model, Name: orderRequest.Adapter}
	switch {
	case orderRequest.Adapter != "" && orderRequest.Unload:
		engine.adapters = slices.DeleteFunc(engine.adapters, func(other pool.Adapter) bool { return other == adapter })
		engine.accepted++
		return copies.OutcomeUnchanged
	case orderRequest.Adapter != "":
		if slices.Contains(engine.adapters, adapter) {
			return copies.OutcomeUnchanged
		}
		if len(engine.adapters) >= engine.spec.AdapterSlots {
			engine.violations = append(engine.violations, "an adapter beyond the places")
		}
		engine.adapters = append(engine.adapters, adapter)
	case orderRequest.Unload:
		engine.models = slices.DeleteFunc(engine.models, func(other names.Model) bool { return other == orderRequest.Model })
		engine.adapters = slices.DeleteFunc(engine.adapters, func(other pool.Adapter) bool { return other.Model == orderRequest.Model })
	default:
		if slices.Contains(engine.models, orderRequest.Model) {
			return copies.OutcomeUnchanged
		}
		engine.loading = orderRequest.Model
		total := engine.spec.Models[orderRequest.Model].WeightsMB
		for _, model := range engine.models {
			total += engine.spec.Models[model].WeightsMB
		}
		if total > engine.spec.WeightsMB {
			engine.violations = append(engine.violations, "a model beyond the memory: "+string(orderRequest.Model))
		}
	}
	engine.accepted++
	return copies.OutcomeAccepted
}

// finish ends the load that is under way.
func (engine *fakeEngine) finish() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.loading != "" {
		engine.models = append(engine.models, engine.loading)
		engine.loading = ""
		engine.record()
	}
}

// deliver carries out an order that was late.
func (engine *fakeEngine) deliver() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if len(engine.delayed) > 0 {
		engine.execute(engine.delayed[0])
		engine.delayed = engine.delayed[1:]
	}
}

// Report implements [copies.EngineClient].
func (engine *fakeEngine) Report(context.Context, string, names.BackendServer) (copies.EngineReport, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.reports++
	seen := engine.reported()
	return copies.EngineReport{Busy: seen.busy, Accepted: engine.accepted, Models: slices.Clone(seen.models), Adapters: slices.Clone(seen.adapters)}, nil
}

func (engine *fakeEngine) recordedViolations() []string {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return slices.Clone(engine.violations)
}

func (engine *fakeEngine) held() []names.Model {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return slices.Clone(engine.models)
}
