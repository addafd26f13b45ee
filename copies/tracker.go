package copies

import (
	"slices"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// Tracker tracks the state of one engine for the coordinator.
type Tracker struct {
	// orderMutex serializes orders to the engine. It is locked before mutex.
	orderMutex sync.Mutex
	// mutex guards all below.
	mutex  sync.Mutex
	server *pool.Server
	// accepted is the number of orders that the engine has accepted.
	accepted int64
	// known reports whether models, adapters and accepted are consistent: the engine
	// reported them in this term while it executed no order, and every order since
	// has had an answer.
	known    bool
	querying bool
	// reportedCount is the count of accepted orders in the last report, and
	// reportedCountAt the time of the first report with that count.
	reportedCount   int64
	reportedCountAt time.Time
	models          []names.Model
	adapters        []pool.Adapter
	inMemory        []names.Model
	onDisk          []names.Model
	loadedAt        map[names.Model]time.Time
	// loading is the model that is being loaded, if any, and readyAt the time when
	// that is expected to end. readyAt is zero until the engine accepts the order.
	loading names.Model
	readyAt time.Time
	// unloading are the models that the running step unloads. Entries send no more
	// requests for them.
	unloading   []names.Model
	stepRunning bool
	// fenced reports whether the engine has seen a newer coordinator.
	fenced bool
}

func newTracker(server *pool.Server) *Tracker {
	tracker := &Tracker{loadedAt: map[names.Model]time.Time{}}
	tracker.useRegistry(server)
	return tracker
}

// useRegistry replaces the state by the engine's entry in the registry. The entry does
// not contain the count of accepted orders: a new server has accepted none, and the
// engine answers an order with a wrong count by a conflict.
func (tracker *Tracker) useRegistry(server *pool.Server) {
	tracker.server = server
	tracker.models = slices.Clone(server.Models)
	tracker.adapters = slices.Clone(server.Adapters)
	tracker.inMemory, tracker.onDisk = server.InMemory, server.OnDisk
}

// syncServer applies a newer entry of the registry, which lags behind orders.
func (tracker *Tracker) syncServer(server *pool.Server, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.server == server {
		return
	}
	if !tracker.isIncarnation(server.Incarnation, server.Address) {
		tracker.known, tracker.loading, tracker.unloading, tracker.accepted = false, "", nil, 0
		tracker.reportedCountAt = time.Time{}
		tracker.loadedAt = map[names.Model]time.Time{}
		tracker.useRegistry(server)
		return
	}
	tracker.server = server
	tracker.inMemory, tracker.onDisk = server.InMemory, server.OnDisk
	if tracker.loading != "" && server.HasModel(tracker.loading) {
		tracker.finishLoad(now)
	}
	if !tracker.stepRunning && !tracker.known {
		tracker.useRegistry(server)
	}
}

// reportStableAfter is how long the reported count of accepted orders has to stay the
// same until the models in a report are known to match it. The models in a report may be
// some hundred milliseconds older than its count.
const reportStableAfter = 400 * time.Millisecond

// isIncarnation reports whether the engine still is the incarnation at an address. It is
// called with the mutex held.
func (tracker *Tracker) isIncarnation(incarnation int64, address string) bool {
	return tracker.server.Incarnation == incarnation && tracker.server.Address == address
}

// concerns reports whether the engine still is the incarnation that request is meant for.
func (tracker *Tracker) concerns(request OrderRequest) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.isIncarnation(request.Incarnation, request.Address)
}

// applyReport applies the engine's own report. It ignores that of an incarnation that has
// ended since the report was requested.
func (tracker *Tracker) applyReport(reporter *pool.Server, engineReport EngineReport, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if !tracker.isIncarnation(reporter.Incarnation, reporter.Address) {
		return
	}
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

// finishLoad records that the running load is done. It is called with the mutex held.
func (tracker *Tracker) finishLoad(now time.Time) {
	if !slices.Contains(tracker.models, tracker.loading) {
		tracker.models = append(tracker.models, tracker.loading)
	}
	tracker.loadedAt[tracker.loading] = now
	tracker.loading, tracker.readyAt = "", time.Time{}
}

// finishDueLoad records that the running load is done if its expected time has passed.
func (tracker *Tracker) finishDueLoad(now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.loading != "" && !tracker.readyAt.IsZero() && !now.Before(tracker.readyAt) {
		tracker.finishLoad(now)
	}
}

// state returns the engine's state for the planner.
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

// loadedAtCopy returns a copy of loadedAt. It is called with the mutex held.
func (tracker *Tracker) loadedAtCopy() map[names.Model]time.Time {
	since := make(map[names.Model]time.Time, len(tracker.loadedAt))
	for model, at := range tracker.loadedAt {
		since[model] = at
	}
	return since
}

// remainingModels returns the models that are not being unloaded. It is called with the
// mutex held.
func (tracker *Tracker) remainingModels() []names.Model {
	return slices.DeleteFunc(slices.Clone(tracker.models), func(model names.Model) bool {
		return slices.Contains(tracker.unloading, model)
	})
}

// holding returns the models and adapters that entries may send requests for.
func (tracker *Tracker) holding() pool.Holding {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return pool.Holding{
		Server: tracker.server.ID, Incarnation: tracker.server.Incarnation, Models: tracker.remainingModels(), Adapters: slices.Clone(tracker.adapters),
		Busy: !tracker.known || tracker.stepRunning || tracker.loading != "" || tracker.fenced,
	}
}

// recordAccepted records an order that the engine has accepted or that needed no change.
// As its count matched, the engine has accepted no other order since the count was read,
// and known is what it was at that time. If the engine has restarted since the order was
// sent, the answer says nothing of it, and recordAccepted returns false.
func (tracker *Tracker) recordAccepted(request OrderRequest, outcome Outcome, known bool) bool {
	order := request.Order
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if !tracker.isIncarnation(request.Incarnation, request.Address) {
		return false
	}
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
	return true
}
