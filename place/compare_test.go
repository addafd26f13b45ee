package place_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/place"
	"github.com/basilkeel/basilkeel/wire"
)

var (
	compareSeeds    = []uint64{1, 2, 3}
	comparePolicies = []struct {
		name string
		make func() policy
	}{
		{"planner", func() policy { return &plannerPolicy{} }},
		{"recent", func() policy { return &lruPolicy{} }},
		{"even", func() policy { return &evenPolicy{} }},
	}
)

// BenchmarkCompare prints one line for each size, policy and seed.
func BenchmarkCompare(b *testing.B) {
	for _, size := range sizes {
		for _, policy := range comparePolicies {
			b.Run(size.name+"/"+policy.name, func(b *testing.B) {
				for range b.N {
					for _, seed := range compareSeeds {
						compare(size, policy.name, policy.make(), seed)
					}
				}
			})
		}
	}
}

func compare(size size, name string, policy policy, seed uint64) {
	sim, rates := newSim(size, seed, simConfig(size))
	totals := sim.run(policy, rates)
	hours := totals.duration.Hours()
	accelerators := float64(size.servers * size.accelerators)
	var served float64
	for _, tokens := range totals.served {
		served += tokens
	}
	fmt.Printf("%-9s %-8s seed %d: attainment %.4f, tokens/s in time per accelerator %.1f, loads/h %.1f, worst account %.4f, refused/h %.0f, of it without copy %.0f\n",
		size.name, name, seed, totals.attainment(), served/totals.duration.Seconds()/accelerators,
		totals.loads/hours, totals.worstAttainment(), totals.refused/hours, totals.unreachable/hours)
}

func simConfig(size size) place.Config {
	return place.Config{
		LoadsPerSecond: size.loadsPerSecond, LoadsAtOnce: size.loadsAtOnce, AdaptersAtOnce: size.adaptersAtOnce,
		MovesPerHour: 2 * float64(size.servers), MoveBurst: float64(size.servers) / 4,
		TokensPerSecond: simSpeed, WeightShare: simWeights,
	}
}

// settledTarget returns the fleet of the size named target after 30 minutes at
// constant demand, and that demand.
func settledTarget() (*sim, place.Input) {
	size := sizes[2]
	size.adapters = 6
	sim, rates := newSim(size, 1, simConfig(size))
	policy := &plannerPolicy{}
	for range 900 {
		policy.step(sim, rates.at(0), make([]float64, sim.size.models))
	}
	input := place.Input{Models: sim.models}
	for i, rate := range rates.at(0) {
		input.Demands = append(input.Demands, place.Demand{Model: sim.models[i].Name(), TokensPerSecond: rate, WorstAttainment: 1})
	}
	return sim, input
}

// BenchmarkStep measures a planner step for the fleet of the size named target,
// with constant demand and after a tenfold rise of all demand. Each load ends
// before the next step.
func BenchmarkStep(b *testing.B) {
	sim, input := settledTarget()
	for _, factor := range []float64{1, 10} {
		b.Run(fmt.Sprintf("demand times %g", factor), func(b *testing.B) {
			risen := input
			risen.Demands = nil
			for _, demand := range input.Demands {
				demand.TokensPerSecond *= factor
				risen.Demands = append(risen.Demands, demand)
			}
			planner := sim.planners[0]
			now := sim.now
			for range b.N {
				b.StopTimer()
				now = now.Add(simStep)
				risen.Servers = nil
				for _, runner := range sim.runners {
					report := loadedReport(planner.Plan(), string(runner.Name), now)
					report.Domain, report.MemoryBytes, report.Applied = runner.Domain, simMemory, planner.Plan().Version()
					risen.Servers = append(risen.Servers, report)
				}
				b.StartTimer()
				planner.Step(now, 1, risen)
			}
		})
	}
}

// BenchmarkPlanBytes reports the size of the stored plan with 5 models and 25
// adapters at each of 700 servers.
func BenchmarkPlanBytes(b *testing.B) {
	var targets []place.Target
	for i := range sizes[2].servers {
		target := place.Target{Server: names.BackendServer(fmt.Sprintf("runner-%06d", i)), Changed: 1_000_000, Role: engine.RoleMixed}
		for j := range 30 {
			item := ledger.Item{Model: names.Model(fmt.Sprintf("some-model-7b-%03d@3", (i*5+j/6)%sizes[2].models))}
			if j%6 > 0 {
				item.Adapter = names.Adapter(fmt.Sprintf("some-adapter-%d", j%6))
			}
			target.Items = append(target.Items, place.Assignment{Weights: ledger.Weights{Item: item, Bytes: 1 << 34}})
		}
		targets = append(targets, target)
	}
	plan := place.NewPlan(place.PlanConfig{Epoch: 1, Version: 1_000_000, Targets: targets})
	size := 0
	b.ResetTimer()
	for range b.N {
		data, err := place.EncodePlan(plan)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkExchange measures the cost of an agent's exchange at the lease holder,
// and the size of its messages.
func BenchmarkExchange(b *testing.B) {
	cluster := newCluster()
	cluster.run(30)
	controller := cluster.controllers[cluster.holders()[0]]
	request, err := place.Request(cluster.clients["s0"])
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	var news *wire.PlaceNews
	for range b.N {
		news = controller.Exchange(request)
	}
	b.ReportMetric(float64(proto.Size(request)), "askBytes")
	b.ReportMetric(float64(proto.Size(news)), "newsBytes")
}
