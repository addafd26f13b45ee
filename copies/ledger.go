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

func newLedger(server *pool.Server) *Tracker {
	tracker := &Tracker{since: map[names.Model]time.Time{}}
	tracker.adopt(server)
	return tracker
}

// adopt takes the registry's entry for the whole truth. The count of accepted
// orders is not in it: a new server has accepted none, and a conflict tells of a
// count that is wrong.
func (tracker *Tracker) adopt(server *pool.Server) {
	tracker.server = server
	tracker.models = slices.Clone(server.Models)
	tracker.adapters = slices.Clone(server.Adapters)
	tracker.inMemory, tracker.onDisk = server.InMemory, server.OnDisk
}

// sync takes in a newer entry of the registry, which lags behind orders.
func (tracker *Tracker) sync(server *pool.Server, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.server == server {
		return
	}
	if tracker.server.Born != server.Born || tracker.server.Address != server.Address {
		tracker.known, tracker.loading, tracker.leaving, tracker.accepted = false, "", nil, 0
		tracker.countedAt = time.Time{}
		tracker.since = map[names.Model]time.Time{}
		tracker.adopt(server)
		return
	}
	tracker.server = server
	tracker.inMemory, tracker.onDisk = server.InMemory, server.OnDisk
	if tracker.loading != "" && server.Holds(tracker.loading) {
		tracker.loaded(now)
	}
	if !tracker.fixed && !tracker.known {
		tracker.adopt(server)
	}
}

// reportSettle is how long the count of a report has to stay the same until what
// the report says of models belongs to it: that may be some hundred milliseconds
// older than the count.
const reportSettle = 400 * time.Millisecond

// report takes in what the engine says of itself.
func (tracker *Tracker) report(engineReport EngineReport, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.countedAt.IsZero() || engineReport.Accepted != tracker.counted {
		tracker.counted, tracker.countedAt = engineReport.Accepted, now
	}
	if tracker.known && engineReport.Accepted == tracker.accepted {
		if tracker.loading != "" && slices.Contains(engineReport.Models, tracker.loading) {
			tracker.loaded(now)
		}
		return
	}
	tracker.accepted = engineReport.Accepted
	tracker.known = !engineReport.Busy && now.Sub(tracker.countedAt) >= reportSettle
	if !tracker.known {
		return
	}
	tracker.models = slices.Clone(engineReport.Models)
	tracker.adapters = slices.Clone(engineReport.Adapters)
	if engineReport.InMemory != nil || engineReport.OnDisk != nil {
		tracker.inMemory, tracker.onDisk = engineReport.InMemory, engineReport.OnDisk
	}
}

// loaded ends a load. It is called with the mutex held.
func (tracker *Tracker) loaded(now time.Time) {
	if !slices.Contains(tracker.models, tracker.loading) {
		tracker.models = append(tracker.models, tracker.loading)
	}
	tracker.since[tracker.loading] = now
	tracker.loading, tracker.readyAt = "", time.Time{}
}

// settle ends a load whose time has passed.
func (tracker *Tracker) settle(now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.loading != "" && !tracker.readyAt.IsZero() && !now.Before(tracker.readyAt) {
		tracker.loaded(now)
	}
}

// state returns what the planner needs.
func (tracker *Tracker) state() EngineState {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return EngineState{
		Server:    tracker.server.ID,
		Models:    tracker.staying(),
		Loading:   tracker.loading,
		InMemory:  tracker.inMemory,
		OnDisk:    tracker.onDisk,
		LoadedAt:  tracker.sinceNow(),
		Unloading: len(tracker.leaving) > 0,
		Blocked:   tracker.fixed || tracker.fenced || !tracker.known || tracker.loading != "",
		Draining:  tracker.server.Draining,
	}
}

func (tracker *Tracker) sinceNow() map[names.Model]time.Time {
	since := make(map[names.Model]time.Time, len(tracker.since))
	for model, at := range tracker.since {
		since[model] = at
	}
	return since
}

// staying lists the models that do not make way. It is called with the mutex
// held.
func (tracker *Tracker) staying() []names.Model {
	return slices.DeleteFunc(slices.Clone(tracker.models), func(model names.Model) bool {
		return slices.Contains(tracker.leaving, model)
	})
}

// holding returns what requests may be sent for.
func (tracker *Tracker) holding() pool.Holding {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return pool.Holding{
		Server: tracker.server.ID, Born: tracker.server.Born, Models: tracker.staying(), Adapters: slices.Clone(tracker.adapters),
		Busy: !tracker.known || tracker.fixed || tracker.loading != "" || tracker.fenced,
	}
}

// took notes an order that the engine carries out or finds done. Since it met the
// count, no other order came between: what was known before holds again.
func (tracker *Tracker) took(order Order, outcome Outcome, known bool) {
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
		delete(tracker.since, order.Model)
	}
}
