package ledger_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/proof"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

var fencingModes = []struct {
	name    string
	fencing bool
}{
	{"engine refuses old epochs", true},
	{"engine ignores epochs", false},
}

// TestMemoryIsNeverOvercommitted runs agents with random faults against a
// simulated engine, and fails if the engine's actual memory use ever exceeds its
// memory.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	for _, table := range fencingModes {
		t.Run(table.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				simulation := newSimulation(t, table.fencing)
				simulation.settle(3 * time.Second)
				t.Repeat(simulation.actions())
			})
		})
	}
}

// actions returns the steps of a random run. Those that make progress are listed
// four times each, so that they are drawn more often than faults.
func (simulation *simulation) actions() map[string]func(*rapid.T) {
	actions := simulation.faults()
	for i := range 4 {
		name := strconv.Itoa(i)
		actions["act "+name] = func(*rapid.T) { simulation.repeat(func() { simulation.executeOne(simulation.pickAgent()) }) }
		actions["reply "+name] = func(*rapid.T) { simulation.repeat(func() { simulation.deliverReply(simulation.pickAgent()) }) }
		actions["generate "+name] = func(*rapid.T) { simulation.repeat(func() { simulation.generate(simulation.pickAgent()) }) }
		actions["target "+name] = func(*rapid.T) { simulation.pickAgent().ledger.SetTarget(simulation.drawTarget()) }
		actions["settle "+name] = func(t *rapid.T) {
			simulation.settle(simTick * time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")))
		}
		actions["advance "+name] = func(t *rapid.T) {
			simulation.advance(simTick * time.Duration(rapid.IntRange(1, 12).Draw(t, "ticks")))
		}
	}
	return actions
}

func (simulation *simulation) repeat(once func()) {
	for range rapid.IntRange(1, 6).Draw(simulation.t, "times") {
		once()
	}
}

func (simulation *simulation) faults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if simulation.machine.Violations() > 0 {
				t.Fatalf("memory overcommitted: used up to %d of %d", simulation.machine.PeakBytes(), simMemoryBytes)
			}
		},
		"deliver": func(t *rapid.T) {
			if len(simulation.messages) == 0 {
				t.Skip("no message in transit")
			}
			rapid.SampledFrom(simulation.messages).Draw(t, "flight").deliver()
		},
		"write lands": func(t *rapid.T) {
			if len(simulation.lateWrites) == 0 {
				t.Skip("no late write")
			}
			rapid.SampledFrom(simulation.lateWrites).Draw(t, "write")()
		},
		"store":        func(*rapid.T) { simulation.storeDown = !simulation.storeDown },
		"engine crash": func(*rapid.T) { simulation.machine.Crash(simulation.now) },
		"agent crash":  func(*rapid.T) { simulation.kill(simulation.pickAgent()) },
		"freeze":       func(*rapid.T) { simulation.pickAgent().frozen = true },
		"freeze and replace": func(t *rapid.T) {
			if len(simulation.agents) > 6 {
				t.Skip("enough agents")
			}
			simulation.pickAgent().frozen = true
			simulation.startAgent("")
		},
		"successor": func(t *rapid.T) {
			if len(simulation.agents) > 6 {
				t.Skip("enough agents")
			}
			simulation.startAgent("")
		},
		"thaw": func(t *rapid.T) {
			agent := rapid.SampledFrom(simulation.agents).Draw(t, "agent")
			agent.frozen = false
		},
	}
}

func (simulation *simulation) executeOne(agent *fakeAgent) {
	if len(agent.queue) == 0 {
		return
	}
	i := rapid.IntRange(0, len(agent.queue)-1).Draw(simulation.t, "action")
	action := agent.queue[i]
	agent.queue = append(agent.queue[:i:i], agent.queue[i+1:]...)
	simulation.execute(agent, action, false)
}

func (simulation *simulation) deliverReply(agent *fakeAgent) {
	if len(agent.replies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(agent.replies)-1).Draw(simulation.t, "answer")
	event := agent.replies[i]
	agent.replies = append(agent.replies[:i:i], agent.replies[i+1:]...)
	simulation.step(agent, event)
}

// TestTargetIsReached checks liveness: after any sequence of faults, exactly one
// agent holds the engine and reaches its target once the faults have ended.
func TestTargetIsReached(t *testing.T) {
	for _, table := range fencingModes {
		t.Run(table.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				simulation := newSimulation(t, table.fencing)
				t.Repeat(simulation.actions())
				simulation.storeDown = false
				for _, agent := range simulation.agents {
					agent.frozen = false
				}
				simulation.settle(5 * time.Second)
				if len(simulation.running()) == 0 {
					simulation.startAgent("")
				}
				simulation.settle(30 * time.Second)
				var holding int
				for _, agent := range simulation.running() {
					if missing := agent.ledger.Missing(); len(missing) > 0 {
						t.Fatalf("%s is missing %v of its target, reserved %v", agent.name, missing, agent.ledger.Reserved())
					}
					holding++
				}
				if holding != 1 {
					t.Fatalf("%d agents hold the engine", holding)
				}
			})
		})
	}
}

func TestRecordRoundTrip(t *testing.T) {
	g := NewWithT(t)
	record := ledger.Record{
		Epoch: 3, Holder: "agent-1", Address: "127.0.0.1:1", Change: 2, Released: true,
		Envelope: []ledger.Weights{{Item: ledger.Item{Model: "a@1", Adapter: "x"}, Bytes: 5}},
	}
	data, err := ledger.EncodeRecord(record)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := ledger.DecodeRecord(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(record))
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"epoch":1,"envelope":[{"model":"a"}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = ledger.DecodeRecord(data) })
}
