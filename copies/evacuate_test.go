package copies_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// TestEvacuatedEnginesGetNoOrders guards against orders and report requests to engines of
// an evacuated failure domain, and against copies there that count as usable. The orders
// are under way when the evacuation begins.
func TestEvacuatedEnginesGetNoOrders(t *testing.T) {
	g := NewWithT(t)
	engine := newFakeEngine("a")
	evacuated := &atomic.Bool{}
	dispatcher := copies.NewDispatcher(copies.DispatcherConfig{
		Engines: engine, Clock: clock.NewService(clock.ServiceConfig{Clock: engine.clock}), Log: discardLogger(), Holder: "entry",
		Term: func() int64 { return 2 }, Evacuated: func(domain names.FailureDomain) bool { return domain == "z" && evacuated.Load() },
	})
	servers := serversWith("a")
	servers[0].Domain = "z"
	dispatcher.SyncRegistry(servers, epoch)
	query := func() {
		for range 3 {
			dispatcher.QueryUnknown(context.Background(), "notes")
			dispatcher.Wait()
		}
	}
	query()
	g.Expect(dispatcher.States("notes")[0].Blocked).To(BeFalse())
	orders := 0
	engine.fate = func() fate {
		orders++
		evacuated.Store(orders == 2)
		return fateLost
	}
	dispatcher.StartStep(context.Background(), copies.Step{Server: engineID, Load: "c"}, engineSpec())
	dispatcher.Wait()
	g.Expect(orders).To(Equal(2), "the load is not sent again")
	reports := engine.reports
	query()
	g.Expect(dispatcher.LoadAdapter(context.Background(), engineID, pool.Adapter{Model: "a", Name: "a1"}, engineSpec())).NotTo(Succeed())
	g.Expect([]int{orders, engine.reports}).To(Equal([]int{2, reports}))
	g.Expect(dispatcher.States("notes")[0].Draining).To(BeTrue())
	evacuated.Store(false)
	query()
	g.Expect(engine.reports).To(BeNumerically(">", reports))
	state := dispatcher.States("notes")[0]
	g.Expect([]bool{state.Draining, state.Blocked}).To(Equal([]bool{false, false}))
}

// TestLastCopiesAreLoadedBeforeOthers guards against models without a usable copy that wait
// behind further copies of others when the domain that held them is evacuated.
func TestLastCopiesAreLoadedBeforeOthers(t *testing.T) {
	g := NewWithT(t)
	engines := enginesWith([]names.Model{"a"}, []names.Model{"c"}, nil)
	engines[1].Draining = true
	demand := map[names.Model]copies.Demand{"a": {Work: 3}, "c": {Work: 0.1}}
	steps := newPlanner().Plan(copies.PlanInput{Engine: engineSpec(), Engines: engines, Demand: demand, Now: epoch.Add(time.Minute)})
	g.Expect(steps).NotTo(BeEmpty())
	g.Expect(steps[0]).To(Equal(copies.Step{Server: "engine-2", Load: "c", FromStore: true}))
	for _, step := range steps {
		g.Expect(step.Server).NotTo(Equal(names.BackendServer("engine-1")))
	}
}
