package copies_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/pool"
)

// slowEngine does something between the check of the term and the sending of an
// order, as where a connection is opened or the instance is frozen.
type slowEngine struct {
	*fakeEngine
	before func()
}

// Order implements [copies.EngineClient] as an adapter does: it asks once more whether
// the order is current, and breaks off with ctx.
func (engine *slowEngine) Order(ctx context.Context, orderRequest copies.OrderRequest) (copies.Outcome, error) {
	engine.before()
	if !orderRequest.TermValid() {
		return copies.OutcomeUnsent, errNoAnswer
	}
	outcome, err := engine.fakeEngine.Order(ctx, orderRequest)
	if ctx.Err() != nil {
		return copies.OutcomeUnknown, ctx.Err()
	}
	return outcome, err
}

// newSlowDispatcher returns a keeper that knows its engine; what it orders waits for before.
func newSlowDispatcher(engine *fakeEngine, term *atomic.Int64, before func()) *copies.Dispatcher {
	dispatcher := copies.NewDispatcher(copies.DispatcherConfig{
		Engines: &slowEngine{fakeEngine: engine, before: before}, Clock: clock.NewService(clock.ServiceConfig{Clock: engine.clock}),
		Log: discardLogger(), Holder: "entry", Term: term.Load,
	})
	dispatcher.SyncRegistry(serversWith("a"), epoch)
	for range 3 {
		dispatcher.QueryUnknown(context.Background(), "notes")
		dispatcher.Wait()
	}
	return dispatcher
}

var adapter = pool.Adapter{Model: "a", Name: "a1"}

// TestNoOrderLeavesAfterItsTerm plays a coordinator that is frozen, or waits for a
// connection, after it has looked at its term: engines that check no fencing token
// would take the order beside those of its successor.
func TestNoOrderLeavesAfterItsTerm(t *testing.T) {
	g := NewWithT(t)
	engine := newFakeEngine("a")
	var term atomic.Int64
	term.Store(2)
	dispatcher := newSlowDispatcher(engine, &term, func() { term.Store(0) })
	g.Expect(dispatcher.LoadAdapter(context.Background(), engineID, adapter, engineSpec())).NotTo(Succeed())
	g.Expect(engine.accepted).To(BeZero())
	dispatcher.StartStep(context.Background(), copies.Step{Server: engineID, Load: "b"}, engineSpec())
	dispatcher.Wait()
	g.Expect(engine.accepted).To(BeZero())
}

// TestAnOrderOutlivesWhoAskedForIt plays a caller that leaves while an adapter is
// ordered for it: the order's answer is waited for, so that the engine's state
// stays known and others go on at once.
func TestAnOrderOutlivesWhoAskedForIt(t *testing.T) {
	g := NewWithT(t)
	engine := newFakeEngine("a")
	var term atomic.Int64
	term.Store(2)
	ctx, cancel := context.WithCancel(context.Background())
	dispatcher := newSlowDispatcher(engine, &term, cancel)
	g.Expect(dispatcher.LoadAdapter(ctx, engineID, adapter, engineSpec())).To(Succeed())
	holding := dispatcher.Holdings("notes")[0]
	g.Expect(holding.Busy).To(BeFalse())
	g.Expect(holding.Adapters).To(ConsistOf(adapter))
}

// TestSettlingWaitsForOrders plays a planned stop with an order on its way: the
// term is given up only after its answer, and nothing is sent later.
func TestSettlingWaitsForOrders(t *testing.T) {
	g := NewWithT(t)
	engine := newFakeEngine("a")
	var term atomic.Int64
	term.Store(2)
	begun, answered := make(chan struct{}, 1), make(chan struct{})
	dispatcher := newSlowDispatcher(engine, &term, func() {
		begun <- struct{}{}
		<-answered
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = dispatcher.LoadAdapter(context.Background(), engineID, adapter, engineSpec())
	}()
	<-begun
	hurried, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	g.Expect(dispatcher.WaitForOrders(hurried)).NotTo(Succeed())
	term.Store(0)
	close(answered)
	g.Expect(dispatcher.WaitForOrders(context.Background())).To(Succeed())
	<-done
	g.Expect(dispatcher.LoadAdapter(context.Background(), engineID, adapter, engineSpec())).NotTo(Succeed())
	g.Expect(engine.accepted).To(BeZero())
}
