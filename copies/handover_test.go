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

// slowEngine calls before between the first check of the term and the sending of an
// order. This simulates a connection that is being opened, or an instance that is frozen.
type slowEngine struct {
	*fakeEngine
	before func()
}

// Order implements [copies.EngineClient] as the real client does: it checks again whether
// the term is valid, and fails if ctx is done.
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

// newSlowDispatcher returns a dispatcher that has queried the engine's state and calls
// before for each order.
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

// TestNoOrderLeavesAfterItsTerm guards against orders sent after the end of the term, when
// the coordinator is frozen or waits for a connection after it has checked its term.
// Engines that check no fencing token would accept them beside its successor's orders.
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

// TestAnOrderOutlivesWhoAskedForIt checks that the answer to an order for an adapter is
// awaited although the caller has canceled its request. Otherwise the engine's state would
// be unknown and other requests would have to wait.
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

// TestSettlingWaitsForOrders checks that a planned stop waits for the answer to an order
// in flight, and that no order is sent after the end of the term.
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
