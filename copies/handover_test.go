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

// Order implements [copies.Engine] as an adapter does: it asks once more whether
// the order is current, and breaks off with ctx.
func (engine *slowEngine) Order(ctx context.Context, sending copies.Sending) (copies.Verdict, error) {
	engine.before()
	if !sending.Current() {
		return copies.VerdictUnsent, errNoAnswer
	}
	verdict, err := engine.fakeEngine.Order(ctx, sending)
	if ctx.Err() != nil {
		return copies.VerdictUnknown, ctx.Err()
	}
	return verdict, err
}

// slow returns a keeper that knows its engine; what it orders waits for before.
func slow(engine *fakeEngine, term *atomic.Int64, before func()) *copies.Keeper {
	keeper := copies.NewKeeper(copies.KeeperConfig{
		Engine: &slowEngine{fakeEngine: engine, before: before}, Clock: clock.NewService(clock.ServiceConfig{Clock: engine.clock}),
		Log: quiet(), Holder: "entry", Term: term.Load,
	})
	keeper.Sync(listed("a"), epoch)
	for range 3 {
		keeper.Learn(context.Background(), "notes")
		keeper.Wait()
	}
	return keeper
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
	keeper := slow(engine, &term, func() { term.Store(0) })
	g.Expect(keeper.Adapter(context.Background(), engineID, adapter, engineSpec())).NotTo(Succeed())
	g.Expect(engine.accepted).To(BeZero())
	keeper.Begin(context.Background(), copies.Step{Server: engineID, Load: "b"}, engineSpec())
	keeper.Wait()
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
	keeper := slow(engine, &term, cancel)
	g.Expect(keeper.Adapter(ctx, engineID, adapter, engineSpec())).To(Succeed())
	holding := keeper.Holdings("notes")[0]
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
	keeper := slow(engine, &term, func() {
		begun <- struct{}{}
		<-answered
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = keeper.Adapter(context.Background(), engineID, adapter, engineSpec())
	}()
	<-begun
	hurried, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	g.Expect(keeper.Settle(hurried)).NotTo(Succeed())
	term.Store(0)
	close(answered)
	g.Expect(keeper.Settle(context.Background())).To(Succeed())
	<-done
	g.Expect(keeper.Adapter(context.Background(), engineID, adapter, engineSpec())).NotTo(Succeed())
	g.Expect(engine.accepted).To(BeZero())
}
