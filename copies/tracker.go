package copies

import (
	"slices"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// Tracker is what the coordinator knows of one engine.
type Tracker struct {
	// orderMutex serialises orders to the engine. It is taken before mutex.
	orderMutex sync.Mutex
	// mutex guards all below.
	mutex    sync.Mutex
	server   *pool.Server
	accepted int64
	// known tells that models, adapters and accepted belong together: the engine
	// reported them in this term while it carried out no order, and every order
	// since has had an answer.
	known    bool
	querying bool
	// reportedCount is the count of the last report, and countedAt when it was first told.
	reportedCount   int64
	reportedCountAt time.Time
	models          []names.Model
	adapters        []pool.Adapter
	inMemory        []names.Model
	onDisk          []names.Model
	loadedAt        map[names.Model]time.Time
	// loading is being loaded until readyAt; zero until the engine took the order.
	loading names.Model
	readyAt time.Time
	// unloading models make way; requests no longer go to them.
	unloading   []names.Model
	stepRunning bool
	fenced      bool
}

func newLedger(server *pool.Server) *Tracker {
	tracker := &Tracker{loadedAt: map[names.Model]time.Time{}}
	tracker.useRegistry(server)
	return tracker
}

// useRegistry takes the registry's entry for the whole truth. The count of accepted
// orders is not in it: a new server has accepted none, and a conflict tells of a
// count that is wrong.
func (tracker *Tracker) useRegistry(server *pool.Server) {
	tracker.server = server
	tracker.models = slices.Clone(server.Models)
	tracker.adapters = slices.Clone(server.Adapters)
	tracker.inMemory, tracker.onDisk = server.InMemory, server.OnDisk
}

// syncServer takes in a newer entry of the registry, which lags behind orders.
func (tracker *Tracker) syncServer(server *pool.Server, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.server == server {
		return
	}
	if tracker.server.Born != server.Born || tracker.server.Address != server.Address {
		tracker.known, tracker.loading, tracker.unloading, tracker.accepted = false, "", nil, 0
		tracker.reportedCountAt = time.Time{}
		tracker.loadedAt = map[names.Model]time.Time{}
		tracker.useRegistry(server)
		return
	}
	tracker.server = server
	tracker.inMemory, tracker.onDisk = server.InMemory, server.OnDisk
	if tracker.loading != "" && server.Holds(tracker.loading) {
		tracker.finishLoad(now)
	}
	if !tracker.stepRunning && !tracker.known {
		tracker.useRegistry(server)
	}
}

// reportStableAfter is how long the count of a report has to stay the same until what
// the report says of models belongs to it: that may be some hundred milliseconds
// older than the count.
const reportStableAfter = 400 * time.Millisecond

// applyReport takes in what the engine says of itself.
func (tracker *Tracker) applyReport(engineReport EngineReport, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.reportedCountAt.IsZero() || engineReport.Accepted != tracker.reportedCount {
		tracker.reportedCount, tracker.reportedCountAt = engineReport.Accepted, now
	}
	if tracker.known && engineReport.Accepted == tracker.accepted {
		if tracker.loading != "" && slices.Contains(engineReport.Models, tracker.loading) {
			tracker.finishLoad(now)
		}
		return
	}
	tracker.accepted = engineReport.Accepted
	tracker.known = !engineReport.Busy && now.Sub(tracker.reportedCountAt) >= reportStableAfter
	if !tracker.known {
		return
	}
	tracker.models = slices.Clone(engineReport.Models)
	tracker.adapters = slices.Clone(engineReport.Adapters)
	if engineReport.InMemory != nil || engineReport.OnDisk != nil {
		tracker.inMemory, tracker.onDisk = engineReport.InMemory, engineReport.OnDisk
	}
}

// finishLoad ends a load. It is called with the mutex held.
func (tracker *Tracker) finishLoad(now time.Time) {
	if !slices.Contains(tracker.models, tracker.loading) {
		tracker.models = append(tracker.models, tracker.loading)
	}
	tracker.loadedAt[tracker.loading] = now
	tracker.loading, tracker.readyAt = "", time.Time{}
}

// finishDueLoad ends a load whose time has passed.
func (tracker *Tracker) finishDueLoad(now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.loading != "" && !tracker.readyAt.IsZero() && !now.Before(tracker.readyAt) {
		tracker.finishLoad(now)
	}
}

// state returns what the planner needs.
func (tracker *Tracker) state() EngineState {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return EngineState{
		Server:    tracker.server.ID,
		Models:    tracker.remainingModels(),
		Loading:   tracker.loading,
		InMemory:  tracker.inMemory,
		OnDisk:    tracker.onDisk,
		LoadedAt:  tracker.loadedAtCopy(),
		Unloading: len(tracker.unloading) > 0,
		Blocked:   tracker.stepRunning || tracker.fenced || !tracker.known || tracker.loading != "",
		Draining:  tracker.server.Draining,
	}
}

func (tracker *Tracker) loadedAtCopy() map[names.Model]time.Time {
	since := make(map[names.Model]time.Time, len(tracker.loadedAt))
	for model, at := range tracker.loadedAt {
		since[model] = at
	}
	return since
}

// remainingModels lists the models that do not make way. It is called with the mutex
// held.
func (tracker *Tracker) remainingModels() []names.Model {
	return slices.DeleteFunc(slices.Clone(tracker.models), func(model names.Model) bool {
		return slices.Contains(tracker.unloading, model)
	})
}

// holding returns what requests may be sent for.
func (tracker *Tracker) holding() pool.Holding {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return pool.Holding{
		Server: tracker.server.ID, Born: tracker.server.Born, Models: tracker.remainingModels(), Adapters: slices.Clone(tracker.adapters),
		Busy: !tracker.known || tracker.stepRunning || tracker.loading != "" || tracker.fenced,
	}
}

// recordAccepted notes an order that the engine carries out or finds done. Since it met the
// count, no other order came between: what was known before holds again.
func (tracker *Tracker) recordAccepted(order Order, outcome Outcome, known bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.known = known
	counted := outcome == OutcomeAccepted || (order.Adapter != "" && order.Unload)
	if counted {
		tracker.accepted++
	}
	adapter := pool.Adapter{Model: order.Model, Name: order.Adapter}
	switch {
	case order.Adapter != "" && order.Unload:
		tracker.adapters = slices.DeleteFunc(tracker.adapters, func(other pool.Adapter) bool { return other == adapter })
	case order.Adapter != "":
		if !slices.Contains(tracker.adapters, adapter) {
			tracker.adapters = append(tracker.adapters, adapter)
		}
	case order.Unload:
		tracker.models = slices.DeleteFunc(tracker.models, func(other names.Model) bool { return other == order.Model })
		tracker.adapters = slices.DeleteFunc(tracker.adapters, func(other pool.Adapter) bool { return other.Model == order.Model })
		delete(tracker.loadedAt, order.Model)
	}
}
