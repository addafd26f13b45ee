package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/stand"
)

// benchAgent is a ledger whose engine has models and adapters resident. Its store
// and engine always answer at once.
type benchAgent struct {
	now     time.Time
	ledger  *ledger.Ledger
	machine *stand.EngineMachine
	record  ledger.Record
	writes  int
	orders  int
}

func newBenchAgent(adapters int) *benchAgent {
	agent := &benchAgent{now: simStart}
	agent.machine = stand.NewEngineMachine(stand.EngineConfig{MemoryBytes: 1 << 30}, agent.now)
	agent.ledger = ledger.New(ledger.Config{Instance: "agent", MemoryBytes: 1 << 30})
	agent.ledger.SetTarget(benchTarget(1, adapters, 0))
	agent.settle()
	return agent
}

func benchTarget(version int64, adapters, variant int) ledger.Target {
	target := ledger.Target{Version: version, Role: engine.RoleMixed}
	for i := range 4 {
		model := names.Model(fmt.Sprintf("model-%d@%d", i, variant*min(i, 1)))
		target.Items = append(target.Items, ledger.Weights{Item: ledger.Item{Model: model}, Bytes: 1 << 27})
		for j := range adapters {
			adapter := names.Adapter(fmt.Sprintf("adapter-%d", j))
			target.Items = append(target.Items, ledger.Weights{Item: ledger.Item{Model: model, Adapter: adapter}, Bytes: 1 << 10})
		}
	}
	return target
}

func (agent *benchAgent) settle() {
	for done := 0; done < 3; {
		agent.now = agent.now.Add(200 * time.Millisecond)
		agent.machine.Step(agent.now)
		agent.run(agent.ledger.Step(agent.now, ledger.Tick{}))
		if len(agent.ledger.Missing()) == 0 {
			done++
		}
	}
}

func (agent *benchAgent) run(actions []ledger.Action) {
	for _, action := range actions {
		var event ledger.Event
		switch action := action.(type) {
		case ledger.ReadRecord:
			event = ledger.RecordRead{RequestedAt: agent.now}
		case ledger.WriteRecord:
			agent.writes++
			agent.record = action.Record
			event = ledger.RecordWritten{RequestedAt: agent.now, Record: action.Record, Revision: action.Expected + 1}
		case ledger.SendOrder:
			agent.orders++
			if _, err := agent.machine.ApplyOrder(agent.now, action.Order); err != nil {
				panic(err)
			}
			event = ledger.OrderAcknowledged(action)
		case ledger.RequestReport:
			event = ledger.ReportReceived{RequestedAt: agent.now, Report: agent.machine.Report(agent.now)}
		default:
			continue
		}
		agent.run(agent.ledger.Step(agent.now, event))
	}
}

var benchSizes = []int{0, 8, 32}

func benchName(adapters int) string { return fmt.Sprintf("items=%d", 4*(1+adapters)) }

func BenchmarkTick(b *testing.B) {
	for _, adapters := range benchSizes {
		b.Run(benchName(adapters), func(b *testing.B) {
			agent := newBenchAgent(adapters)
			b.ReportAllocs()
			for b.Loop() {
				agent.ledger.Step(agent.now, ledger.Tick{})
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	for _, adapters := range benchSizes {
		b.Run(benchName(adapters), func(b *testing.B) {
			agent := newBenchAgent(adapters)
			report := agent.machine.Report(agent.now)
			b.ReportAllocs()
			for b.Loop() {
				agent.ledger.Step(agent.now, ledger.ReportReceived{RequestedAt: agent.now, Report: report})
			}
		})
	}
}

func BenchmarkReserveCache(b *testing.B) {
	for _, adapters := range benchSizes {
		b.Run(benchName(adapters), func(b *testing.B) {
			agent := newBenchAgent(adapters)
			b.ReportAllocs()
			for b.Loop() {
				if !agent.ledger.ReserveCache(agent.now, "r", ledger.Item{Model: "model-0@0"}, 1<<10) {
					b.Fatal("no cache")
				}
				agent.ledger.ReleaseCache("r")
			}
		})
	}
}

// BenchmarkMove replaces three of four models and their adapters with others.
func BenchmarkMove(b *testing.B) {
	for _, adapters := range benchSizes {
		b.Run(benchName(adapters), func(b *testing.B) {
			agent := newBenchAgent(adapters)
			agent.writes, agent.orders = 0, 0
			version := int64(1)
			for b.Loop() {
				version++
				agent.ledger.SetTarget(benchTarget(version, adapters, int(version%2)))
				agent.settle()
			}
			data, err := ledger.EncodeRecord(agent.record)
			if err != nil {
				b.Fatal(err)
			}
			changes := float64(version - 1)
			b.ReportMetric(float64(agent.writes)/changes, "writes/target")
			b.ReportMetric(float64(agent.orders)/changes, "orders/target")
			b.ReportMetric(float64(len(data)), "recordBytes")
		})
	}
}
