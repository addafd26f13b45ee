package copies

import (
	"context"
	"sync"
	"time"

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
	// modelOrderAttempts bounds the attempts to send an order for a model. They span
	// seconds, as an unload waits for running requests. adapterOrderAttempts is the
	// bound for an adapter; it is lower because a caller's request waits for it.
	modelOrderAttempts   = 60
	adapterOrderAttempts = 5
	// unloadDelay is the time between the decision to unload a model and the order.
	// Entries may still send requests for the model until they have exchanged two
	// reports with the coordinator.
	unloadDelay = 500 * time.Millisecond
	// queryPause is the pause after a query that has left an engine's state unknown.
	queryPause = 300 * time.Millisecond
	// loadTimeFactor multiplies the usual time of a load to get the time after which
	// it counts as done.
	loadTimeFactor = 1.05
	// conflictsPerQuery is the number of conflicts of an order for each query of the
	// engine's state. The other conflicts are taken to mean that the engine still
	// executes another order, as queries are expensive.
	conflictsPerQuery = 6
)

// DispatcherConfig configures a [Dispatcher].
type DispatcherConfig struct {
	Engines EngineClient
	Clock   *clock.Service
	Log     logrus.FieldLogger
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
	mutex      sync.Mutex
	trackers   map[names.BackendServer]*Tracker
	background sync.WaitGroup
	// inFlight is read-locked while an order is sent to an engine and its answer is
	// awaited. It is locked after a tracker's orderMutex.
	inFlight sync.RWMutex
}

// NewDispatcher returns a dispatcher without engines; see [Dispatcher.SyncRegistry].
func NewDispatcher(config DispatcherConfig) *Dispatcher {
	return &Dispatcher{config: config, trackers: map[names.BackendServer]*Tracker{}}
}

// SyncRegistry updates the engines from the registry and ends loads that are due.
func (dispatcher *Dispatcher) SyncRegistry(servers []*pool.Server, now time.Time) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	listed := map[names.BackendServer]bool{}
	for _, server := range servers {
		listed[server.ID] = true
		if tracker, found := dispatcher.trackers[server.ID]; found {
			tracker.syncServer(server, now)
		} else {
			dispatcher.trackers[server.ID] = newTracker(server)
		}
	}
	for id, tracker := range dispatcher.trackers {
		if !listed[id] {
			delete(dispatcher.trackers, id)
			continue
		}
		tracker.finishDueLoad(now)
	}
}

// QueryUnknown queries, in the background, the engines of a service whose state is
// unknown.
func (dispatcher *Dispatcher) QueryUnknown(ctx context.Context, service names.Service) {
	for _, tracker := range dispatcher.trackersOf(service) {
		if dispatcher.evacuated(tracker) || !tracker.beginQuery() {
			continue
		}
		dispatcher.background.Go(func() {
			defer tracker.endQuery()
			tracker.orderMutex.Lock()
			defer tracker.orderMutex.Unlock()
			if tracker.isKnown() {
				return
			}
			dispatcher.query(ctx, tracker)
			if !tracker.isKnown() {
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
	if tracker.known || tracker.querying || tracker.fenced || tracker.server.Draining {
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

func (tracker *Tracker) isKnown() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.known
}

// States returns the state of the engines of a service for the planner.
func (dispatcher *Dispatcher) States(service names.Service) []EngineState {
	trackers := dispatcher.trackersOf(service)
	states := make([]EngineState, 0, len(trackers))
	for _, tracker := range trackers {
		state := tracker.state()
		state.Draining = state.Draining || dispatcher.evacuated(tracker)
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
		if tracker.service() == service {
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

// StartStep executes a step in the background.
func (dispatcher *Dispatcher) StartStep(ctx context.Context, step Step, engine *policy.Engine) {
	dispatcher.mutex.Lock()
	tracker, found := dispatcher.trackers[step.Server]
	dispatcher.mutex.Unlock()
	if !found {
		return
	}
	tracker.mutex.Lock()
	tracker.stepRunning, tracker.loading, tracker.readyAt = true, step.Load, time.Time{}
	tracker.unloading = step.Unload
	tracker.mutex.Unlock()
	dispatcher.background.Go(func() {
		accepted := dispatcher.executeStep(ctx, tracker, step, engine)
		tracker.mutex.Lock()
		defer tracker.mutex.Unlock()
		tracker.stepRunning, tracker.unloading = false, nil
		if !accepted && tracker.loading == step.Load {
			tracker.loading = ""
		}
	})
}

// executeStep unloads and loads the models of a step, and reports whether the engine
// has accepted the load.
func (dispatcher *Dispatcher) executeStep(ctx context.Context, tracker *Tracker, step Step, engine *policy.Engine) bool {
	if len(step.Unload) > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-dispatcher.config.Clock.After(unloadDelay):
		}
	}
	tracker.orderMutex.Lock()
	defer tracker.orderMutex.Unlock()
	if !tracker.isKnown() {
		return false
	}
	for _, model := range step.Unload {
		if !dispatcher.sendOrder(ctx, tracker, Order{Unload: true, Model: model}, modelOrderAttempts) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-dispatcher.config.Clock.After(orderRetryPause):
		}
	}
	if !dispatcher.sendOrder(ctx, tracker, Order{Model: step.Load}, modelOrderAttempts) {
		return false
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.loading == step.Load {
		tracker.readyAt = dispatcher.config.Clock.Now().Add(tracker.loadTime(step.Load, engine))
	}
	return true
}

// loadTime returns the time after which a load counts as done. It is called with the
// mutex held.
func (tracker *Tracker) loadTime(model names.Model, engine *policy.Engine) time.Duration {
	state := EngineState{InMemory: tracker.inMemory, OnDisk: tracker.onDisk}
	return time.Duration(float64(state.loadTime(model, engine)) * loadTimeFactor)
}

// LoadAdapter orders an engine to load an adapter, and before that to unload the adapter
// that was loaded first if all slots are taken. It returns once the engine has accepted
// the order.
func (dispatcher *Dispatcher) LoadAdapter(ctx context.Context, server names.BackendServer, adapter pool.Adapter, engine *policy.Engine) error {
	dispatcher.mutex.Lock()
	tracker, found := dispatcher.trackers[server]
	dispatcher.mutex.Unlock()
	if !found {
		return &UnknownEngineError{Server: server}
	}
	tracker.orderMutex.Lock()
	defer tracker.orderMutex.Unlock()
	for {
		victim, full, present := tracker.adapterSlot(adapter, engine.AdapterSlots)
		if present {
			return nil
		}
		if !full {
			break
		}
		if !dispatcher.sendOrder(ctx, tracker, Order{Unload: true, Model: victim.Model, Adapter: victim.Name}, adapterOrderAttempts) {
			return &OrderError{Server: server, Order: Order{Unload: true, Model: victim.Model, Adapter: victim.Name}}
		}
	}
	order := Order{Model: adapter.Model, Adapter: adapter.Name}
	if !dispatcher.sendOrder(ctx, tracker, order, adapterOrderAttempts) {
		return &OrderError{Server: server, Order: order}
	}
	return nil
}

// adapterSlot reports in present whether the adapter is loaded. Otherwise full reports
// whether all slots are taken, and victim is then the adapter to unload.
func (tracker *Tracker) adapterSlot(adapter pool.Adapter, slots int) (victim pool.Adapter, full, present bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, each := range tracker.adapters {
		if each == adapter {
			return pool.Adapter{}, false, true
		}
	}
	if len(tracker.adapters) < slots {
		return pool.Adapter{}, false, false
	}
	return tracker.adapters[0], true, false
}

// sendOrder sends an order until the engine accepts or refuses it or the attempts are
// used up, and reports whether it was accepted or needed no change. It gives up if the
// order did not reach the engine, if the engine has restarted, or if the engine's count of accepted orders has
// changed, perhaps by an attempt without an answer, since its state has to be read
// again then. It is called with the tracker's orderMutex held.
func (dispatcher *Dispatcher) sendOrder(ctx context.Context, tracker *Tracker, order Order, attempts int) bool {
	conflicts := 0
	request, known := tracker.orderRequest(order)
	if !known {
		return false
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
		outcome := dispatcher.attemptOrder(ctx, orderRequest)
		switch outcome {
		case OutcomeAccepted, OutcomeUnchanged:
			return tracker.recordAccepted(request, outcome, known)
		case OutcomeFenced, OutcomeInvalid:
			tracker.markRefusing(request, outcome == OutcomeFenced)
			return false
		case OutcomeUnsent:
			return false
		case OutcomeConflict:
			conflicts++
			if tracker.isKnown() && conflicts%conflictsPerQuery != 0 {
				break
			}
			dispatcher.query(ctx, tracker)
			if after, _ := tracker.orderRequest(order); after.Accepted != request.Accepted {
				return false
			}
		case OutcomeUnknown:
			tracker.markUnknown()
		}
		select {
		case <-ctx.Done():
			return false
		case <-dispatcher.config.Clock.After(orderRetryPause):
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

// query requests the engine's report and applies it.
func (dispatcher *Dispatcher) query(ctx context.Context, tracker *Tracker) {
	if dispatcher.evacuated(tracker) {
		return
	}
	tracker.mutex.Lock()
	server := tracker.server
	tracker.mutex.Unlock()
	engineReport, err := dispatcher.config.Engines.Report(ctx, server.Address, server.ID)
	if err != nil {
		event.OrderUnclear.Log(dispatcher.config.Log, logrus.Fields{"server": string(server.ID), "report": true, "cause": err.Error()})
		return
	}
	tracker.applyReport(server, engineReport, dispatcher.config.Clock.Now())
}

// orderRequest returns a request for an order with the current count of accepted
// orders, and whether the engine's state is known.
func (tracker *Tracker) orderRequest(order Order) (OrderRequest, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return OrderRequest{
		Order: order, Server: tracker.server.ID, Address: tracker.server.Address,
		Incarnation: tracker.server.Incarnation, Accepted: tracker.accepted,
	}, tracker.known
}

// markUnknown records an order without an answer. The engine may have executed it, or
// may execute it later unless it accepts another order with the same count first.
func (tracker *Tracker) markUnknown() {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.known = false
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
	tracker.known = false
	tracker.fenced = tracker.fenced || fenced
}
