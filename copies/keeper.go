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
	// orderPause is the wait before an order is sent again: an engine that
	// carries out another one is free after a load at most.
	orderPause = 80 * time.Millisecond
	// modelTries bounds an order for a model; unloading waits for requests that run
	// for seconds. adapterTries bounds one for an adapter, for which a request waits.
	modelTries   = 60
	adapterTries = 5
	// retireWait is how long requests may still be sent for a model that makes way:
	// two exchanges of every entry.
	retireWait = 500 * time.Millisecond
	// askPause is the least time between two reports of an engine.
	askPause = 300 * time.Millisecond
	// loadMargin is by how much a load may take longer than its usual time.
	loadMargin = 1.05
	// freeConflicts is how many conflicts in a row are taken for another order under
	// way before the engine is asked; reports cost.
	freeConflicts = 6
)

// KeeperConfig carries what a [Keeper] is built from.
type KeeperConfig struct {
	Engine Engine
	Clock  *clock.Service
	Log    logrus.FieldLogger
	// Holder names this instance to engines.
	Holder string
	// Term returns the coordinator's term, zero once it has ended.
	Term func() int64
}

// Keeper sends orders for one term. It is safe for concurrent use.
type Keeper struct {
	config KeeperConfig
	// mutex guards ledgers.
	mutex   sync.Mutex
	ledgers map[names.BackendServer]*Ledger
	running sync.WaitGroup
	// orders is held for reading while an order is on its way to an engine. It is
	// taken after a ledger's sending.
	orders sync.RWMutex
}

// NewKeeper returns a keeper that knows no engines.
func NewKeeper(config KeeperConfig) *Keeper {
	return &Keeper{config: config, ledgers: map[names.BackendServer]*Ledger{}}
}

// Sync takes in the registry.
func (keeper *Keeper) Sync(servers []*pool.Server, now time.Time) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	listed := map[names.BackendServer]bool{}
	for _, server := range servers {
		listed[server.ID] = true
		if ledger, found := keeper.ledgers[server.ID]; found {
			ledger.sync(server, now)
		} else {
			keeper.ledgers[server.ID] = newLedger(server)
		}
	}
	for id, ledger := range keeper.ledgers {
		if !listed[id] {
			delete(keeper.ledgers, id)
			continue
		}
		ledger.settle(now)
	}
}

// Learn asks the engines of a service whose state is not known for it.
func (keeper *Keeper) Learn(ctx context.Context, service names.Service) {
	for _, ledger := range keeper.of(service) {
		if !ledger.beginAsking() {
			continue
		}
		keeper.running.Go(func() {
			defer ledger.endAsking()
			ledger.sending.Lock()
			defer ledger.sending.Unlock()
			if ledger.isKnown() {
				return
			}
			keeper.ask(ctx, ledger)
			if !ledger.isKnown() {
				select {
				case <-ctx.Done():
				case <-keeper.config.Clock.After(askPause):
				}
			}
		})
	}
}

func (ledger *Ledger) beginAsking() bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.known || ledger.asking || ledger.fenced || ledger.server.Draining {
		return false
	}
	ledger.asking = true
	return true
}

func (ledger *Ledger) endAsking() {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.asking = false
}

func (ledger *Ledger) isKnown() bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.known
}

// States returns what the planner needs of the engines of a service.
func (keeper *Keeper) States(service names.Service) []EngineState {
	ledgers := keeper.of(service)
	states := make([]EngineState, 0, len(ledgers))
	for _, ledger := range ledgers {
		states = append(states, ledger.state())
	}
	return states
}

// Holdings returns what the engines of a service hold.
func (keeper *Keeper) Holdings(service names.Service) []pool.Holding {
	ledgers := keeper.of(service)
	holdings := make([]pool.Holding, 0, len(ledgers))
	for _, ledger := range ledgers {
		holdings = append(holdings, ledger.holding())
	}
	return holdings
}

func (keeper *Keeper) of(service names.Service) []*Ledger {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	var ledgers []*Ledger
	for _, ledger := range keeper.ledgers {
		if ledger.service() == service {
			ledgers = append(ledgers, ledger)
		}
	}
	return ledgers
}

func (ledger *Ledger) service() names.Service {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.server.Service
}

// Wait blocks until no step is being carried out.
func (keeper *Keeper) Wait() { keeper.running.Wait() }

// Begin carries out a step in the background.
func (keeper *Keeper) Begin(ctx context.Context, step Step, engine *policy.Engine) {
	keeper.mutex.Lock()
	ledger, found := keeper.ledgers[step.Server]
	keeper.mutex.Unlock()
	if !found {
		return
	}
	ledger.mutex.Lock()
	ledger.fixed, ledger.loading, ledger.readyAt = true, step.Load, time.Time{}
	ledger.leaving = step.Unload
	ledger.mutex.Unlock()
	keeper.running.Go(func() {
		taken := keeper.carryOut(ctx, ledger, step, engine)
		ledger.mutex.Lock()
		defer ledger.mutex.Unlock()
		ledger.fixed, ledger.leaving = false, nil
		if !taken && ledger.loading == step.Load {
			ledger.loading = ""
		}
	})
}

// carryOut tells whether the engine took the load.
func (keeper *Keeper) carryOut(ctx context.Context, ledger *Ledger, step Step, engine *policy.Engine) bool {
	if len(step.Unload) > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-keeper.config.Clock.After(retireWait):
		}
	}
	ledger.sending.Lock()
	defer ledger.sending.Unlock()
	if !ledger.isKnown() {
		return false
	}
	for _, model := range step.Unload {
		if !keeper.send(ctx, ledger, Order{Unload: true, Model: model}, modelTries) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-keeper.config.Clock.After(orderPause):
		}
	}
	if !keeper.send(ctx, ledger, Order{Model: step.Load}, modelTries) {
		return false
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.loading == step.Load {
		ledger.readyAt = keeper.config.Clock.Now().Add(ledger.loadTime(step.Load, engine))
	}
	return true
}

// loadTime is called with the mutex held.
func (ledger *Ledger) loadTime(model names.Model, engine *policy.Engine) time.Duration {
	state := EngineState{InMemory: ledger.inMemory, OnDisk: ledger.onDisk}
	return time.Duration(float64(state.loadTime(model, engine)) * loadMargin)
}

// Adapter has an adapter loaded on an engine, in place of the one that was loaded
// first where all places are taken. It returns once the engine took the order.
func (keeper *Keeper) Adapter(ctx context.Context, server names.BackendServer, adapter pool.Adapter, engine *policy.Engine) error {
	keeper.mutex.Lock()
	ledger, found := keeper.ledgers[server]
	keeper.mutex.Unlock()
	if !found {
		return &UnknownEngineError{Server: server}
	}
	ledger.sending.Lock()
	defer ledger.sending.Unlock()
	for {
		victim, full, present := ledger.adapterPlace(adapter, engine.AdapterSlots)
		if present {
			return nil
		}
		if !full {
			break
		}
		if !keeper.send(ctx, ledger, Order{Unload: true, Model: victim.Model, Adapter: victim.Name}, adapterTries) {
			return &OrderError{Server: server, Order: Order{Unload: true, Model: victim.Model, Adapter: victim.Name}}
		}
	}
	order := Order{Model: adapter.Model, Adapter: adapter.Name}
	if !keeper.send(ctx, ledger, order, adapterTries) {
		return &OrderError{Server: server, Order: order}
	}
	return nil
}

// adapterPlace tells whether the adapter is there, else whether one has to make
// way, and which.
func (ledger *Ledger) adapterPlace(adapter pool.Adapter, slots int) (victim pool.Adapter, full, present bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for _, each := range ledger.adapters {
		if each == adapter {
			return pool.Adapter{}, false, true
		}
	}
	if len(ledger.adapters) < slots {
		return pool.Adapter{}, false, false
	}
	return ledger.adapters[0], true, false
}

// send sends an order until the engine has taken it, refuses it or the tries are
// used up, and tells whether it is carried out. It gives up where the engine has
// taken another order than this coordinator's, since what it holds is not known
// then. It is called with the ledger's sending held.
func (keeper *Keeper) send(ctx context.Context, ledger *Ledger, order Order, tries int) bool {
	conflicts := 0
	first, known := ledger.sendingOf(order)
	if !known {
		return false
	}
	for range tries {
		sending := first
		sending.Holder, sending.Term = keeper.config.Holder, keeper.config.Term()
		if sending.Term == 0 || ctx.Err() != nil {
			return false
		}
		sending.Current = func() bool { return keeper.config.Term() == sending.Term }
		verdict := keeper.order(ctx, sending)
		switch verdict {
		case VerdictTaken, VerdictHolds:
			ledger.took(order, verdict, known)
			return true
		case VerdictFenced, VerdictInvalid:
			ledger.stop(verdict == VerdictFenced)
			return false
		case VerdictUnsent:
			return false
		case VerdictConflict:
			conflicts++
			if ledger.isKnown() && conflicts%freeConflicts != 0 {
				break
			}
			keeper.ask(ctx, ledger)
			if after, _ := ledger.sendingOf(order); after.Accepted != first.Accepted {
				return false
			}
		case VerdictUnknown:
			ledger.doubt()
		}
		select {
		case <-ctx.Done():
			return false
		case <-keeper.config.Clock.After(orderPause):
		}
	}
	return false
}

// order sends an order once. Whoever asked for it may leave meanwhile: breaking it
// off would leave open whether the engine carries it out.
func (keeper *Keeper) order(ctx context.Context, sending Sending) Verdict {
	keeper.orders.RLock()
	defer keeper.orders.RUnlock()
	verdict, err := keeper.config.Engine.Order(context.WithoutCancel(ctx), sending)
	keeper.note(sending, verdict, err)
	return verdict
}

// Settle waits until no order is on its way to an engine, or ctx ends. Once the
// term has ended, none is sent after it.
func (keeper *Keeper) Settle(ctx context.Context) error {
	settled := make(chan struct{})
	go func() {
		defer close(settled)
		keeper.orders.Lock()
		defer keeper.orders.Unlock()
	}()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (keeper *Keeper) note(sending Sending, verdict Verdict, err error) {
	fields := logrus.Fields{
		"server": string(sending.Server), "model": string(sending.Model), "adapter": string(sending.Adapter),
		"unload": sending.Unload, "accepted": sending.Accepted, "term": sending.Term, "verdict": verdict.String(),
	}
	switch {
	case err != nil:
		fields["cause"] = err.Error()
		event.OrderUnclear.Log(keeper.config.Log, fields)
	case verdict == VerdictFenced:
		event.OrderOutdated.Log(keeper.config.Log, fields)
	default:
		event.OrderSent.Log(keeper.config.Log, fields)
	}
}

// ask reads the engine's report.
func (keeper *Keeper) ask(ctx context.Context, ledger *Ledger) {
	ledger.mutex.Lock()
	server := ledger.server
	ledger.mutex.Unlock()
	report, err := keeper.config.Engine.Report(ctx, server.Address, server.ID)
	if err != nil {
		event.OrderUnclear.Log(keeper.config.Log, logrus.Fields{"server": string(server.ID), "report": true, "cause": err.Error()})
		return
	}
	ledger.report(report, keeper.config.Clock.Now())
}

func (ledger *Ledger) sendingOf(order Order) (Sending, bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return Sending{Order: order, Server: ledger.server.ID, Address: ledger.server.Address, Accepted: ledger.accepted}, ledger.known
}

// doubt notes an order without an answer: it may be carried out, or be carried
// out later unless another order with the same count is taken first.
func (ledger *Ledger) doubt() {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.known = false
}

// stop notes that the engine takes no orders of this coordinator, or that its
// entry is out of date.
func (ledger *Ledger) stop(fenced bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.known = false
	ledger.fenced = ledger.fenced || fenced
}
