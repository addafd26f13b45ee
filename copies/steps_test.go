package copies_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// scheduledStep evicts a model for which there is some demand.
var scheduledStep = copies.Step{Server: engineID, Unload: []names.Model{"b"}, Load: "c", Scheduled: true, Demand: copies.Demand{Work: 1}}

// requestCounter implements [copies.Usage] for requests.
type requestCounter func(server *pool.Server, model names.Model) (running int, known bool)

// ModelRequests implements [copies.Usage].
func (requestCounter requestCounter) ModelRequests(server *pool.Server, model names.Model) (running int, known bool) {
	return requestCounter(server, model)
}

// AdapterUsedAt implements [copies.Usage].
func (requestCounter) AdapterUsedAt(*pool.Server, pool.Adapter) (time.Time, bool) {
	return time.Time{}, false
}

// adapterUses implements [copies.Usage] for adapters.
type adapterUses map[names.Adapter]time.Time

// ModelRequests implements [copies.Usage].
func (adapterUses) ModelRequests(*pool.Server, names.Model) (int, bool) { return 0, false }

// AdapterUsedAt implements [copies.Usage].
func (adapterUses adapterUses) AdapterUsedAt(_ *pool.Server, adapter pool.Adapter) (time.Time, bool) {
	return adapterUses[adapter.Name], true
}

// TestAdaptersInUseStay guards against adapters that are dropped and loaded again in turn
// although requests use them, and against new ones that are dropped before their request
// arrives.
func TestAdaptersInUseStay(t *testing.T) {
	g := NewWithT(t)
	engine := newFakeEngine("a")
	dispatcher := newReadyDispatcher(engine, 1, "a")
	uses := adapterUses{}
	dispatcher.SetUsage(uses)
	load := func(name names.Adapter) {
		engine.clock.After(time.Second)
		uses["a1"] = engine.clock.Now()
		g.Expect(dispatcher.LoadAdapter(context.Background(), engineID, pool.Adapter{Model: "a", Name: name}, engineSpec())).To(Succeed())
	}
	for _, name := range []names.Adapter{"a1", "a2", "a3", "a4"} {
		load(name)
	}
	g.Expect(engine.adapters).To(ConsistOf(pool.Adapter{Model: "a", Name: "a1"}, pool.Adapter{Model: "a", Name: "a4"}))
	g.Expect(engine.recordedViolations()).To(BeEmpty())
}

// TestUnloadsAreSentWhenFewRequestsAreLeft guards against engines that accept no other
// orders for the whole time that the requests for a model take, and against a fixed wait
// where there are none.
func TestUnloadsAreSentWhenFewRequestsAreLeft(t *testing.T) {
	cases := []struct {
		name string
		step copies.Step
		// end is when the requests end, and known whether they are known.
		end   time.Duration
		known bool
		// unload is the least time to the unload, and most the longest to the load.
		unload, most time.Duration
	}{
		{name: "no requests", step: scheduledStep, known: true, most: 200 * time.Millisecond},
		{name: "some requests", step: scheduledStep, known: true, end: 2 * time.Second, unload: 2 * time.Second, most: 2300 * time.Millisecond},
		{name: "requests that do not end", step: scheduledStep, known: true, end: 9 * time.Second, unload: 4 * time.Second, most: 9300 * time.Millisecond},
		{name: "requests that are not known", step: scheduledStep, unload: 500 * time.Millisecond, most: 900 * time.Millisecond},
		{
			name: "a service that is not scheduled", step: copies.Step{Server: engineID, Unload: []names.Model{"b"}, Load: "c"}, known: true,
			unload: 500 * time.Millisecond, most: 900 * time.Millisecond,
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			engine := &streamingEngine{fakeEngine: newFakeEngine("a", "b")}
			dispatcher := newStreamingDispatcher(engine, "a", "b")
			began := engine.clock.Now()
			engine.streamsEnd = began.Add(each.end)
			dispatcher.SetUsage(requestCounter(func(*pool.Server, names.Model) (int, bool) {
				if engine.clock.Now().Before(engine.streamsEnd) {
					return 9, each.known
				}
				return 0, each.known
			}))
			dispatcher.StartStep(context.Background(), each.step, engineSpec())
			dispatcher.Wait()
			g.Expect(engine.unloadAt.Sub(began)).To(BeNumerically(">=", each.unload))
			g.Expect(engine.loadAt.Sub(began)).To(BeNumerically("<=", each.most))
			g.Expect(engine.refused).To(BeZero())
			engine.finish()
			g.Expect(engine.held()).To(ConsistOf(names.Model("a"), names.Model("c")))
		})
	}
}

// TestLoadsCountOnceTheEngineHasThem guards against copies that get their first requests
// only when the registry lists them or their usual time has passed.
func TestLoadsCountOnceTheEngineHasThem(t *testing.T) {
	cases := []struct {
		name string
		// load is how long the load takes. The usual time is a second.
		load, least, most time.Duration
	}{
		{name: "faster than usual", load: 300 * time.Millisecond, least: 600 * time.Millisecond, most: 900 * time.Millisecond},
		{name: "slower than usual", load: 5 * time.Second, least: time.Second, most: 1300 * time.Millisecond},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			engine := &streamingEngine{fakeEngine: newFakeEngine("a")}
			dispatcher := newStreamingDispatcher(engine, "a")
			engine.loadTime = each.load
			dispatcher.StartStep(context.Background(), copies.Step{Server: engineID, Load: "c", Scheduled: true}, engineSpec())
			dispatcher.Wait()
			g.Expect(engine.clock.Now().Sub(engine.loadAt)).To(And(BeNumerically(">=", each.least), BeNumerically("<=", each.most)))
			g.Expect(dispatcher.Holdings("notes")[0].Models).To(ConsistOf(names.Model("a"), names.Model("c")))
		})
	}
}

// TestStepsWhoseDemandHasGoneAreCanceled guards against a copy that is evicted for a model
// that is not requested any more, and against requests that follow the decision while a
// step waits.
func TestStepsWhoseDemandHasGoneAreCanceled(t *testing.T) {
	cases := []struct {
		name   string
		demand copies.Demand
		held   []names.Model
	}{
		{name: "the demand is the same", demand: copies.Demand{Work: 0.9}, held: []names.Model{"a", "c"}},
		{name: "the demand has gone", demand: copies.Demand{Work: 0.4}, held: []names.Model{"a", "b"}},
		{name: "requests wait", demand: copies.Demand{Waiting: 1}, held: []names.Model{"a", "c"}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			engine := &streamingEngine{fakeEngine: newFakeEngine("a", "b")}
			dispatcher := newStreamingDispatcher(engine, "a", "b")
			var asked atomic.Bool
			dispatcher.SetUsage(requestCounter(func(*pool.Server, names.Model) (int, bool) {
				if !asked.CompareAndSwap(false, true) {
					return 0, true
				}
				holding := dispatcher.Holdings("notes")[0]
				g.Expect(holding.Models).To(Equal([]names.Model{"a"}), "the copy gets no more requests")
				g.Expect(holding.Busy).To(BeFalse(), "the engine still loads adapters")
				g.Expect(dispatcher.LoadAdapter(context.Background(), engineID, adapter, engineSpec())).To(Succeed())
				g.Expect(dispatcher.LoadAdapter(context.Background(), engineID, pool.Adapter{Model: "b", Name: "b1"}, engineSpec())).NotTo(Succeed(), "it would be dropped with its model")
				dispatcher.CancelSteps("notes", map[names.Model]copies.Demand{"c": each.demand})
				return 9, true
			}))
			dispatcher.StartStep(context.Background(), scheduledStep, engineSpec())
			dispatcher.Wait()
			engine.finish()
			g.Expect(engine.held()).To(ConsistOf(each.held))
			g.Expect(dispatcher.States("notes")[0].Unloading).To(BeFalse())
		})
	}
}

// TestScheduledEvictions guards against evictions of copies that are busy although others
// end sooner, of copies with many adapters, of copies of requested models for models that
// nobody requests, of the only copy that serves requests, and against idle and busy models
// that evict each other in turn.
func TestScheduledEvictions(t *testing.T) {
	threeCopies := func(edit func(engines []copies.EngineState)) []copies.EngineState {
		engines := enginesWith([]names.Model{"a", "b"}, []names.Model{"a", "b"}, []names.Model{"a", "b"})
		edit(engines)
		return engines
	}
	allModels := func(loadedAt time.Time) []copies.EngineState {
		engines := enginesWith([]names.Model{"a", "b"}, []names.Model{"c", "d"}, []names.Model{"e", "x", "y", "z"})
		for index := range engines {
			engines[index].LoadedAt = map[names.Model]time.Time{}
			for _, model := range engines[index].Models {
				engines[index].LoadedAt[model] = loadedAt
			}
		}
		return engines
	}
	wanted := map[names.Model]copies.Demand{"a": {Work: 1, Steady: 1}, "b": {Work: 1, Steady: 1}, "c": {Work: 0.5, Waiting: 1, Steady: 0.1}}
	cases := []struct {
		name    string
		engines []copies.EngineState
		demand  map[names.Model]copies.Demand
		steps   []copies.Step
	}{
		{
			name:   "the copy without requests is evicted",
			demand: wanted,
			engines: threeCopies(func(engines []copies.EngineState) {
				for index := range engines {
					engines[index].Requests = map[names.Model]int{"a": 8, "b": 9}
				}
				engines[1].Requests["b"] = 0
			}),
			steps: []copies.Step{{Server: "engine-1", Unload: []names.Model{"b"}, Load: "c", FromStore: true, Scheduled: true, Demand: wanted["c"]}},
		},
		{
			name:   "the copy without adapters is evicted",
			demand: wanted,
			engines: threeCopies(func(engines []copies.EngineState) {
				for index := range engines {
					engines[index].Requests = map[names.Model]int{"a": 5, "b": 5}
					engines[index].Adapters = map[names.Model]int{"a": 6, "b": 6}
				}
				engines[2].Adapters["a"] = 0
			}),
			steps: []copies.Step{{Server: "engine-2", Unload: []names.Model{"a"}, Load: "c", FromStore: true, Scheduled: true, Demand: wanted["c"]}},
		},
		{
			name:    "a model that had requests lately keeps its copies",
			demand:  map[names.Model]copies.Demand{"a": {Work: 1, Steady: 1}, "b": {Steady: 0.1}},
			engines: threeCopies(func([]copies.EngineState) {}),
		},
		{
			name:    "an idle model makes room for a busy one",
			demand:  map[names.Model]copies.Demand{"a": {Work: 5, Steady: 5}},
			engines: allModels(epoch.Add(-30 * time.Second)),
			steps:   []copies.Step{{Server: "engine-1", Unload: []names.Model{"c"}, Load: "a", FromStore: true, Scheduled: true, Demand: copies.Demand{Work: 5, Steady: 5}}},
		},
		{
			name:    "an idle model that was loaded lately does not make room again",
			demand:  map[names.Model]copies.Demand{"a": {Work: 5, Steady: 5}},
			engines: allModels(epoch.Add(-10 * time.Second)),
		},
		{
			name:   "a step does not leave more models without a copy than allowed",
			demand: map[names.Model]copies.Demand{"a": {Work: 5, Steady: 5}},
			engines: func() []copies.EngineState {
				engines := allModels(epoch.Add(-10 * time.Second))
				for _, model := range []names.Model{"x", "y", "z"} {
					engines[2].LoadedAt[model] = epoch.Add(-30 * time.Second)
				}
				return engines
			}(),
		},
		{
			name:   "the only copy that is loaded stays while another one is being loaded",
			demand: wanted,
			engines: func() []copies.EngineState {
				engines := enginesWith([]names.Model{"a", "b"}, []names.Model{"b"})
				engines[0].Requests = map[names.Model]int{"a": 0, "b": 20}
				engines[1].Loading, engines[1].Blocked = "a", true
				return engines
			}(),
			steps: []copies.Step{{Server: "engine-0", Unload: []names.Model{"b"}, Load: "c", FromStore: true, Scheduled: true, Demand: wanted["c"]}},
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			// Only one step may unload at a time with three engines.
			steps := newPlanner().Plan(copies.PlanInput{Engine: engineSpec(), Engines: each.engines, Demand: each.demand, Now: epoch, Scheduled: true})
			if each.steps == nil {
				g.Expect(steps).To(BeEmpty())
				return
			}
			g.Expect(steps).To(Equal(each.steps))
		})
	}
}

// TestReadyAfter guards against requests that wait for a model for longer than its load can
// take, and against those that are refused although it may be loaded soon or already is: the
// scheduler learns of that later.
func TestReadyAfter(t *testing.T) {
	g := NewWithT(t)
	engine := &streamingEngine{fakeEngine: newFakeEngine("a"), loadTime: 5 * time.Second}
	dispatcher := newStreamingDispatcher(engine, "a")
	readyAfter := func() time.Duration { return dispatcher.ReadyAfter("notes", "c", engineSpec()) }
	g.Expect(readyAfter()).To(Equal(1050*time.Millisecond), "the time after which a load counts as done")
	g.Expect(dispatcher.ReadyAfter("notes", "a", engineSpec())).To(Equal(time.Millisecond), "loaded")
	dispatcher.StartStep(context.Background(), copies.Step{Server: engineID, Load: "c"}, engineSpec())
	dispatcher.Wait()
	engine.clock.After(250 * time.Millisecond)
	g.Expect(readyAfter()).To(And(BeNumerically(">", 600*time.Millisecond), BeNumerically("<=", 800*time.Millisecond)))
	g.Expect(dispatcher.ReadyAfter("notes", "b", engineSpec())).To(BeZero(), "the engine accepts no other load")
	g.Expect(dispatcher.ReadyAfter("other", "c", engineSpec())).To(BeZero())
}
