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

// fakeEngine simulates a model engine and records orders that exceed its memory or its
// adapter slots.
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
	// delayed are orders without an answer that may still be executed.
	delayed []copies.OrderRequest
	// violations describes the orders that exceeded a limit of the engine.
	violations []string
	// fate chooses how the next order is handled.
	fate    func() fate
	reports int
	// history holds a snapshot for each change of the engine, oldest first.
	history []snapshot
}

// snapshot is the state of an engine at one time.
type snapshot struct {
	at       time.Time
	accepted int64
	models   []names.Model
	adapters []pool.Adapter
	busy     bool
}

// reportLag is the age of all that a report contains.
const reportLag = 200 * time.Millisecond

// record adds a snapshot to the history. It is called with the mutex held after each
// change.
func (engine *fakeEngine) record() {
	engine.history = append(engine.history, snapshot{
		at: engine.clock.Now(), accepted: engine.accepted, models: slices.Clone(engine.models), adapters: slices.Clone(engine.adapters), busy: engine.loading != "",
	})
}

// reported returns the snapshot that a report is based on. It is called with the mutex
// held.
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

// fate is how an order is handled: it is executed and answered, executed without an
// answer, executed later, or lost.
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

// execute executes an order, or refuses it. It is called with the mutex held.
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
			engine.violations = append(engine.violations, "an adapter beyond the slots")
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

// finish ends the running load, if any.
func (engine *fakeEngine) finish() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.loading != "" {
		engine.models = append(engine.models, engine.loading)
		engine.loading = ""
		engine.record()
	}
}

// deliver executes the oldest delayed order, if any.
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
	return copies.EngineReport{Busy: seen.busy, Accepted: seen.accepted, Models: slices.Clone(seen.models), Adapters: slices.Clone(seen.adapters)}, nil
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

// restart ends the incarnation. The next one holds nothing and has accepted no orders.
func (engine *fakeEngine) restart() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.accepted, engine.fence, engine.models, engine.adapters, engine.loading = 0, 0, nil, nil, ""
	// No report shows an earlier incarnation.
	engine.history = nil
	engine.record()
}

// deliverMatching executes the delayed orders that the engine accepts now.
func (engine *fakeEngine) deliverMatching() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.delayed = slices.DeleteFunc(engine.delayed, func(orderRequest copies.OrderRequest) bool {
		return engine.execute(orderRequest) != copies.OutcomeConflict
	})
}
