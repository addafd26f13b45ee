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
	// orderRetryPause is the wait before an order is sent again: an engine that
	// carries out another one is free after a load at most.
	orderRetryPause = 80 * time.Millisecond
	// modelOrderAttempts bounds an order for a model; unloading waits for requests that run
	// for seconds. adapterTries bounds one for an adapter, for which a request waits.
	modelOrderAttempts   = 60
	adapterOrderAttempts = 5
	// unloadDelay is how long requests may still be sent for a model that makes way:
	// two exchanges of every entry.
	unloadDelay = 500 * time.Millisecond
	// queryPause is the least time between two reports of an engine.
	queryPause = 300 * time.Millisecond
	// loadTimeFactor is by how much a load may take longer than its usual time.
	loadTimeFactor = 1.05
	// conflictsPerQuery is how many conflicts in a row are taken for another order under
	// way before the engine is asked; reports cost.
	conflictsPerQuery = 6
)

// DispatcherConfig carries what a [Dispatcher] is built from.
type DispatcherConfig struct {
	Engines EngineClient
	Clock   *clock.Service
	Log     logrus.FieldLogger
	// Holder names this instance to engines.
	Holder string
	// Term returns the coordinator's term, zero once it has ended.
	Term func() int64
}

// Dispatcher sends orders for one term. It is safe for concurrent use.
type Dispatcher struct {
	config DispatcherConfig
	// mutex guards ledgers.
	mutex      sync.Mutex
	trackers   map[names.BackendServer]*Tracker
	background sync.WaitGroup
	// inFlight is held for reading while an order is on its way to an engine. It is
	// taken after a ledger's sending.
	inFlight sync.RWMutex
}

// NewDispatcher returns a keeper that knows no engines.
func NewDispatcher(config DispatcherConfig) *Dispatcher {
	return &Dispatcher{config: config, trackers: map[names.BackendServer]*Tracker{}}
}

// SyncRegistry takes in the registry.
func (dispatcher *Dispatcher) SyncRegistry(servers []*pool.Server, now time.Time) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	listed := map[names.BackendServer]bool{}
	for _, server := range servers {
		listed[server.ID] = true
		if tracker, found := dispatcher.trackers[server.ID]; found {
			tracker.syncServer(server, now)
		} else {
			dispatcher.trackers[server.ID] = newLedger(server)
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

// QueryUnknown asks the engines of a service whose state is not known for it.
func (dispatcher *Dispatcher) QueryUnknown(ctx context.Context, service names.Service) {
	for _, tracker := range dispatcher.trackersOf(service) {
		if !tracker.beginQuery() {
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

// States returns what the planner needs of the engines of a service.
func (dispatcher *Dispatcher) States(service names.Service) []EngineState {
	ledgers := dispatcher.trackersOf(service)
	states := make([]EngineState, 0, len(ledgers))
	for _, tracker := range ledgers {
		states = append(states, tracker.state())
	}
	return states
}

// Holdings returns what the engines of a service hold.
func (dispatcher *Dispatcher) Holdings(service names.Service) []pool.Holding {
	ledgers := dispatcher.trackersOf(service)
	holdings := make([]pool.Holding, 0, len(ledgers))
	for _, tracker := range ledgers {
		holdings = append(holdings, tracker.holding())
	}
	return holdings
}

func (dispatcher *Dispatcher) trackersOf(service names.Service) []*Tracker {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	var ledgers []*Tracker
	for _, tracker := range dispatcher.trackers {
		if tracker.service() == service {
			ledgers = append(ledgers, tracker)
		}
	}
	return ledgers
}

func (tracker *Tracker) service() names.Service {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.server.Service
}

// Wait blocks until no step is being carried out.
func (dispatcher *Dispatcher) Wait() { dispatcher.background.Wait() }

// StartStep carries out a step in the background.
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

// executeStep tells whether the engine took the load.
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

// loadTime is called with the mutex held.
func (tracker *Tracker) loadTime(model names.Model, engine *policy.Engine) time.Duration {
	state := EngineState{InMemory: tracker.inMemory, OnDisk: tracker.onDisk}
	return time.Duration(float64(state.loadTime(model, engine)) * loadTimeFactor)
}

// LoadAdapter has an adapter loaded on an engine, in place of the one that was loaded
// first where all places are taken. It returns once the engine took the order.
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

// adapterSlot tells whether the adapter is there, else whether one has to make
// way, and which.
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

// sendOrder sends an order until the engine has taken it, refuses it or the tries are
// used up, and tells whether it is carried out. It gives up where the engine has
// taken another order than this coordinator's, since what it holds is not known
// then. It is called with the ledger's sending held.
func (dispatcher *Dispatcher) sendOrder(ctx context.Context, tracker *Tracker, order Order, attempts int) bool {
	conflicts := 0
	request, known := tracker.orderRequest(order)
	if !known {
		return false
	}
	for range attempts {
		orderRequest := request
		orderRequest.Holder, orderRequest.Term = dispatcher.config.Holder, dispatcher.config.Term()
		if orderRequest.Term == 0 || ctx.Err() != nil {
			return false
		}
		orderRequest.TermValid = func() bool { return dispatcher.config.Term() == orderRequest.Term }
		outcome := dispatcher.attemptOrder(ctx, orderRequest)
		switch outcome {
		case OutcomeAccepted, OutcomeUnchanged:
			tracker.recordAccepted(order, outcome, known)
			return true
		case OutcomeFenced, OutcomeInvalid:
			tracker.markRefusing(outcome == OutcomeFenced)
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

// attemptOrder sends an order once. Whoever asked for it may leave meanwhile: breaking it
// off would leave open whether the engine carries it out.
func (dispatcher *Dispatcher) attemptOrder(ctx context.Context, orderRequest OrderRequest) Outcome {
	dispatcher.inFlight.RLock()
	defer dispatcher.inFlight.RUnlock()
	outcome, err := dispatcher.config.Engines.Order(context.WithoutCancel(ctx), orderRequest)
	dispatcher.logOrder(orderRequest, outcome, err)
	return outcome
}

// WaitForOrders waits until no order is on its way to an engine, or ctx ends. Once the
// term has ended, none is sent after it.
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

// query reads the engine's report.
func (dispatcher *Dispatcher) query(ctx context.Context, tracker *Tracker) {
	tracker.mutex.Lock()
	server := tracker.server
	tracker.mutex.Unlock()
	engineReport, err := dispatcher.config.Engines.Report(ctx, server.Address, server.ID)
	if err != nil {
		event.OrderUnclear.Log(dispatcher.config.Log, logrus.Fields{"server": string(server.ID), "report": true, "cause": err.Error()})
		return
	}
	tracker.applyReport(engineReport, dispatcher.config.Clock.Now())
}

func (tracker *Tracker) orderRequest(order Order) (OrderRequest, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return OrderRequest{Order: order, Server: tracker.server.ID, Address: tracker.server.Address, Accepted: tracker.accepted}, tracker.known
}

// markUnknown notes an order without an answer: it may be carried out, or be carried
// out later unless another order with the same count is taken first.
func (tracker *Tracker) markUnknown() {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.known = false
}

// markRefusing notes that the engine takes no orders of this coordinator, or that its
// entry is out of date.
func (tracker *Tracker) markRefusing(fenced bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.known = false
	tracker.fenced = tracker.fenced || fenced
}
