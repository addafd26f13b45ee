package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/place"
)

func constantBytes(bytes int64) func(int) int64 { return func(int) int64 { return bytes } }

func (world *world) runFor(seconds int, demands []place.Demand) {
	for range seconds {
		world.step(0, demands, time.Second)
	}
}

func demandOf(rates ...float64) []place.Demand {
	var demands []place.Demand
	for i, rate := range rates {
		demands = append(demands, place.Demand{
			Model: names.Model(fmt.Sprintf("m%03d", i)), TokensPerSecond: rate, WorstAttainment: 1,
		})
	}
	return demands
}

// Two copies each of three models fill three servers. After two servers fail, one
// model has no copy. The last copies of the others must not be dropped for it.
func TestLastCopyIsNeverTaken(t *testing.T) {
	g := NewWithT(t)
	world := newWorld(newModels(3, constantBytes(35), 0), 3, 3, fuzzMemory, 1, fuzzConfig)
	world.runFor(60, demandOf(10, 10, 10))
	for _, model := range world.models {
		g.Expect(world.usable(model.Name())).To(HaveLen(2))
	}
	for _, runner := range world.runners[:2] {
		runner.alive, runner.diedAt = false, world.now
		runner.restart()
	}
	for range 300 {
		world.step(0, demandOf(10, 10, 10), time.Second)
		g.Expect(world.unloads).To(BeEmpty())
	}
}

// A second copy of another model is dropped for a model without a copy.
func TestColdModelTakesASecondCopy(t *testing.T) {
	g := NewWithT(t)
	models := newModels(4, constantBytes(35), 0)
	world := newWorld(models[:3], 3, 3, fuzzMemory, 1, fuzzConfig)
	world.runFor(60, nil)
	world.models = models
	world.runFor(60, nil)
	for _, model := range world.models {
		g.Expect(world.usable(model.Name())).NotTo(BeEmpty())
	}
}

// The only permitted load goes to the model of the worst-served client account,
// although another model has more demand.
func TestWorstServedComesFirst(t *testing.T) {
	g := NewWithT(t)
	config := fuzzConfig
	config.LoadsAtOnce = 1
	world := newWorld(newModels(4, constantBytes(10), 0), 8, 2, fuzzMemory, 1, config)
	world.runFor(120, nil)
	demands := demandOf(8000, 7900, 0, 0)
	demands[1].WorstAttainment = 0.5
	before := len(world.stored.Servers("m001"))
	for len(world.stored.Servers("m000")) == 2 && len(world.stored.Servers("m001")) == before {
		world.step(0, demands, time.Second)
	}
	g.Expect(world.stored.Servers("m001")).To(HaveLen(before + 1))
}

// A change in the demand of one model moves few copies of other models.
func TestOneModelsDemandMovesFewCopies(t *testing.T) {
	g := NewWithT(t)
	world := newWorld(newModels(20, constantBytes(10), 1), 20, 3, fuzzMemory, 1, fuzzConfig)
	rates := make([]float64, 20)
	for i := range rates {
		rates[i] = 500
	}
	world.runFor(600, demandOf(rates...))
	before := world.stored
	rates[0] = 9000
	world.runFor(600, demandOf(rates...))
	g.Expect(len(world.stored.Servers("m000"))).To(BeNumerically(">", 2))
	changed := 0
	for _, model := range world.models[1:] {
		if !slices.Equal(world.stored.Servers(model.Name()), before.Servers(model.Name())) {
			changed++
		}
	}
	g.Expect(changed).To(BeNumerically("<=", 2))
}

// The models of a leaving server are loaded on others while it still serves them.
func TestLeavingServerIsReplacedFirst(t *testing.T) {
	g := NewWithT(t)
	world := newWorld(newModels(4, constantBytes(10), 0), 4, 2, fuzzMemory, 1, fuzzConfig)
	world.runFor(60, nil)
	world.runners[0].Leaving = true
	world.runFor(60, nil)
	g.Expect(world.unloads).To(BeEmpty())
	for _, model := range world.models {
		staying := 0
		for _, runner := range world.usable(model.Name()) {
			if !runner.Leaving {
				staying++
			}
		}
		g.Expect(staying).To(BeNumerically(">=", 2), "%s", model.Name())
	}
}

// A fleet that served before the first plan keeps its resident models.
func TestFirstPlanKeepsWhatIsResident(t *testing.T) {
	g := NewWithT(t)
	world := newWorld(newModels(6, constantBytes(10), 0), 3, 3, fuzzMemory, 1, fuzzConfig)
	for i, runner := range world.runners {
		for j := range 2 {
			item := ledger.Item{Model: world.models[2*i+j].Name()}
			runner.reserved[item], runner.usableAt[item] = 10, world.now
		}
	}
	for range 60 {
		world.step(0, nil, time.Second)
		g.Expect(world.unloads).To(BeEmpty())
	}
}

func TestPlanCodecKeepsAll(t *testing.T) {
	g := NewWithT(t)
	world := newWorld(newModels(6, constantBytes(10), 2), 4, 2, fuzzMemory, 1, fuzzConfig)
	world.runFor(8, nil)
	data, err := place.EncodePlan(world.stored)
	g.Expect(err).NotTo(HaveOccurred())
	plan, err := place.DecodePlan(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(plan).To(Equal(world.stored))
}

// recorder is a loader that records its targets.
type recorder struct{ targets []ledger.Target }

func (recorder *recorder) SetTarget(target ledger.Target) bool {
	recorder.targets = append(recorder.targets, target)
	return true
}

func (recorder *recorder) last() []ledger.Weights {
	return recorder.targets[len(recorder.targets)-1].Items
}

func reportOf(boot string, models ...names.Model) engine.Report {
	report := engine.Report{Boot: boot}
	for _, model := range models {
		report.Resident = append(report.Resident, engine.Resident{Model: model, Bytes: 1})
	}
	return report
}

func targetOf(changed place.Version, load bool) place.Target {
	weights := ledger.Weights{Item: ledger.Item{Model: "m"}, Bytes: 1}
	return place.Target{Server: "s", Changed: changed, Items: []place.Assignment{{Weights: weights, MayLoad: load}}}
}

// After a restart of its engine an agent waits for permission to load again.
func TestRestartedEngineWaitsForPermission(t *testing.T) {
	g := NewWithT(t)
	recorder := &recorder{}
	applier := place.NewApplier(recorder)
	applier.HandleReport(reportOf("a"))
	g.Expect(applier.Apply(1, targetOf(1, true))).To(BeTrue())
	g.Expect(recorder.last()).To(HaveLen(1))
	applier.HandleReport(reportOf("a", "m"))
	g.Expect(applier.Apply(2, targetOf(2, false))).To(BeTrue())
	g.Expect(recorder.last()).To(HaveLen(1), "a resident item stays")
	g.Expect(applier.Apply(1, targetOf(1, true))).To(BeFalse(), "an older plan is ignored")
	applier.HandleReport(reportOf("b"))
	g.Expect(recorder.last()).To(BeEmpty())
	g.Expect(applier.Apply(3, targetOf(3, true))).To(BeTrue())
	g.Expect(recorder.last()).To(HaveLen(1))
}

// An agent that starts together with its engine sets no target before a plan has
// one for its server, and loads nothing without permission.
func TestStartedAgentWaitsForReportAndTarget(t *testing.T) {
	g := NewWithT(t)
	recorder := &recorder{}
	applier := place.NewApplier(recorder)
	g.Expect(applier.Apply(4, place.Target{})).To(BeTrue())
	applier.HandleReport(reportOf("a"))
	g.Expect(recorder.targets).To(BeEmpty())
	g.Expect(applier.Apply(5, targetOf(5, false))).To(BeTrue())
	g.Expect(recorder.last()).To(BeEmpty())
}
