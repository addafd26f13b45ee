package copies

import (
	"context"
	"slices"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

const (
	// orderRetryPause is the pause before an order is sent again. An engine that
	// executes another order accepts the next one after the time of a load at most.
	orderRetryPause = 80 * time.Millisecond
	// modelOrderAttempts bounds the attempts to send an order for a model, each of which
	// may wait for an answer for most of a second. adapterOrderAttempts is the bound for
	// an adapter; it is lower because a caller's request waits for it.
	modelOrderAttempts   = 10
	adapterOrderAttempts = 5
	// conflictPause is the pause after a conflict of an order for a model although the
	// engine reports to be idle. Its report is some hundred milliseconds old.
	conflictPause = 250 * time.Millisecond
	// adapterOrderTime is how long an engine is busy with an order for an adapter.
	adapterOrderTime = 10 * time.Millisecond
	// unloadPollPause is the pause between two reports while an engine unloads a model,
	// and maxUnloadTime bounds that time. An unload waits for running requests, which
	// take up to ten seconds.
	unloadPollPause = 120 * time.Millisecond
	maxUnloadTime   = 15 * time.Second
	// unloadDelay is the time between the decision to unload a model and the order.
	// Entries may still send requests for the model until they have exchanged two
	// reports with the coordinator.
	unloadDelay = 500 * time.Millisecond
	// queryPause is the pause after a query that has left an engine's state unknown.
	queryPause = 300 * time.Millisecond
	// loadTimeFactor multiplies the usual time of a load to get the time after which
	// it counts as done.
	loadTimeFactor = 1.05
)

// DispatcherConfig configures a [Dispatcher].
type DispatcherConfig struct {
	Engines EngineClient
	Clock   *clock.Service
	Log     logrus.FieldLogger
	// Metrics counts orders by their outcome. It may be nil.
	Metrics metrics.Registry
	// Holder identifies this instance to engines.
	Holder string
	// Term returns the coordinator's term, or zero once it has ended.
	Term func() int64
	// Evacuated reports whether nothing may be sent to the engines of a failure domain;
	// nil means that it never does.
	Evacuated func(domain names.FailureDomain) bool
}

// Dispatcher sends the coordinator's orders to engines during one term. It is safe
// for concurrent use.
type Dispatcher struct {
	config DispatcherConfig
	// mutex guards trackers.
	mutex    sync.Mutex
	trackers map[names.BackendServer]*Tracker
	// usage is what entries report. It is called without any mutex held.
	usage      Usage
	background sync.WaitGroup
	// inFlight is read-locked while an order is sent to an engine and its answer is
	// awaited. It is locked after a tracker's orderLock is taken.
	inFlight sync.RWMutex
}

// NewDispatcher returns a dispatcher without engines; see [Dispatcher.SyncRegistry].
func NewDispatcher(config DispatcherConfig) *Dispatcher {
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	return &Dispatcher{
		config: config, trackers: map[names.BackendServer]*Tracker{},
		usage: unknownUsage{},
	}
}

// SetUsage sets what is known about the use of engines. It is called before all other
// methods.
func (dispatcher *Dispatcher) SetUsage(usage Usage) { dispatcher.usage = usage }

// SyncRegistry updates the engines from the registry and ends loads that are due.
func (dispatcher *Dispatcher) SyncRegistry(servers []*pool.Server, now time.Time) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	listed := map[names.BackendServer]bool{}
	for _, server := range servers {
		listed[server.ID] = true
		tracker, found := dispatcher.trackers[server.ID]
		switch {
		case !found:
			dispatcher.trackers[server.ID] = newTracker(server, now)
		case !tracker.syncServer(server, now):
			event.IncarnationOutdated.Log(dispatcher.config.Log, logrus.Fields{"server": string(server.ID), "born": server.Incarnation})
		}
	}
	for id, tracker := range dispatcher.trackers {
		if !listed[id] {
			if tracker.delist(now) {
				delete(dispatcher.trackers, id)
			}
			continue
		}
		tracker.finishDueLoad(now)
	}
}

// QueryUnknown queries, in the background, the engines of a service whose state is
// unknown, and those that were found to execute an order that was taken to be done.
func (dispatcher *Dispatcher) QueryUnknown(ctx context.Context, service names.Service) {
	for _, tracker := range dispatcher.trackersOf(service) {
		if dispatcher.evacuated(tracker) || !tracker.beginQuery() {
			continue
		}
		dispatcher.background.Go(func() {
			defer tracker.endQuery()
			if tracker.lockOrders(ctx) != nil {
				return
			}
			if tracker.needsQuery() {
				dispatcher.query(ctx, tracker)
			}
			tracker.unlockOrders()
			if tracker.needsQuery() {
				select {
				case <-ctx.Done():
				case <-dispatcher.config.Clock.After(queryPause):
				}
			}
		})
	}
}

// beginQuery reports whether the engine has to be queried, and if so marks it as being
// queried until endQuery.
func (tracker *Tracker) beginQuery() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if (tracker.ledger.known() && !tracker.busySeen) || tracker.querying || tracker.fenced || tracker.server.Draining {
		return false
	}
	tracker.querying = true
	return true
}

func (tracker *Tracker) endQuery() {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.querying = false
}

func (tracker *Tracker) needsQuery() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return !tracker.ledger.known() || tracker.busySeen
}

func (tracker *Tracker) isKnown() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.ledger.known()
}

// States returns the state of the engines of a service for the planner.
func (dispatcher *Dispatcher) States(service names.Service) []EngineState {
	trackers, now := dispatcher.trackersOf(service), dispatcher.config.Clock.Now()
	states := make([]EngineState, 0, len(trackers))
	for _, tracker := range trackers {
		state := tracker.state(now)
		state.Draining = state.Draining || dispatcher.evacuated(tracker)
		state.Requests = dispatcher.requests(tracker, state.Models)
		states = append(states, state)
	}
	return states
}

// Holdings returns the models and adapters that the engines of a service hold.
func (dispatcher *Dispatcher) Holdings(service names.Service) []pool.Holding {
	trackers := dispatcher.trackersOf(service)
	holdings := make([]pool.Holding, 0, len(trackers))
	for _, tracker := range trackers {
		holdings = append(holdings, tracker.holding())
	}
	return holdings
}

func (dispatcher *Dispatcher) trackersOf(service names.Service) []*Tracker {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	var trackers []*Tracker
	for _, tracker := range dispatcher.trackers {
		if tracker.service() == service && tracker.isListed() {
			trackers = append(trackers, tracker)
		}
	}
	return trackers
}

func (tracker *Tracker) service() names.Service {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.server.Service
}

// Wait blocks until no step or query runs in the background.
func (dispatcher *Dispatcher) Wait() { dispatcher.background.Wait() }

// tracker returns that of an engine in the registry.
func (dispatcher *Dispatcher) tracker(server names.BackendServer) (*Tracker, bool) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	tracker, found := dispatcher.trackers[server]
	return tracker, found && tracker.isListed()
}

// StartStep executes a step in the background.
func (dispatcher *Dispatcher) StartStep(ctx context.Context, step Step, engine *policy.Engine) {
	tracker, found := dispatcher.tracker(step.Server)
	if !found {
		return
	}
	tracker.mutex.Lock()
	if tracker.stepRunning {
		tracker.mutex.Unlock()
		return
	}
	tracker.stepRunning, tracker.loading, tracker.readyAt = true, step.Load, time.Time{}
	tracker.unloading, tracker.step, tracker.canceled = step.Unload, step, false
	tracker.awaiting = step.Scheduled && len(step.Unload) > 0
	planned := tracker.server
	tracker.mutex.Unlock()
	dispatcher.background.Go(func() {
		accepted := dispatcher.executeStep(ctx, tracker, planned, step, engine)
		tracker.endStep(step, accepted)
		if accepted && step.Scheduled {
			dispatcher.awaitLoad(ctx, tracker, planned, step, engine)
		}
	})
}

// endStep records the end of the running step, and whether the engine has accepted its load.
func (tracker *Tracker) endStep(step Step, accepted bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.stepRunning, tracker.switching, tracker.awaiting, tracker.unloading = false, false, false, nil
	if !accepted && tracker.loading == step.Load {
		tracker.loading = ""
	}
}

// beginSwitch marks the engine as one that accepts only the orders of the running step.
// It fails if the engine's state is unknown or if it is not the planned incarnation any
// more.
func (tracker *Tracker) beginSwitch(planned *pool.Server) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.awaiting = false
	if !tracker.ledger.known() || tracker.canceled || !tracker.isIncarnation(planned.Incarnation, planned.Address) {
		return false
	}
	tracker.switching = true
	return true
}

// executeStep unloads and loads the models of a step, and reports whether the engine
// has accepted the load.
func (dispatcher *Dispatcher) executeStep(ctx context.Context, tracker *Tracker, planned *pool.Server, step Step, engine *policy.Engine) bool {
	plannedAt := dispatcher.config.Clock.Now()
	if len(step.Unload) > 0 && !dispatcher.awaitRequests(ctx, tracker, step) || !tracker.beginSwitch(planned) {
		return false
	}
	for _, model := range step.Unload {
		if !dispatcher.sendStepOrder(ctx, tracker, planned, Order{Unload: true, Model: model}, engine) ||
			!dispatcher.awaitUnload(ctx, tracker, model) {
			return false
		}
	}
	if !dispatcher.sendStepOrder(ctx, tracker, planned, Order{Model: step.Load}, engine) {
		return false
	}
	metrics.GetOrRegisterTimer("copies.steps.loadAcceptedAfter", dispatcher.config.Metrics).Update(dispatcher.config.Clock.Now().Sub(plannedAt))
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.loading == step.Load && tracker.isIncarnation(planned.Incarnation, planned.Address) {
		tracker.readyAt = dispatcher.config.Clock.Now().Add(tracker.loadTime(step.Load, engine))
	}
	return true
}

// sendStepOrder sends an order of a step to the incarnation that it was planned for.
func (dispatcher *Dispatcher) sendStepOrder(ctx context.Context, tracker *Tracker, planned *pool.Server, order Order, engine *policy.Engine) bool {
	if tracker.lockOrders(ctx) != nil {
		return false
	}
	defer tracker.unlockOrders()
	if !tracker.concerns(OrderRequest{Incarnation: planned.Incarnation, Address: planned.Address}) {
		return false
	}
	return dispatcher.sendOrder(ctx, tracker, order, engine, modelOrderAttempts)
}

// awaitUnload waits until the engine has unloaded a model: it would refuse any order until
// then. A report may be some hundred milliseconds old, but one from before the unload
// still lists the model.
func (dispatcher *Dispatcher) awaitUnload(ctx context.Context, tracker *Tracker, model names.Model) bool {
	end := dispatcher.config.Clock.Now().Add(maxUnloadTime)
	for dispatcher.config.Clock.Now().Before(end) {
		select {
		case <-ctx.Done():
			return false
		case <-dispatcher.config.Clock.After(unloadPollPause):
		}
		if running := dispatcher.requests(tracker, []names.Model{model}); running != nil && running[model] == 0 {
			// Reports of the engine would show this some hundred milliseconds later.
			return true
		}
		if tracker.lockOrders(ctx) != nil {
			return false
		}
		engineReport, reported := dispatcher.query(ctx, tracker)
		tracker.unlockOrders()
		switch {
		case !tracker.isKnown() || dispatcher.config.Term() == 0:
			return false
		case reported && !engineReport.Busy && !slices.Contains(engineReport.Models, model):
			return true
		}
	}
	return false
}

// loadTime returns the time after which a load counts as done. It is called with the
// mutex held.
func (tracker *Tracker) loadTime(model names.Model, engine *policy.Engine) time.Duration {
	state := EngineState{InMemory: tracker.inMemory, OnDisk: tracker.onDisk}
	return time.Duration(float64(state.loadTime(model, engine)) * loadTimeFactor)
}

// LoadAdapter orders an engine to load an adapter, and before that to unload another one
// if all slots are taken: the one that was not used for longest, or where use is not
// known the one that was loaded first. It returns once the engine has accepted
// the order.
func (dispatcher *Dispatcher) LoadAdapter(ctx context.Context, server names.BackendServer, adapter pool.Adapter, engine *policy.Engine) error {
	tracker, found := dispatcher.tracker(server)
	if !found {
		return &UnknownEngineError{Server: server}
	}
	order := Order{Model: adapter.Model, Adapter: adapter.Name}
	if !tracker.mayTakeAdapters(adapter.Model) {
		return dispatcher.busyError(server, order)
	}
	if err := tracker.lockOrders(ctx); err != nil {
		return err
	}
	defer tracker.unlockOrders()
	for {
		if !tracker.mayTakeAdapters(adapter.Model) || !tracker.isKnown() {
			return dispatcher.busyError(server, order)
		}
		full, present := tracker.adapterSlot(adapter, engine.AdapterSlots)
		if present {
			return nil
		}
		if !full {
			break
		}
		victim := dispatcher.leastUsedAdapter(tracker)
		unload := Order{Unload: true, Model: victim.Model, Adapter: victim.Name}
		if !dispatcher.sendOrder(ctx, tracker, unload, engine, adapterOrderAttempts) {
			return &OrderError{Server: server, Order: unload}
		}
	}
	if !dispatcher.sendOrder(ctx, tracker, order, engine, adapterOrderAttempts) {
		return &OrderError{Server: server, Order: order}
	}
	return nil
}

// busyError counts an order for an adapter that the engine would refuse and returns the
// error that reports it.
func (dispatcher *Dispatcher) busyError(server names.BackendServer, order Order) error {
	dispatcher.count("busy")
	return &OrderError{Server: server, Order: order}
}

// count counts an order by its outcome.
func (dispatcher *Dispatcher) count(outcome string) {
	metrics.GetOrRegisterCounter("copies.orders."+outcome, dispatcher.config.Metrics).Inc(1)
}

// mayTakeAdapters reports whether the engine may accept an order for an adapter of a model,
// once an order without an answer that is being repeated has one.
func (tracker *Tracker) mayTakeAdapters(model names.Model) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return !slices.Contains(tracker.unloading, model) && tracker.ledger.consistent && !tracker.switching && !tracker.busySeen && !tracker.fenced && (tracker.loading == "" || tracker.stepRunning)
}

// adapterSlot reports in present whether the adapter is loaded, and otherwise in full
// whether all slots are taken.
func (tracker *Tracker) adapterSlot(adapter pool.Adapter, slots int) (full, present bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if slices.Contains(tracker.ledger.adapters, adapter) {
		return false, true
	}
	return len(tracker.ledger.adapters) > 0 && len(tracker.ledger.adapters) >= slots, false
}

// awaitIdle waits until the engine reports that it executes no order. It fails if the
// engine has accepted another order, or does not become idle.
func (dispatcher *Dispatcher) awaitIdle(ctx context.Context, tracker *Tracker, request OrderRequest) bool {
	end := dispatcher.config.Clock.Now().Add(maxUnloadTime)
	for dispatcher.config.Clock.Now().Before(end) && dispatcher.config.Term() != 0 {
		select {
		case <-ctx.Done():
			return false
		case <-dispatcher.config.Clock.After(unloadPollPause):
		}
		engineReport, reported := dispatcher.query(ctx, tracker)
		switch {
		case reported && engineReport.Accepted != request.Accepted, !tracker.concerns(request):
			return false
		case reported && !engineReport.Busy:
			return true
		}
	}
	return false
}

// idleAt returns when the engine has executed the last order for an adapter.
func (tracker *Tracker) idleAt() time.Time {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.adapterOrderAt.Add(adapterOrderTime)
}

// sendOrder sends an order until the engine accepts or refuses it or the attempts are
// used up, and reports whether it was accepted or needed no change. It gives up if the
// engine has no room for it, if the order did not reach the engine, if the engine
// executes another order or has restarted, or if its count of accepted orders has
// changed, perhaps by an attempt without an answer, since its state has to be read
// again then. It is called with the tracker's orderLock taken.
func (dispatcher *Dispatcher) sendOrder(ctx context.Context, tracker *Tracker, order Order, engine *policy.Engine, attempts int) bool {
	request, admitted := tracker.admit(order, engine, dispatcher.config.Clock.Now())
	if !admitted {
		if tracker.isKnown() {
			dispatcher.count("withheld")
			event.OrderWithheld.Log(dispatcher.config.Log, logrus.Fields{
				"server": string(request.Server), "model": string(order.Model), "adapter": string(order.Adapter), "unload": order.Unload,
			})
		}
		return false
	}
	if wait := tracker.idleAt().Sub(dispatcher.config.Clock.Now()); wait > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-dispatcher.config.Clock.After(wait):
		}
	}
	for range attempts {
		orderRequest := request
		orderRequest.Holder, orderRequest.Term = dispatcher.config.Holder, dispatcher.config.Term()
		if orderRequest.Term == 0 || ctx.Err() != nil || !tracker.concerns(request) || dispatcher.evacuated(tracker) {
			return false
		}
		orderRequest.TermValid = func() bool {
			return dispatcher.config.Term() == orderRequest.Term && !dispatcher.evacuated(tracker)
		}
		outcome, pause := dispatcher.attemptOrder(ctx, orderRequest), orderRetryPause
		switch outcome {
		case OutcomeAccepted, OutcomeUnchanged:
			return tracker.recordAccepted(request, outcome, dispatcher.config.Clock.Now())
		case OutcomeFenced, OutcomeInvalid:
			tracker.markRefusing(request, outcome == OutcomeFenced)
			return false
		case OutcomeUnsent:
			return false
		case OutcomeConflict:
			engineReport, reported := dispatcher.query(ctx, tracker)
			switch {
			case !reported:
			case engineReport.Accepted != request.Accepted:
				return false
			case order.Adapter == "" && !engineReport.Busy:
				pause = conflictPause
			case engineReport.Busy && (order.Adapter != "" || !dispatcher.awaitIdle(ctx, tracker, request)):
				return false
			}
		case OutcomeUnknown:
			tracker.markPending(request, dispatcher.config.Clock.Now())
		}
		select {
		case <-ctx.Done():
			return false
		case <-dispatcher.config.Clock.After(pause):
		}
	}
	return false
}

// attemptOrder sends an order once. The attempt continues when ctx is canceled, as an
// aborted call would leave open whether the engine executes the order.
func (dispatcher *Dispatcher) attemptOrder(ctx context.Context, orderRequest OrderRequest) Outcome {
	dispatcher.inFlight.RLock()
	defer dispatcher.inFlight.RUnlock()
	outcome, err := dispatcher.config.Engines.Order(context.WithoutCancel(ctx), orderRequest)
	dispatcher.logOrder(orderRequest, outcome, err)
	return outcome
}

// WaitForOrders waits until no order is in flight to an engine, or ctx is done. If the
// term has ended before the call, no order is sent after it has succeeded.
func (dispatcher *Dispatcher) WaitForOrders(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		dispatcher.inFlight.Lock()
		defer dispatcher.inFlight.Unlock()
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (dispatcher *Dispatcher) logOrder(orderRequest OrderRequest, outcome Outcome, err error) {
	dispatcher.count(outcome.String())
	fields := logrus.Fields{
		"server": string(orderRequest.Server), "model": string(orderRequest.Model), "adapter": string(orderRequest.Adapter),
		"unload": orderRequest.Unload, "accepted": orderRequest.Accepted, "term": orderRequest.Term, "verdict": outcome.String(),
	}
	switch {
	case err != nil:
		fields["cause"] = err.Error()
		event.OrderUnclear.Log(dispatcher.config.Log, fields)
	case outcome == OutcomeFenced:
		event.OrderOutdated.Log(dispatcher.config.Log, fields)
	default:
		event.OrderSent.Log(dispatcher.config.Log, fields)
	}
}

// query requests the engine's report and applies it. It reports false if there is none or it
// is older than what is known. It is called with the tracker's orderLock taken, so that no
// order is in flight.
func (dispatcher *Dispatcher) query(ctx context.Context, tracker *Tracker) (engineReport EngineReport, reported bool) {
	if dispatcher.evacuated(tracker) {
		return EngineReport{}, false
	}
	tracker.mutex.Lock()
	server := tracker.server
	tracker.mutex.Unlock()
	asked := dispatcher.config.Clock.Now()
	engineReport, err := dispatcher.config.Engines.Report(ctx, server.Address, server.ID)
	if err != nil {
		event.OrderUnclear.Log(dispatcher.config.Log, logrus.Fields{"server": string(server.ID), "report": true, "cause": err.Error()})
		return EngineReport{}, false
	}
	return engineReport, tracker.applyReport(server, engineReport, asked, dispatcher.config.Clock.Now())
}

// admit returns a request for an order with the current count of accepted orders. It
// reports false if the engine's state is unknown or may have no room for the order.
func (tracker *Tracker) admit(order Order, engine *policy.Engine, now time.Time) (OrderRequest, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	request := OrderRequest{
		Order: order, Server: tracker.server.ID, Address: tracker.server.Address,
		Incarnation: tracker.server.Incarnation, Accepted: tracker.ledger.accepted,
	}
	if !tracker.ledger.known() {
		return request, false
	}
	fits, until := tracker.hasRoom(order, engine, now)
	if !fits {
		tracker.withheldUntil = until
	}
	return request, fits
}

// markPending records an order without an answer. The engine may have executed it, or
// may execute it later unless it accepts another order with the same count first.
func (tracker *Tracker) markPending(request OrderRequest, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.recordUnanswered(request, now)
	if tracker.isIncarnation(request.Incarnation, request.Address) {
		tracker.ledger.pending, tracker.unansweredAt = true, now
	}
}

// markRefusing records that the engine has refused an order: if fenced is set, because
// it has seen a newer coordinator and will refuse all orders of this term; otherwise
// because its entry in the registry is out of date.
func (tracker *Tracker) markRefusing(request OrderRequest, fenced bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if !tracker.isIncarnation(request.Incarnation, request.Address) {
		return
	}
	tracker.ledger.consistent = false
	tracker.fenced = tracker.fenced || fenced
}
