package copies

import (
	"slices"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// Ledger is what the coordinator knows of one engine.
type Ledger struct {
	// sending serialises orders to the engine. It is taken before mutex.
	sending sync.Mutex
	// mutex guards all below.
	mutex    sync.Mutex
	server   *pool.Server
	accepted int64
	// known tells that models, adapters and accepted belong together: the engine
	// reported them in this term while it carried out no order, and every order
	// since has had an answer.
	known  bool
	asking bool
	// counted is the count of the last report, and countedAt when it was first told.
	counted   int64
	countedAt time.Time
	models    []names.Model
	adapters  []pool.Adapter
	inMemory  []names.Model
	onDisk    []names.Model
	since     map[names.Model]time.Time
	// loading is being loaded until readyAt; zero until the engine took the order.
	loading names.Model
	readyAt time.Time
	// leaving models make way; requests no longer go to them.
	leaving []names.Model
	fixed   bool
	fenced  bool
}

func newLedger(server *pool.Server) *Ledger {
	ledger := &Ledger{since: map[names.Model]time.Time{}}
	ledger.adopt(server)
	return ledger
}

// adopt takes the registry's entry for the whole truth. The count of accepted
// orders is not in it: a new server has accepted none, and a conflict tells of a
// count that is wrong.
func (ledger *Ledger) adopt(server *pool.Server) {
	ledger.server = server
	ledger.models = slices.Clone(server.Models)
	ledger.adapters = slices.Clone(server.Adapters)
	ledger.inMemory, ledger.onDisk = server.InMemory, server.OnDisk
}

// sync takes in a newer entry of the registry, which lags behind orders.
func (ledger *Ledger) sync(server *pool.Server, now time.Time) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.server == server {
		return
	}
	if ledger.server.Incarnation != server.Incarnation || ledger.server.Address != server.Address {
		ledger.known, ledger.loading, ledger.leaving, ledger.accepted = false, "", nil, 0
		ledger.countedAt = time.Time{}
		ledger.since = map[names.Model]time.Time{}
		ledger.adopt(server)
		return
	}
	ledger.server = server
	ledger.inMemory, ledger.onDisk = server.InMemory, server.OnDisk
	if ledger.loading != "" && server.HasModel(ledger.loading) {
		ledger.loaded(now)
	}
	if !ledger.fixed && !ledger.known {
		ledger.adopt(server)
	}
}

// reportSettle is how long the count of a report has to stay the same until what
// the report says of models belongs to it: that may be some hundred milliseconds
// older than the count.
const reportSettle = 400 * time.Millisecond

// report takes in what the engine says of itself.
func (ledger *Ledger) report(report Report, now time.Time) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.countedAt.IsZero() || report.Accepted != ledger.counted {
		ledger.counted, ledger.countedAt = report.Accepted, now
	}
	if ledger.known && report.Accepted == ledger.accepted {
		if ledger.loading != "" && slices.Contains(report.Models, ledger.loading) {
			ledger.loaded(now)
		}
		return
	}
	ledger.accepted = report.Accepted
	ledger.known = !report.Busy && now.Sub(ledger.countedAt) >= reportSettle
	if !ledger.known {
		return
	}
	ledger.models = slices.Clone(report.Models)
	ledger.adapters = slices.Clone(report.Adapters)
	if report.InMemory != nil || report.OnDisk != nil {
		ledger.inMemory, ledger.onDisk = report.InMemory, report.OnDisk
	}
}

// loaded ends a load. It is called with the mutex held.
func (ledger *Ledger) loaded(now time.Time) {
	if !slices.Contains(ledger.models, ledger.loading) {
		ledger.models = append(ledger.models, ledger.loading)
	}
	ledger.since[ledger.loading] = now
	ledger.loading, ledger.readyAt = "", time.Time{}
}

// settle ends a load whose time has passed.
func (ledger *Ledger) settle(now time.Time) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.loading != "" && !ledger.readyAt.IsZero() && !now.Before(ledger.readyAt) {
		ledger.loaded(now)
	}
}

// state returns what the planner needs.
func (ledger *Ledger) state() EngineState {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return EngineState{
		Server:    ledger.server.ID,
		Models:    ledger.staying(),
		Loading:   ledger.loading,
		InMemory:  ledger.inMemory,
		OnDisk:    ledger.onDisk,
		Since:     ledger.sinceNow(),
		Unloading: len(ledger.leaving) > 0,
		Fixed:     ledger.fixed || ledger.fenced || !ledger.known || ledger.loading != "",
		Leaving:   ledger.server.Draining,
	}
}

func (ledger *Ledger) sinceNow() map[names.Model]time.Time {
	since := make(map[names.Model]time.Time, len(ledger.since))
	for model, at := range ledger.since {
		since[model] = at
	}
	return since
}

// staying lists the models that do not make way. It is called with the mutex
// held.
func (ledger *Ledger) staying() []names.Model {
	return slices.DeleteFunc(slices.Clone(ledger.models), func(model names.Model) bool {
		return slices.Contains(ledger.leaving, model)
	})
}

// holding returns what requests may be sent for.
func (ledger *Ledger) holding() pool.Holding {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return pool.Holding{
		Server: ledger.server.ID, Incarnation: ledger.server.Incarnation, Models: ledger.staying(), Adapters: slices.Clone(ledger.adapters),
		Busy: !ledger.known || ledger.fixed || ledger.loading != "" || ledger.fenced,
	}
}

// took notes an order that the engine carries out or finds done. Since it met the
// count, no other order came between: what was known before holds again.
func (ledger *Ledger) took(order Order, verdict Verdict, known bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.known = known
	counted := verdict == VerdictTaken || (order.Adapter != "" && order.Unload)
	if counted {
		ledger.accepted++
	}
	adapter := pool.Adapter{Model: order.Model, Name: order.Adapter}
	switch {
	case order.Adapter != "" && order.Unload:
		ledger.adapters = slices.DeleteFunc(ledger.adapters, func(other pool.Adapter) bool { return other == adapter })
	case order.Adapter != "":
		if !slices.Contains(ledger.adapters, adapter) {
			ledger.adapters = append(ledger.adapters, adapter)
		}
	case order.Unload:
		ledger.models = slices.DeleteFunc(ledger.models, func(other names.Model) bool { return other == order.Model })
		ledger.adapters = slices.DeleteFunc(ledger.adapters, func(other pool.Adapter) bool { return other.Model == order.Model })
		delete(ledger.since, order.Model)
	}
}
