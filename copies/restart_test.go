package copies_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// overtakenEngine calls after between the engine's answer to an order, or its report, and
// the return of the call. This simulates an answer that the registry overtakes.
type overtakenEngine struct {
	*fakeEngine
	after func()
	// order replaces the outcome of orders if it is not zero.
	order copies.Outcome
}

// Order implements [copies.EngineClient].
func (engine *overtakenEngine) Order(ctx context.Context, orderRequest copies.OrderRequest) (copies.Outcome, error) {
	outcome, err := engine.fakeEngine.Order(ctx, orderRequest)
	if engine.order != copies.OutcomeUnknown {
		outcome = engine.order
	}
	engine.after()
	return outcome, err
}

// Report implements [copies.EngineClient].
func (engine *overtakenEngine) Report(ctx context.Context, address string, server names.BackendServer) (copies.EngineReport, error) {
	engineReport, err := engine.fakeEngine.Report(ctx, address, server)
	engine.after()
	return engineReport, err
}

// TestAnswersOfAnEndedIncarnationAreNotBelievedOfTheNext checks that the answer to an order
// says nothing of an engine that has restarted, empty, since the order was sent, or of a
// server that has its ID at another address.
func TestAnswersOfAnEndedIncarnationAreNotBelievedOfTheNext(t *testing.T) {
	cases := []struct {
		name  string
		next  pool.Server
		order copies.Outcome
	}{
		{name: "a load that was accepted", next: pool.Server{Address: "127.0.0.1:1", Incarnation: 2}},
		{name: "a load that needed no change", next: pool.Server{Address: "127.0.0.1:1", Incarnation: 2}, order: copies.OutcomeUnchanged},
		{name: "a load at another address", next: pool.Server{Address: "127.0.0.1:2", Incarnation: 1}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			engine := &overtakenEngine{fakeEngine: newFakeEngine("a"), after: func() {}, order: each.order}
			dispatcher := copies.NewDispatcher(copies.DispatcherConfig{
				Engines: engine, Clock: clock.NewService(clock.ServiceConfig{Clock: engine.clock}),
				Log: discardLogger(), Holder: "entry", Term: func() int64 { return 1 },
			})
			dispatcher.SyncRegistry(serversWith("a"), epoch)
			for range 3 {
				dispatcher.QueryUnknown(context.Background(), "notes")
				dispatcher.Wait()
			}
			g.Expect(dispatcher.Holdings("notes")[0].Busy).To(BeFalse())
			next := each.next
			next.ID, next.Service, next.Slots = engineID, "notes", 48
			engine.after = func() { dispatcher.SyncRegistry([]*pool.Server{&next}, engine.clock.Now()) }
			g.Expect(dispatcher.LoadAdapter(context.Background(), engineID, adapter, engineSpec())).NotTo(Succeed())
			holding := dispatcher.Holdings("notes")[0]
			g.Expect(holding.Adapters).To(BeEmpty())
			g.Expect(holding.Models).To(BeEmpty())
			g.Expect(holding.Busy).To(BeTrue(), "the engine has not reported since its restart")
			g.Expect(dispatcher.States("notes")[0].Blocked).To(BeTrue())
		})
	}
}

// TestReportOfAnEndedIncarnationIsNotBelievedOfTheNext checks that a report that the
// registry overtakes does not count towards those that make the next incarnation known.
func TestReportOfAnEndedIncarnationIsNotBelievedOfTheNext(t *testing.T) {
	g := NewWithT(t)
	engine := &overtakenEngine{fakeEngine: newFakeEngine("a"), after: func() {}}
	dispatcher := copies.NewDispatcher(copies.DispatcherConfig{
		Engines: engine, Clock: clock.NewService(clock.ServiceConfig{Clock: engine.clock}),
		Log: discardLogger(), Holder: "entry", Term: func() int64 { return 1 },
	})
	dispatcher.SyncRegistry(serversWith("a"), epoch)
	next := &pool.Server{ID: engineID, Service: "notes", Address: "127.0.0.1:1", Slots: 48, Incarnation: 2}
	engine.after = func() { dispatcher.SyncRegistry([]*pool.Server{next}, engine.clock.Now()) }
	query := func() {
		dispatcher.QueryUnknown(context.Background(), "notes")
		dispatcher.Wait()
	}
	query()
	engine.after = func() {}
	engine.clock.After(time.Second)
	query()
	g.Expect(dispatcher.Holdings("notes")[0].Busy).To(BeTrue(), "this is the first report of the present incarnation")
	query()
	query()
	g.Expect(dispatcher.Holdings("notes")[0].Busy).To(BeFalse())
}

// TestEarlierIncarnationsAreNotBelieved guards against a registry that was restored from an
// older copy: its entry of an ended incarnation must not replace what is known, and that
// of an engine whose clock was set back must, in the end.
func TestEarlierIncarnationsAreNotBelieved(t *testing.T) {
	g := NewWithT(t)
	engine := newFakeEngine("a")
	dispatcher := newDispatcher(engine, 1)
	current := serversWith("a")
	current[0].Incarnation = 5
	dispatcher.SyncRegistry(current, epoch)
	for range 3 {
		dispatcher.QueryUnknown(context.Background(), "notes")
		dispatcher.Wait()
	}
	g.Expect(dispatcher.LoadAdapter(context.Background(), engineID, adapter, engineSpec())).To(Succeed())
	now := engine.clock.Now()
	earlier := func() []*pool.Server { return serversWith("a", "b") }
	for _, age := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
		dispatcher.SyncRegistry(earlier(), now.Add(age))
		g.Expect(dispatcher.Holdings("notes")[0].Busy).To(BeFalse())
		g.Expect(dispatcher.Holdings("notes")[0].Adapters).To(ConsistOf(adapter))
	}
	dispatcher.SyncRegistry(earlier(), now.Add(6*time.Second))
	g.Expect(dispatcher.Holdings("notes")[0].Incarnation).To(Equal(int64(1)))
	g.Expect(dispatcher.Holdings("notes")[0].Busy).To(BeTrue(), "this incarnation has not reported")
}

// TestRelistedEnginesKeepTheirState guards against a second tracker beside a running step,
// and against late orders being forgotten, when an engine leaves the registry for a while.
func TestRelistedEnginesKeepTheirState(t *testing.T) {
	g := NewWithT(t)
	engine := newFakeEngine("a")
	dispatcher := newReadyDispatcher(engine, 1, "a")
	g.Expect(dispatcher.LoadAdapter(context.Background(), engineID, adapter, engineSpec())).To(Succeed())
	now := engine.clock.Now()
	dispatcher.SyncRegistry(nil, now)
	g.Expect(dispatcher.Holdings("notes")).To(BeEmpty())
	g.Expect(dispatcher.LoadAdapter(context.Background(), engineID, adapter, engineSpec())).NotTo(Succeed())
	dispatcher.SyncRegistry(serversWith("a"), now.Add(time.Second))
	g.Expect(dispatcher.Holdings("notes")[0].Adapters).To(ConsistOf(adapter))
	dispatcher.SyncRegistry(nil, now.Add(2*time.Second))
	dispatcher.SyncRegistry(nil, now.Add(20*time.Second))
	dispatcher.SyncRegistry(serversWith("a"), now.Add(21*time.Second))
	g.Expect(dispatcher.Holdings("notes")[0].Busy).To(BeTrue(), "no late order can arrive any more, and nothing is known")
}
