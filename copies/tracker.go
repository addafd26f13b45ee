package copies

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// Tracker tracks the state of one engine for the coordinator.
type Tracker struct {
	// orderLock serializes orders to the engine and queries of its state: it holds an
	// element while one of them runs. It is taken before mutex.
	orderLock chan struct{}
	// mutex guards all below.
	mutex  sync.Mutex
	server *pool.Server
	// foundAt is when this term's registry first listed the engine. It is zero once the engine
	// has restarted: it executes no orders from before this term then.
	foundAt time.Time
	// delistedAt is when the registry dropped the engine, or zero while it is listed.
	// outdatedAt is since when the registry has listed an older incarnation, or zero.
	delistedAt time.Time
	outdatedAt time.Time
	// ledger is what orders are based on, and acceptedAt when the engine last accepted one.
	ledger     ledger
	acceptedAt time.Time
	// unansweredAt is when the last attempt of an order ended without an answer.
	unansweredAt time.Time
	// reported reports whether the ledger of the incarnation has been consistent before. Until
	// then requests are sent by the registry's lists of models and adapters, which are older;
	// no order is.
	reported bool
	// unanswered are the orders without an answer that may still arrive.
	unanswered []unansweredOrder
	// withheldUntil is when orders that could leave no room for late ones may be sent.
	withheldUntil time.Time
	// adapterOrderAt is when the engine last accepted an order for an adapter.
	adapterOrderAt time.Time
	querying       bool
	// busySeen reports whether the engine executed an order at its last report that is
	// not one of the running step, or whether that report was too old to tell.
	busySeen bool
	// reportedCount is the count of accepted orders in the last report, and
	// reportedCountAt the time of the first report with that count and of an idle engine.
	reportedCount   int64
	reportedCountAt time.Time
	inMemory        []names.Model
	onDisk          []names.Model
	loadedAt        map[names.Model]time.Time
	// unloadedAt is when the engine accepted the unload of a model.
	unloadedAt map[names.Model]time.Time
	// adapterLoadedAt is when the engine accepted the order for an adapter.
	adapterLoadedAt map[pool.Adapter]time.Time
	// loading is the model that is being loaded, if any, and readyAt the time when
	// that is expected to end. readyAt is zero until the engine accepts the order.
	loading names.Model
	readyAt time.Time
	// unloading are the models that the running step unloads. Entries send no more
	// requests for them.
	unloading   []names.Model
	stepRunning bool
	// step is the step that runs or ran last. awaiting reports whether it waits for the
	// requests for the models that it will unload, while the engine accepts other orders;
	// canceled reports whether it is to end without an order.
	step     Step
	awaiting bool
	canceled bool
	// switching reports whether the running step has begun to send orders. Until it ends
	// the engine would refuse others.
	switching bool
	// fenced reports whether the engine has seen a newer coordinator.
	fenced bool
}

func newTracker(server *pool.Server, now time.Time) *Tracker {
	return &Tracker{
		foundAt: now, orderLock: make(chan struct{}, 1), server: server, inMemory: server.InMemory, onDisk: server.OnDisk,
		loadedAt: map[names.Model]time.Time{}, unloadedAt: map[names.Model]time.Time{}, adapterLoadedAt: map[pool.Adapter]time.Time{},
	}
}

// lockOrders takes orderLock, or fails when ctx is done.
func (tracker *Tracker) lockOrders(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case tracker.orderLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (tracker *Tracker) unlockOrders() { <-tracker.orderLock }

const (
	// outdatedEntryLifetime is how long the registry may list an earlier incarnation than
	// it did before. If its service was restored from a copy, the engine writes its entry
	// again within 1.2 s; if the engine's clock was set back, the entry stays.
	outdatedEntryLifetime = 5 * time.Second
	// registryLag is how much older than the engine's state its entry may be: it is
	// written every 1.2 s, and the copy of the registry may lag.
	registryLag = 4 * time.Second
)

// syncServer applies a newer entry of the registry, which lags behind orders. It reports
// false if it ignores the entry as that of an earlier incarnation.
func (tracker *Tracker) syncServer(server *pool.Server, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.delistedAt = time.Time{}
	if tracker.server == server {
		return true
	}
	if server.Incarnation < tracker.server.Incarnation {
		if tracker.outdatedAt.IsZero() {
			tracker.outdatedAt = now
		}
		if now.Sub(tracker.outdatedAt) < outdatedEntryLifetime {
			return false
		}
	}
	tracker.outdatedAt = time.Time{}
	if !tracker.isIncarnation(server.Incarnation, server.Address) {
		tracker.ledger, tracker.reported, tracker.busySeen = ledger{}, false, false
		tracker.loading, tracker.unloading, tracker.foundAt = "", nil, time.Time{}
		tracker.reportedCount, tracker.reportedCountAt, tracker.withheldUntil, tracker.acceptedAt = 0, time.Time{}, time.Time{}, time.Time{}
		tracker.loadedAt, tracker.unloadedAt = map[names.Model]time.Time{}, map[names.Model]time.Time{}
		tracker.adapterLoadedAt = map[pool.Adapter]time.Time{}
	}
	tracker.server = server
	tracker.inMemory, tracker.onDisk = server.InMemory, server.OnDisk
	if tracker.loading != "" && server.HasModel(tracker.loading) && now.Sub(tracker.unloadedAt[tracker.loading]) > registryLag {
		tracker.finishLoad(now)
	}
	return true
}

// isListed reports whether the registry lists the engine.
func (tracker *Tracker) isListed() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.delistedAt.IsZero()
}

// delist records that the registry does not list the engine. It reports whether the
// tracker can be removed: orders to the engine must not arrive any more.
func (tracker *Tracker) delist(now time.Time) (removable bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.delistedAt.IsZero() {
		tracker.delistedAt = now
	}
	return !tracker.stepRunning && now.Sub(tracker.delistedAt) > lateOrderLifetime
}

// reportStableAfter is how long the reported count of accepted orders has to stay the
// same, and the engine idle, until the models in a report are known to match it. The
// models in a report may be some hundred milliseconds older than its count.
const reportStableAfter = 400 * time.Millisecond

// maxReportAge bounds the age of what a report contains: it is some hundred milliseconds
// old, the count of accepted orders included.
const maxReportAge = time.Second

// isOutdated reports whether an engine's report, requested at asked, may be from before the
// last order that the engine has accepted, or before a report that is known. The mutex is
// held.
func (tracker *Tracker) isOutdated(engineReport EngineReport, asked time.Time) bool {
	return engineReport.Accepted < tracker.ledger.accepted && asked.Sub(tracker.acceptedAt) < maxReportAge ||
		engineReport.Accepted < tracker.reportedCount && asked.Sub(tracker.reportedCountAt) < maxReportAge
}

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

// applyReport applies the engine's own report, which was requested at asked. It reports
// false if it ignores the report, as that of an incarnation that has ended since or as one
// from before what is known.
func (tracker *Tracker) applyReport(reporter *pool.Server, engineReport EngineReport, asked, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if !tracker.isIncarnation(reporter.Incarnation, reporter.Address) {
		return false
	}
	if tracker.isOutdated(engineReport, asked) {
		// The engine is queried again: it may also have restarted.
		tracker.busySeen = tracker.busySeen || !tracker.stepRunning
		return false
	}
	if engineReport.Accepted < tracker.ledger.accepted || engineReport.Accepted < tracker.reportedCount {
		tracker.recordRestart()
	}
	if tracker.reportedCountAt.IsZero() || engineReport.Accepted != tracker.reportedCount || engineReport.Busy {
		tracker.reportedCount, tracker.reportedCountAt = engineReport.Accepted, now
	}
	stable := !engineReport.Busy && asked.Sub(tracker.reportedCountAt) >= reportStableAfter
	if tracker.ledger.pending && engineReport.Accepted == tracker.ledger.accepted {
		// A report from before the order says nothing of it.
		stable = stable && asked.Sub(tracker.unansweredAt) >= reportStableAfter
	}
	if tracker.ledger.consistent && engineReport.Accepted == tracker.ledger.accepted && (!tracker.ledger.pending || !stable) {
		if tracker.loading != "" && slices.Contains(engineReport.Models, tracker.loading) {
			tracker.finishLoad(now)
		}
		tracker.busySeen = engineReport.Busy && tracker.loading == "" && !tracker.stepRunning
		return true
	}
	if !stable {
		tracker.ledger.doubt(engineReport.Accepted)
		return true
	}
	tracker.ledger = newLedger(engineReport)
	tracker.reported, tracker.busySeen = true, false
	if tracker.loading != "" && !tracker.readyAt.IsZero() {
		if slices.Contains(engineReport.Models, tracker.loading) {
			tracker.finishLoad(now)
		}
		tracker.loading, tracker.readyAt = "", time.Time{}
	}
	if engineReport.InMemory != nil || engineReport.OnDisk != nil {
		tracker.inMemory, tracker.onDisk = engineReport.InMemory, engineReport.OnDisk
	}
	return true
}

// finishLoad records that the running load is done. It is called with the mutex held.
func (tracker *Tracker) finishLoad(now time.Time) {
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
func (tracker *Tracker) state(now time.Time) EngineState {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return EngineState{
		Server:    tracker.server.ID,
		Models:    tracker.usableModels(),
		Loading:   tracker.loading,
		InMemory:  tracker.inMemory,
		OnDisk:    tracker.onDisk,
		LoadedAt:  tracker.loadedAtCopy(),
		Adapters:  tracker.adapterCounts(),
		Unloading: len(tracker.unloading) > 0,
		Blocked:   tracker.stepRunning || tracker.fenced || !tracker.ledger.known() || tracker.loading != "" || tracker.busySeen || now.Before(tracker.withheldUntil),
		Draining:  tracker.server.Draining,
	}
}

// adapterCounts returns the number of adapters of each model. It is called with the mutex
// held.
func (tracker *Tracker) adapterCounts() map[names.Model]int {
	counts := map[names.Model]int{}
	for _, adapter := range tracker.usableAdapters() {
		counts[adapter.Model]++
	}
	return counts
}

// loadedAtCopy returns a copy of loadedAt. It is called with the mutex held.
func (tracker *Tracker) loadedAtCopy() map[names.Model]time.Time {
	since := make(map[names.Model]time.Time, len(tracker.loadedAt))
	for model, at := range tracker.loadedAt {
		since[model] = at
	}
	return since
}

// usableModels returns the models that are neither being loaded nor unloaded. It is called
// with the mutex held.
func (tracker *Tracker) usableModels() []names.Model {
	models := tracker.ledger.models
	if !tracker.reported {
		models = tracker.server.Models
	}
	return slices.DeleteFunc(slices.Clone(models), func(model names.Model) bool {
		return model == tracker.loading || slices.Contains(tracker.unloading, model)
	})
}

// usableAdapters returns the adapters that requests may be sent for. It is called with the
// mutex held.
func (tracker *Tracker) usableAdapters() []pool.Adapter {
	if !tracker.reported {
		return slices.Clone(tracker.server.Adapters)
	}
	return slices.Clone(tracker.ledger.adapters)
}

// holding returns the models and adapters that entries may send requests for.
func (tracker *Tracker) holding() pool.Holding {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return pool.Holding{
		Server: tracker.server.ID, Incarnation: tracker.server.Incarnation, Models: tracker.usableModels(), Adapters: tracker.usableAdapters(),
		Busy: !tracker.ledger.known() || tracker.busySeen || tracker.fenced || !tracker.awaiting && (tracker.stepRunning || tracker.loading != ""),
	}
}

// recordAccepted records an order that the engine has accepted or that needed no change. If
// the engine has restarted since the order was sent, the answer says nothing of it, and
// recordAccepted returns false.
func (tracker *Tracker) recordAccepted(request OrderRequest, outcome Outcome, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if !tracker.isIncarnation(request.Incarnation, request.Address) {
		return false
	}
	accepted := tracker.ledger.accepted
	if !tracker.ledger.apply(request, outcome) {
		return true
	}
	if tracker.ledger.accepted != accepted {
		tracker.acceptedAt = now
	}
	adapter := pool.Adapter{Model: request.Model, Name: request.Adapter}
	switch {
	case request.Adapter != "" && request.Unload:
		delete(tracker.adapterLoadedAt, adapter)
	case request.Adapter != "":
		tracker.adapterOrderAt, tracker.adapterLoadedAt[adapter] = now, now
	case request.Unload:
		delete(tracker.loadedAt, request.Model)
		tracker.unloadedAt[request.Model] = now
	}
	return true
}
