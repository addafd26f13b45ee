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

// The scenarios run on an engine that ignores epochs, so that nothing but the
// agents' own checks keeps the promise.

func scenario(t *testing.T, run func(g *WithT, world *world)) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, false)
		run(NewWithT(t), world)
		NewWithT(t).Expect(world.machine.Violations()).To(BeZero(), "memory overcommitted")
	})
}

// want gives agent a target of the world's items.
func (world *world) want(agent int, items ...int) {
	world.version++
	target := ledger.Target{Version: world.version, Role: engine.RoleMixed}
	for _, item := range items {
		target.Items = append(target.Items, worldItems[item])
	}
	world.agents[agent].ledger.SetTarget(target)
}

// untilQueued lets agent act until it is about to carry out a wanted action.
func (world *world) untilQueued(agent *fakeAgent, wanted func(ledger.Action) bool) {
	for range 100 {
		world.advance(worldTick)
		for len(agent.queue) > 0 {
			if wanted(agent.queue[0]) {
				return
			}
			action := agent.queue[0]
			agent.queue = agent.queue[1:]
			world.do(agent, action, true)
		}
	}
	world.t.Fatalf("%s never came to the action", agent.name)
}

func isLoad(action ledger.Action) bool {
	send, isSend := action.(ledger.SendOrder)
	if !isSend {
		return false
	}
	_, isLoad := send.Order.Action.(engine.LoadModel)
	return isLoad
}

// TestFrozenPredecessorSendsNothing wakes an agent whose order was decided, but
// not sent, before another agent took over and filled the memory.
func TestFrozenPredecessorSendsNothing(t *testing.T) {
	scenario(t, func(g *WithT, world *world) {
		world.want(0, 0)
		world.untilQueued(world.agents[0], isLoad)
		world.agents[0].frozen = true
		world.startAgent("")
		world.want(1, 1, 2, 4)
		world.settle(30 * time.Second)
		g.Expect(world.agents[1].ledger.Missing()).To(BeEmpty())
		world.agents[0].frozen = false
		world.drain(world.agents[0])
		world.settle(time.Second)
		g.Expect(world.agents[0].dead).To(BeTrue(), "the predecessor learns that it lost its engine")
	})
}

// TestFrozenPredecessorGeneratesNothing is the same for a generation.
func TestFrozenPredecessorGeneratesNothing(t *testing.T) {
	scenario(t, func(g *WithT, world *world) {
		world.want(0, 0)
		world.settle(10 * time.Second)
		first := world.agents[0]
		request := engine.Generation{Request: "r", Model: "a@1", Prompt: fmt.Sprintf("%*d", 200, 1), MaxTokens: 4}
		g.Expect(first.ledger.ReserveCache(world.now, request.Request, worldItems[0].Item, 54)).To(BeTrue())
		first.unsent = []engine.Generation{request}
		first.frozen = true
		world.startAgent("")
		world.want(1, 0, 1)
		world.settle(30 * time.Second)
		g.Expect(world.agents[1].ledger.Missing()).To(BeEmpty())
		first.frozen = false
		world.drain(first)
		world.settle(time.Second)
	})
}

const (
	// worldCut is until when the successor's orders are lost.
	worldCut = 8 * time.Second
	// worldBlind is until when the predecessor sees reports.
	worldBlind = worldCut + worldLag
)

// TestLateOrderOfPredecessor lets a predecessor without the service live on
// evidence, and an order of it arrive at the end of its lifetime.
func TestLateOrderOfPredecessor(t *testing.T) {
	scenario(t, func(g *WithT, world *world) {
		first := world.agents[0]
		world.want(0, 0)
		world.untilQueued(first, isLoad)
		load := first.queue[0]
		first.queue = first.queue[1:]
		world.startAgent("")
		world.want(1, 1, 2, 4)
		late := false
		for range 300 {
			world.now = world.now.Add(worldTick)
			world.expire()
			world.machine.Step(world.now)
			if world.now.Sub(worldStart) < worldBlind {
				world.give(first, ledger.Tick{})
				world.onlyReports(first)
			}
			world.give(world.agents[1], ledger.Tick{})
			if world.now.Sub(worldStart) < worldCut {
				world.drainWithoutOrders(world.agents[1])
			}
			world.drain(world.agents[1])
			order := load.(ledger.SendOrder).Order
			leaves := first.ledger.MaySend(world.now, order)
			if leaves {
				late = true
				world.flights = nil
				world.fly(func() { _, _ = world.machine.Order(world.now, order) })
			}
		}
		g.Expect(late).To(BeTrue())
		g.Expect(world.agents[1].ledger.Missing()).To(BeEmpty())
	})
}

// onlyReports lets agent ask for reports and do nothing else.
func (world *world) onlyReports(agent *fakeAgent) {
	for _, action := range agent.queue {
		if _, asks := action.(ledger.RequestReport); asks {
			report := world.machine.Report(world.now)
			agent.queue = nil
			world.give(agent, ledger.ReportReceived{RequestedAt: world.now, Report: report})
			agent.queue = nil
			return
		}
	}
	agent.queue = nil
}

// drainWithoutOrders lets agent act, and loses each of its orders.
func (world *world) drainWithoutOrders(agent *fakeAgent) {
	for len(agent.queue)+len(agent.replies) > 0 {
		for _, event := range agent.replies {
			world.give(agent, event)
		}
		agent.replies = nil
		actions := agent.queue
		agent.queue = nil
		for _, action := range actions {
			if send, isSend := action.(ledger.SendOrder); isSend {
				world.give(agent, ledger.OrderUnanswered(send))
				continue
			}
			world.do(agent, action, true)
		}
	}
}

// TestFreeOnlyAfterFollowingReport unloads one model for another while reports
// lag: neither the answer to the unload nor an older report frees its memory.
func TestFreeOnlyAfterFollowingReport(t *testing.T) {
	scenario(t, func(g *WithT, world *world) {
		world.want(0, 0, 2)
		world.settle(10 * time.Second)
		before := world.machine.Report(world.now)
		before.Resident = nil
		world.want(0, 1, 2)
		world.untilQueued(world.agents[0], func(action ledger.Action) bool {
			send, isSend := action.(ledger.SendOrder)
			if !isSend {
				return false
			}
			_, isUnload := send.Order.Action.(engine.UnloadModel)
			return isUnload
		})
		order := world.agents[0].queue[0].(ledger.SendOrder).Order
		world.agents[0].queue = nil
		world.give(world.agents[0], ledger.OrderAcknowledged{Order: order})
		world.give(world.agents[0], ledger.ReportReceived{RequestedAt: world.now, Report: before})
		world.drain(world.agents[0])
		world.settle(10 * time.Second)
		g.Expect(world.agents[0].ledger.Missing()).To(BeEmpty())
	})
}

// TestOutage holds the service down: orders inside the record's envelope leave,
// others wait.
func TestOutage(t *testing.T) {
	scenario(t, func(g *WithT, world *world) {
		world.want(0, 0)
		world.settle(10 * time.Second)
		world.down = true
		world.want(0, 0, 2)
		world.machine.Crash(world.now)
		world.settle(60 * time.Second)
		g.Expect(world.agents[0].ledger.Missing()).To(Equal([]ledger.Item{worldItems[2].Item}))
		world.down = false
		world.settle(30 * time.Second)
		g.Expect(world.agents[0].ledger.Missing()).To(BeEmpty())
	})
}

// TestRestartAtTheSameAddress shows what holding the address saves.
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
			scenario(t, func(g *WithT, world *world) {
				world.kill(world.agents[0])
				world.startAgent(table.first)
				world.want(1, 0)
				world.settle(20 * time.Second)
				world.kill(world.agents[1])
				world.startAgent(table.second)
				world.want(2, 0)
				world.settle(table.within)
				last := world.agents[2].ledger
				g.Expect(last.ReserveCache(world.now, names.Request("r"), worldItems[0].Item, 10)).To(Equal(table.serves))
			})
		})
	}
}

// TestReleasedRecordNeedsNoWait ends an agent by plan.
func TestReleasedRecordNeedsNoWait(t *testing.T) {
	scenario(t, func(g *WithT, world *world) {
		first := world.agents[0]
		world.want(0, 0)
		world.settle(10 * time.Second)
		first.queue = append(first.queue, first.ledger.Release(world.now)...)
		world.settle(time.Second)
		g.Expect(first.ledger.Ended()).To(BeTrue())
		world.startAgent("")
		world.want(1, 0)
		world.settle(5 * time.Second)
		g.Expect(world.agents[1].ledger.Missing()).To(BeEmpty())
		g.Expect(world.agents[1].ledger.ReserveCache(world.now, "r", worldItems[0].Item, 10)).To(BeTrue())
	})
}

// TestSecondCopyOfLoad delivers a copy of a load at the end of its lifetime,
// after the model was unloaded for another.
func TestSecondCopyOfLoad(t *testing.T) {
	scenario(t, func(g *WithT, world *world) {
		world.machine.SetFaults(stand.EngineFaults{ReportLag: time.Nanosecond})
		world.want(0, 0)
		world.untilQueued(world.agents[0], isLoad)
		order := world.agents[0].queue[0].(ledger.SendOrder).Order
		world.drain(world.agents[0])
		world.fly(func() { _, _ = world.machine.Order(world.now, order) })
		world.want(0, 1, 2)
		world.settle(10 * time.Second)
		g.Expect(world.agents[0].ledger.Missing()).To(BeEmpty())
	})
}

// TestGenerationAfterItsCancellation delivers a generation that was given up,
// after the engine answered its cancellation.
func TestGenerationAfterItsCancellation(t *testing.T) {
	scenario(t, func(g *WithT, world *world) {
		world.want(0, 0)
		world.settle(10 * time.Second)
		agent, item := world.agents[0], worldItems[0].Item
		generation := func(request names.Request) engine.Generation {
			return engine.Generation{Request: request, Model: item.Model, Prompt: fmt.Sprintf("%*d", 200, 1), MaxTokens: 4}
		}
		g.Expect(agent.ledger.ReserveCache(world.now, "first", item, 54)).To(BeTrue())
		world.fly(func() { _ = world.machine.Start(world.now, generation("first")) })
		agent.ledger.AbandonCache(world.now, "first")
		world.settle(8 * worldTick)
		if agent.ledger.ReserveCache(world.now, "second", item, 54) {
			_ = world.machine.Start(world.now, generation("second"))
		}
		world.settle(5 * time.Second)
		g.Expect(agent.ledger.ReserveCache(world.now, "third", item, 54)).To(BeTrue(), "the cache is free in the end")
	})
}

// TestWriteThatLandsLate lets a write take effect after it was read back as not
// done: what it does not name must not be loaded on the older record's word.
func TestWriteThatLandsLate(t *testing.T) {
	scenario(t, func(g *WithT, world *world) {
		agent := world.agents[0]
		world.want(0, 4)
		world.settle(10 * time.Second)
		world.want(0)
		world.settle(10 * time.Second)
		g.Expect(agent.ledger.Reserved()).To(BeEmpty())
		world.want(0, 2)
		world.untilQueued(agent, func(action ledger.Action) bool {
			_, writes := action.(ledger.WriteRecord)
			return writes
		})
		late := agent.queue[0].(ledger.WriteRecord)
		agent.queue = agent.queue[1:]
		world.want(0, 4)
		world.give(agent, ledger.RecordWriteFailed{Record: late.Record})
		world.drain(agent)
		world.swap(late)
		world.settle(10 * time.Second)
		world.machine.Crash(world.now)
		world.settle(10 * time.Second)
		g.Expect(agent.ledger.Missing()).To(BeEmpty())
	})
}

// TestStaleReportReservesTooMuch gives a successor a report from before the
// last moves of its predecessor.
func TestStaleReportReservesTooMuch(t *testing.T) {
	scenario(t, func(g *WithT, world *world) {
		world.want(0, 4)
		world.settle(5 * time.Second)
		world.down = true
		world.startAgent("")
		world.settle(time.Second)
		world.down = false
		world.agents[1].frozen = true
		world.want(0, 0, 1)
		world.settle(5 * time.Second)
		g.Expect(world.agents[0].ledger.Missing()).To(BeEmpty())
		world.want(1, 0, 4)
		world.agents[1].frozen = false
		world.settle(20 * time.Second)
		g.Expect(world.agents[1].ledger.Missing()).To(BeEmpty())
	})
}

// TestMoveCutsNoGeneration replaces a model under a generation.
func TestMoveCutsNoGeneration(t *testing.T) {
	scenario(t, func(g *WithT, world *world) {
		world.want(0, 0)
		world.settle(10 * time.Second)
		agent, item := world.agents[0], worldItems[0].Item
		g.Expect(agent.ledger.ReserveCache(world.now, "r", item, 50)).To(BeTrue())
		generation := engine.Generation{Request: "r", Model: item.Model, Prompt: "a", MaxTokens: 49}
		g.Expect(world.machine.Start(world.now, generation)).To(Succeed())
		agent.streams["r"] = true
		world.want(0, 1)
		world.settle(20 * time.Second)
		g.Expect(agent.ledger.Missing()).To(BeEmpty())
		g.Expect(world.cut).To(BeZero())
	})
}

// TestSteadyStateNeedsNoService counts calls on the service while nothing moves.
func TestSteadyStateNeedsNoService(t *testing.T) {
	scenario(t, func(g *WithT, world *world) {
		world.want(0, 0)
		world.settle(10 * time.Second)
		world.calls = 0
		world.settle(time.Minute)
		g.Expect(world.calls).To(BeZero())
	})
}
