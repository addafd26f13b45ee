package copies_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// quickClock advances by each requested pause immediately, so that tests do not wait.
type quickClock struct {
	clockwork.Clock
	// mutex guards now.
	mutex sync.Mutex
	now   time.Time
}

func newQuickClock() *quickClock { return &quickClock{Clock: clockwork.NewRealClock(), now: epoch} }

// Now implements clockwork.Clock.
func (quick *quickClock) Now() time.Time {
	quick.mutex.Lock()
	defer quick.mutex.Unlock()
	return quick.now
}

// After implements clockwork.Clock.
func (quick *quickClock) After(pause time.Duration) <-chan time.Time {
	quick.mutex.Lock()
	defer quick.mutex.Unlock()
	quick.now = quick.now.Add(pause)
	passed := make(chan time.Time, 1)
	passed <- quick.now
	return passed
}

func discardLogger() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func newDispatcher(engine *fakeEngine, term int64) *copies.Dispatcher {
	return copies.NewDispatcher(copies.DispatcherConfig{
		Engines: engine, Clock: clock.NewService(clock.ServiceConfig{Clock: engine.clock}),
		Log: discardLogger(), Holder: "entry", Term: func() int64 { return term },
	})
}

const engineID = names.BackendServer("engine-1")

func serversWith(models ...names.Model) []*pool.Server {
	return []*pool.Server{{ID: engineID, Service: "notes", Address: "127.0.0.1:1", Slots: 48, Models: models, Incarnation: 1}}
}

// newReadyDispatcher returns a dispatcher that has queried the engine's state.
func newReadyDispatcher(engine *fakeEngine, term int64, models ...names.Model) *copies.Dispatcher {
	dispatcher := newDispatcher(engine, term)
	dispatcher.SyncRegistry(serversWith(models...), epoch)
	for range 3 {
		dispatcher.QueryUnknown(context.Background(), "notes")
		dispatcher.Wait()
	}
	return dispatcher
}

func TestNoOrdersBeforeTheEngineIsKnown(t *testing.T) {
	g := NewWithT(t)
	engine := newFakeEngine("a")
	// The previous coordinator's load is running and not in the registry yet.
	engine.execute(copies.OrderRequest{Order: copies.Order{Model: "b"}, Term: 1})
	dispatcher := newReadyDispatcher(engine, 2, "a")
	g.Expect(dispatcher.States("notes")[0].Blocked).To(BeTrue())
	g.Expect(dispatcher.ReadyAfter("notes", "b", engineSpec())).To(BeZero(), "the load may be done at any time")
	engine.clock.After(2 * time.Second)
	g.Expect(dispatcher.ReadyAfter("notes", "b", engineSpec())).NotTo(BeZero(), "such a load would have ended")
	dispatcher.StartStep(context.Background(), copies.Step{Server: engineID, Load: "c"}, engineSpec())
	dispatcher.Wait()
	engine.finish()
	g.Expect(engine.recordedViolations()).To(BeEmpty())
	g.Expect(engine.held()).To(ConsistOf(names.Model("a"), names.Model("b")))
	for range 3 {
		dispatcher.QueryUnknown(context.Background(), "notes")
		dispatcher.Wait()
	}
	state := dispatcher.States("notes")[0]
	g.Expect(state.Blocked).To(BeFalse())
	g.Expect(state.Models).To(ConsistOf(names.Model("a"), names.Model("b")))
}

func TestAReportMayLagBehindItsCount(t *testing.T) {
	g := NewWithT(t)
	engine := newFakeEngine("a")
	dispatcher := newDispatcher(engine, 2)
	dispatcher.SyncRegistry(serversWith("a"), epoch)
	// The report contains the count after the previous coordinator's order, but the
	// models before it.
	engine.execute(copies.OrderRequest{Order: copies.Order{Model: "b"}, Term: 1})
	dispatcher.QueryUnknown(context.Background(), "notes")
	dispatcher.Wait()
	g.Expect(dispatcher.States("notes")[0].Blocked).To(BeTrue())
	engine.fate = func() fate {
		engine.loading = ""
		return fateReplied
	}
	engine.models = append(engine.models, "b")
	dispatcher.StartStep(context.Background(), copies.Step{Server: engineID, Load: "c"}, engineSpec())
	dispatcher.Wait()
	g.Expect(engine.recordedViolations()).To(BeEmpty())
}

func TestAnOlderCoordinatorStopsAtTheFence(t *testing.T) {
	g := NewWithT(t)
	engine := newFakeEngine("a")
	old := newReadyDispatcher(engine, 1, "a")
	fresh := newReadyDispatcher(engine, 2, "a")
	fresh.StartStep(context.Background(), copies.Step{Server: engineID, Load: "b"}, engineSpec())
	fresh.Wait()
	engine.finish()
	// The old dispatcher's count is out of date. It has to query the engine, which then
	// refuses its order by the fencing token.
	old.QueryUnknown(context.Background(), "notes")
	g.Expect(old.LoadAdapter(context.Background(), engineID, pool.Adapter{Model: "a", Name: "a1"}, engineSpec())).NotTo(Succeed())
	g.Expect(old.States("notes")[0].Blocked).To(BeTrue())
}

func TestACopyThatMakesWayCountsNoMore(t *testing.T) {
	g := NewWithT(t)
	engine := newFakeEngine("a", "b")
	dispatcher := newReadyDispatcher(engine, 1, "a", "b")
	seen := make(chan []names.Model, 1)
	engine.fate = func() fate {
		// The first order, which unloads the copy, is in flight.
		select {
		case seen <- dispatcher.States("notes")[0].Models:
		default:
		}
		return fateReplied
	}
	dispatcher.StartStep(context.Background(), copies.Step{Server: engineID, Unload: []names.Model{"b"}, Load: "c"}, engineSpec())
	dispatcher.Wait()
	g.Expect(<-seen).To(Equal([]names.Model{"a"}), "else the planner has another engine drop its copy too")
}

func TestAdaptersMakeWayInOrder(t *testing.T) {
	g := NewWithT(t)
	engine := newFakeEngine("a")
	dispatcher := newReadyDispatcher(engine, 1, "a")
	for _, name := range []names.Adapter{"a1", "a2", "a3", "a3", "a1"} {
		g.Expect(dispatcher.LoadAdapter(context.Background(), engineID, pool.Adapter{Model: "a", Name: name}, engineSpec())).To(Succeed())
	}
	g.Expect(engine.recordedViolations()).To(BeEmpty())
	g.Expect(engine.adapters).To(ConsistOf(pool.Adapter{Model: "a", Name: "a3"}, pool.Adapter{Model: "a", Name: "a1"}))
}

// TestMemoryIsNeverOvercommitted checks that no order exceeds an engine's memory or
// adapter slots while orders and replies are lost or delayed, loads end at any time and
// coordinators succeed each other.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := newFakeEngine("a")
		var drawing sync.Mutex
		fates := rapid.SliceOfN(rapid.SampledFrom([]fate{fateReplied, fateReplied, fateReplied, fateReplyLost, fateDelayed, fateLost}), 400, 400).Draw(t, "fates")
		next := 0
		engine.fate = func() fate {
			drawing.Lock()
			defer drawing.Unlock()
			next++
			return fates[next%len(fates)]
		}
		term := int64(1)
		dispatcher := newReadyDispatcher(engine, term, "a")
		for range rapid.IntRange(10, 40).Draw(t, "actions") {
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				engine.finish()
			case 1:
				engine.deliver()
			case 2:
				term++
				dispatcher = newReadyDispatcher(engine, term, engine.held()...)
			case 3:
				for range 3 {
					dispatcher.QueryUnknown(context.Background(), "notes")
					dispatcher.Wait()
				}
			case 4:
				adapter := rapid.SampledFrom([]names.Adapter{"a1", "a2", "a3", "a4"}).Draw(t, "adapter")
				// A failure is allowed, as the request would be sent to another engine.
				_ = dispatcher.LoadAdapter(context.Background(), engineID, pool.Adapter{Model: "a", Name: adapter}, engineSpec())
			default:
				planAndRun(t, dispatcher)
			}
			if faults := engine.recordedViolations(); len(faults) > 0 {
				t.Fatalf("ordered %v", faults)
			}
		}
	})
}

// planAndRun has the planner plan a load of a random model and executes the steps.
func planAndRun(t *rapid.T, dispatcher *copies.Dispatcher) {
	model := rapid.SampledFrom([]names.Model{"b", "c", "d", "x", "y"}).Draw(t, "model")
	planner := copies.NewPlanner(copies.PlannerConfig{Window: 5 * time.Second, Now: epoch})
	steps := planner.Plan(copies.PlanInput{
		Engine: engineSpec(), Engines: dispatcher.States("notes"), Now: epoch.Add(time.Hour),
		Demand: map[names.Model]copies.Demand{model: {Work: 1, Waiting: 1}},
	})
	for _, step := range steps {
		dispatcher.StartStep(context.Background(), step, engineSpec())
	}
	dispatcher.Wait()
}
