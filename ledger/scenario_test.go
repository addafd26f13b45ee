package ledger_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/stand"
)

// scenario runs a test on an engine that ignores epochs, so that only the agents'
// own checks prevent overcommitted memory.
func scenario(t *testing.T, run func(g *WithT, simulation *simulation)) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, false)
		run(NewWithT(t), simulation)
		NewWithT(t).Expect(simulation.machine.Violations()).To(BeZero(), "memory overcommitted")
	})
}

// setTarget sets the target of an agent to some of simItems; both are given by
// their indexes.
func (simulation *simulation) setTarget(agent int, items ...int) {
	simulation.targetVersion++
	target := ledger.Target{Version: simulation.targetVersion, Role: engine.RoleMixed}
	for _, item := range items {
		target.Items = append(target.Items, simItems[item])
	}
	simulation.agents[agent].ledger.SetTarget(target)
}

// runUntilQueued runs agent until the next action in its queue matches.
func (simulation *simulation) runUntilQueued(agent *fakeAgent, matches func(ledger.Action) bool) {
	for range 100 {
		simulation.advance(simTick)
		for len(agent.queue) > 0 {
			if matches(agent.queue[0]) {
				return
			}
			action := agent.queue[0]
			agent.queue = agent.queue[1:]
			simulation.execute(agent, action, true)
		}
	}
	simulation.t.Fatalf("%s never emitted the expected action", agent.name)
}

func isLoad(action ledger.Action) bool {
	send, isSend := action.(ledger.SendOrder)
	if !isSend {
		return false
	}
	_, isLoad := send.Order.Action.(engine.LoadModel)
	return isLoad
}

// TestFrozenPredecessorSendsNothing guards against a late order of an agent that
// was frozen after it had emitted the order and before it sent it. It resumes
// after another agent has taken over and filled the memory.
func TestFrozenPredecessorSendsNothing(t *testing.T) {
	scenario(t, func(g *WithT, simulation *simulation) {
		simulation.setTarget(0, 0)
		simulation.runUntilQueued(simulation.agents[0], isLoad)
		simulation.agents[0].frozen = true
		simulation.startAgent("")
		simulation.setTarget(1, 1, 2, 4)
		simulation.settle(30 * time.Second)
		g.Expect(simulation.agents[1].ledger.Missing()).To(BeEmpty())
		simulation.agents[0].frozen = false
		simulation.drain(simulation.agents[0])
		simulation.settle(time.Second)
		g.Expect(simulation.agents[0].dead).To(BeTrue(), "the predecessor learns that it lost its engine")
	})
}

// TestFrozenPredecessorGeneratesNothing is like
// [TestFrozenPredecessorSendsNothing] for a generation.
func TestFrozenPredecessorGeneratesNothing(t *testing.T) {
	scenario(t, func(g *WithT, simulation *simulation) {
		simulation.setTarget(0, 0)
		simulation.settle(10 * time.Second)
		first := simulation.agents[0]
		request := engine.Generation{Request: "r", Model: "a@1", Prompt: fmt.Sprintf("%*d", 200, 1), MaxTokens: 4}
		g.Expect(first.ledger.ReserveCache(simulation.now, request.Request, simItems[0].Item, 54)).To(BeTrue())
		first.unsent = []engine.Generation{request}
		first.frozen = true
		simulation.startAgent("")
		simulation.setTarget(1, 0, 1)
		simulation.settle(30 * time.Second)
		g.Expect(simulation.agents[1].ledger.Missing()).To(BeEmpty())
		first.frozen = false
		simulation.drain(first)
		simulation.settle(time.Second)
	})
}

const (
	// ordersLostFor is how long the successor's orders are lost.
	ordersLostFor = 8 * time.Second
	// reportsSeenFor is how long the predecessor receives reports.
	reportsSeenFor = ordersLostFor + simReportLag
)

// TestLateOrderOfPredecessor guards against overcommitted memory through a late
// order of a predecessor. The predecessor cannot reach the store and keeps its
// permission through the engine's reports; its order arrives at the end of the
// order lifetime.
func TestLateOrderOfPredecessor(t *testing.T) {
	scenario(t, func(g *WithT, simulation *simulation) {
		first := simulation.agents[0]
		simulation.setTarget(0, 0)
		simulation.runUntilQueued(first, isLoad)
		load := first.queue[0]
		first.queue = first.queue[1:]
		simulation.startAgent("")
		simulation.setTarget(1, 1, 2, 4)
		sentLate := false
		for range 300 {
			simulation.now = simulation.now.Add(simTick)
			simulation.deliverDue()
			simulation.machine.Step(simulation.now)
			if simulation.now.Sub(simStart) < reportsSeenFor {
				simulation.step(first, ledger.Tick{})
				simulation.processReports(first)
			}
			simulation.step(simulation.agents[1], ledger.Tick{})
			if simulation.now.Sub(simStart) < ordersLostFor {
				simulation.drainWithoutOrders(simulation.agents[1])
			}
			simulation.drain(simulation.agents[1])
			order := load.(ledger.SendOrder).Order
			maySend := first.ledger.MaySend(simulation.now, order)
			if maySend {
				sentLate = true
				simulation.messages = nil
				simulation.sendLate(func() { _, _ = simulation.machine.ApplyOrder(simulation.now, order) })
			}
		}
		g.Expect(sentLate).To(BeTrue())
		g.Expect(simulation.agents[1].ledger.Missing()).To(BeEmpty())
	})
}

// processReports lets agent request reports and drops its other actions.
func (simulation *simulation) processReports(agent *fakeAgent) {
	for _, action := range agent.queue {
		if _, isRequest := action.(ledger.RequestReport); isRequest {
			report := simulation.machine.Report(simulation.now)
			agent.queue = nil
			simulation.step(agent, ledger.ReportReceived{RequestedAt: simulation.now, Report: report})
			agent.queue = nil
			return
		}
	}
	agent.queue = nil
}

// drainWithoutOrders executes the actions of agent, but loses each of its orders.
func (simulation *simulation) drainWithoutOrders(agent *fakeAgent) {
	for len(agent.queue)+len(agent.replies) > 0 {
		for _, event := range agent.replies {
			simulation.step(agent, event)
		}
		agent.replies = nil
		actions := agent.queue
		agent.queue = nil
		for _, action := range actions {
			if send, isSend := action.(ledger.SendOrder); isSend {
				simulation.step(agent, ledger.OrderUnanswered(send))
				continue
			}
			simulation.execute(agent, action, true)
		}
	}
}

// TestFreeOnlyAfterFollowingReport guards against memory that is freed too early.
// While reports lag, an agent replaces one model with another: neither the
// acknowledged unload nor a report from before it frees the memory.
func TestFreeOnlyAfterFollowingReport(t *testing.T) {
	scenario(t, func(g *WithT, simulation *simulation) {
		simulation.setTarget(0, 0, 2)
		simulation.settle(10 * time.Second)
		before := simulation.machine.Report(simulation.now)
		before.Resident = nil
		simulation.setTarget(0, 1, 2)
		simulation.runUntilQueued(simulation.agents[0], func(action ledger.Action) bool {
			send, isSend := action.(ledger.SendOrder)
			if !isSend {
				return false
			}
			_, isUnload := send.Order.Action.(engine.UnloadModel)
			return isUnload
		})
		order := simulation.agents[0].queue[0].(ledger.SendOrder).Order
		simulation.agents[0].queue = nil
		simulation.step(simulation.agents[0], ledger.OrderAcknowledged{Order: order})
		simulation.step(simulation.agents[0], ledger.ReportReceived{RequestedAt: simulation.now, Report: before})
		simulation.drain(simulation.agents[0])
		simulation.settle(10 * time.Second)
		g.Expect(simulation.agents[0].ledger.Missing()).To(BeEmpty())
	})
}

// TestOutage checks that during an outage of the store an agent sends the loads
// that its record names, and no others until the store is back.
func TestOutage(t *testing.T) {
	scenario(t, func(g *WithT, simulation *simulation) {
		simulation.setTarget(0, 0)
		simulation.settle(10 * time.Second)
		simulation.storeDown = true
		simulation.setTarget(0, 0, 2)
		simulation.machine.Crash(simulation.now)
		simulation.settle(60 * time.Second)
		g.Expect(simulation.agents[0].ledger.Missing()).To(Equal([]ledger.Item{simItems[2].Item}))
		simulation.storeDown = false
		simulation.settle(30 * time.Second)
		g.Expect(simulation.agents[0].ledger.Missing()).To(BeEmpty())
	})
}

// TestRestartAtTheSameAddress checks that an agent that is bound to its
// predecessor's address does not wait for that one's permission to expire.
func TestRestartAtTheSameAddress(t *testing.T) {
	tables := []struct {
		name, first, second string
		within              time.Duration
		serves              bool
	}{
		{"same address", "a", "a", 5 * time.Second, true},
		{"other address", "a", "b", 5 * time.Second, false},
		{"other address, later", "a", "b", 15 * time.Second, true},
	}
	for _, table := range tables {
		t.Run(table.name, func(t *testing.T) {
			scenario(t, func(g *WithT, simulation *simulation) {
				simulation.kill(simulation.agents[0])
				simulation.startAgent(table.first)
				simulation.setTarget(1, 0)
				simulation.settle(20 * time.Second)
				simulation.kill(simulation.agents[1])
				simulation.startAgent(table.second)
				simulation.setTarget(2, 0)
				simulation.settle(table.within)
				last := simulation.agents[2].ledger
				g.Expect(last.ReserveCache(simulation.now, names.Request("r"), simItems[0].Item, 10)).To(Equal(table.serves))
			})
		})
	}
}

// TestReleasedRecordNeedsNoWait checks that a successor does not wait for the
// permission of an agent that released its record in a planned stop.
func TestReleasedRecordNeedsNoWait(t *testing.T) {
	scenario(t, func(g *WithT, simulation *simulation) {
		first := simulation.agents[0]
		simulation.setTarget(0, 0)
		simulation.settle(10 * time.Second)
		first.queue = append(first.queue, first.ledger.Release(simulation.now)...)
		simulation.settle(time.Second)
		g.Expect(first.ledger.Ended()).To(BeTrue())
		simulation.startAgent("")
		simulation.setTarget(1, 0)
		simulation.settle(5 * time.Second)
		g.Expect(simulation.agents[1].ledger.Missing()).To(BeEmpty())
		g.Expect(simulation.agents[1].ledger.ReserveCache(simulation.now, "r", simItems[0].Item, 10)).To(BeTrue())
	})
}

// TestSecondCopyOfLoad guards against overcommitted memory through a duplicate of a
// load that arrives at the end of the order lifetime, after the model was unloaded
// to make room for another.
func TestSecondCopyOfLoad(t *testing.T) {
	scenario(t, func(g *WithT, simulation *simulation) {
		simulation.machine.SetFaults(stand.EngineFaults{ReportLag: time.Nanosecond})
		simulation.setTarget(0, 0)
		simulation.runUntilQueued(simulation.agents[0], isLoad)
		order := simulation.agents[0].queue[0].(ledger.SendOrder).Order
		simulation.drain(simulation.agents[0])
		simulation.sendLate(func() { _, _ = simulation.machine.ApplyOrder(simulation.now, order) })
		simulation.setTarget(0, 1, 2)
		simulation.settle(10 * time.Second)
		g.Expect(simulation.agents[0].ledger.Missing()).To(BeEmpty())
	})
}

// TestGenerationAfterItsCancellation guards against KV cache that is freed too
// early: a generation that was abandoned arrives after the engine has acknowledged
// its cancellation.
func TestGenerationAfterItsCancellation(t *testing.T) {
	scenario(t, func(g *WithT, simulation *simulation) {
		simulation.setTarget(0, 0)
		simulation.settle(10 * time.Second)
		agent, item := simulation.agents[0], simItems[0].Item
		generation := func(request names.Request) engine.Generation {
			return engine.Generation{Request: request, Model: item.Model, Prompt: fmt.Sprintf("%*d", 200, 1), MaxTokens: 4}
		}
		g.Expect(agent.ledger.ReserveCache(simulation.now, "first", item, 54)).To(BeTrue())
		simulation.sendLate(func() { _ = simulation.machine.Start(simulation.now, generation("first")) })
		agent.ledger.AbandonCache(simulation.now, "first")
		simulation.settle(8 * simTick)
		if agent.ledger.ReserveCache(simulation.now, "second", item, 54) {
			_ = simulation.machine.Start(simulation.now, generation("second"))
		}
		simulation.settle(5 * time.Second)
		g.Expect(agent.ledger.ReserveCache(simulation.now, "third", item, 54)).To(BeTrue(), "the KV cache is freed eventually")
	})
}

// TestWriteThatLandsLate guards against loads that the record does not name. A
// write can take effect after a read that did not show it, and replace the record
// that was read. Items that only this record names must not be loaded.
func TestWriteThatLandsLate(t *testing.T) {
	scenario(t, func(g *WithT, simulation *simulation) {
		agent := simulation.agents[0]
		simulation.setTarget(0, 4)
		simulation.settle(10 * time.Second)
		simulation.setTarget(0)
		simulation.settle(10 * time.Second)
		g.Expect(agent.ledger.Reserved()).To(BeEmpty())
		simulation.setTarget(0, 2)
		simulation.runUntilQueued(agent, func(action ledger.Action) bool {
			_, writes := action.(ledger.WriteRecord)
			return writes
		})
		late := agent.queue[0].(ledger.WriteRecord)
		agent.queue = agent.queue[1:]
		simulation.setTarget(0, 4)
		simulation.step(agent, ledger.RecordWriteFailed{Record: late.Record})
		simulation.drain(agent)
		simulation.swap(late)
		simulation.settle(10 * time.Second)
		simulation.machine.Crash(simulation.now)
		simulation.settle(10 * time.Second)
		g.Expect(agent.ledger.Missing()).To(BeEmpty())
	})
}

// TestStaleReportReservesTooMuch checks that a successor reaches its target if a
// report from before its predecessor's last loads and unloads makes it reserve more
// than the memory.
func TestStaleReportReservesTooMuch(t *testing.T) {
	scenario(t, func(g *WithT, simulation *simulation) {
		simulation.setTarget(0, 4)
		simulation.settle(5 * time.Second)
		simulation.storeDown = true
		simulation.startAgent("")
		simulation.settle(time.Second)
		simulation.storeDown = false
		simulation.agents[1].frozen = true
		simulation.setTarget(0, 0, 1)
		simulation.settle(5 * time.Second)
		g.Expect(simulation.agents[0].ledger.Missing()).To(BeEmpty())
		simulation.setTarget(1, 0, 4)
		simulation.agents[1].frozen = false
		simulation.settle(20 * time.Second)
		g.Expect(simulation.agents[1].ledger.Missing()).To(BeEmpty())
	})
}

// TestMoveCutsNoGeneration checks that a model that is replaced by another stays
// resident until its generation has ended.
func TestMoveCutsNoGeneration(t *testing.T) {
	scenario(t, func(g *WithT, simulation *simulation) {
		simulation.setTarget(0, 0)
		simulation.settle(10 * time.Second)
		agent, item := simulation.agents[0], simItems[0].Item
		g.Expect(agent.ledger.ReserveCache(simulation.now, "r", item, 50)).To(BeTrue())
		generation := engine.Generation{Request: "r", Model: item.Model, Prompt: "a", MaxTokens: 49}
		g.Expect(simulation.machine.Start(simulation.now, generation)).To(Succeed())
		agent.streams["r"] = true
		simulation.setTarget(0, 1)
		simulation.settle(20 * time.Second)
		g.Expect(agent.ledger.Missing()).To(BeEmpty())
		g.Expect(simulation.interrupted).To(BeZero())
	})
}

// TestSteadyStateNeedsNoService checks that an agent neither reads nor writes its
// record while its target is reached and does not change.
func TestSteadyStateNeedsNoService(t *testing.T) {
	scenario(t, func(g *WithT, simulation *simulation) {
		simulation.setTarget(0, 0)
		simulation.settle(10 * time.Second)
		simulation.storeCalls = 0
		simulation.settle(time.Minute)
		g.Expect(simulation.storeCalls).To(BeZero())
	})
}
