package place_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/place"
)

const (
	fuzzMemory = 100
	fuzzLimit  = 70
	// faultGap is the minimum time between two faults. It is longer than a
	// planner takes to notice one.
	faultGap = 40 * time.Second
)

var fuzzConfig = place.Config{MovesPerHour: 120, MoveBurst: 4, AdaptersAtOnce: 5, LoadTimeout: 10 * time.Second}

// fuzz is the state of one run of the state machine.
type fuzz struct {
	*world
	t           *rapid.T
	demands     []place.Demand
	faultAt     time.Time
	lastApplied map[names.BackendServer]place.Version
	startedAt   time.Time
	moves       int
	lastPlan    *place.Plan
}

func TestPlannerKeepsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := newModels(8, func(i int) int64 { return int64(8 + 3*i) }, 2)
		fuzz := &fuzz{
			t: t, world: newWorld(models, 8, 3, fuzzMemory, 2, fuzzConfig),
			lastApplied: map[names.BackendServer]place.Version{},
		}
		fuzz.lastPlan, fuzz.startedAt = fuzz.stored, fuzz.now
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { fuzz.check() },
			"step":    func(t *rapid.T) { fuzz.run(t, 1) },
			"steps":   func(t *rapid.T) { fuzz.run(t, 15) },
			"demand":  fuzz.changeDemand,
			"die":     fuzz.die,
			"restart": fuzz.restartOne,
			"rack":    fuzz.restartDomain,
			"deaf":    fuzz.delayPlans,
			"cut":     fuzz.isolate,
			"heal":    fuzz.heal,
			"leave":   fuzz.leave,
		})
		fuzz.settle()
	})
}

func (fuzz *fuzz) run(t *rapid.T, steps int) {
	for range steps {
		// Most steps are by the first planner; sometimes a second one interferes.
		fuzz.step(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 1}).Draw(t, "planner"), fuzz.demands, time.Second)
		fuzz.check()
	}
}

func (fuzz *fuzz) changeDemand(t *rapid.T) {
	fuzz.demands = nil
	for _, model := range fuzz.models {
		rate := rapid.SampledFrom([]float64{0, 10, 900, 3000, 9000}).Draw(t, "rate")
		fuzz.demands = append(fuzz.demands, place.Demand{Model: model.Name(), TokensPerSecond: rate, WorstAttainment: 1})
	}
}

// victim draws a server for a fault if faultGap has passed since the last fault.
func (fuzz *fuzz) victim(t *rapid.T) *runner {
	if fuzz.now.Sub(fuzz.faultAt) < faultGap {
		t.Skip("too early")
	}
	fuzz.faultAt = fuzz.now
	return rapid.SampledFrom(fuzz.runners).Draw(t, "runner")
}

func (fuzz *fuzz) die(t *rapid.T) {
	runner := fuzz.victim(t)
	runner.alive, runner.diedAt = false, fuzz.now
	runner.restart()
}

func (fuzz *fuzz) restartOne(t *rapid.T) { fuzz.victim(t).restart() }

// restartDomain restarts all engines in one failure domain.
func (fuzz *fuzz) restartDomain(t *rapid.T) {
	first := fuzz.victim(t)
	for _, runner := range fuzz.runners {
		if runner.Domain == first.Domain {
			runner.restart()
		}
	}
}

// delayPlans delays the receipt of plans at some agents.
func (fuzz *fuzz) delayPlans(t *rapid.T) {
	for _, runner := range fuzz.runners {
		runner.planDelay = rapid.IntRange(0, 30).Draw(t, "deaf")
	}
}

func (fuzz *fuzz) isolate(t *rapid.T) { fuzz.victim(t).isolated = true }

func (fuzz *fuzz) leave(t *rapid.T) { fuzz.victim(t).Leaving = true }

// heal ends all faults. Servers that were down return without resident items.
func (fuzz *fuzz) heal(*rapid.T) {
	for _, runner := range fuzz.runners {
		if !runner.alive {
			runner.applied, runner.target = 0, place.Target{}
		}
		runner.alive, runner.isolated, runner.Leaving = true, false, false
	}
}

func (fuzz *fuzz) check() {
	fuzz.checkVersions()
	fuzz.checkMemory()
	fuzz.checkLoads()
	fuzz.checkMoves()
	fuzz.checkUnloads()
}

func (fuzz *fuzz) checkVersions() {
	if fuzz.stored != fuzz.lastPlan && !fuzz.stored.NewerThan(fuzz.lastPlan) {
		fuzz.t.Fatalf("plan %d stored after plan %d", fuzz.stored.Version(), fuzz.lastPlan.Version())
	}
	for _, runner := range fuzz.runners {
		if runner.applied < fuzz.lastApplied[runner.Name] && runner.applied != 0 {
			fuzz.t.Fatalf("%s: the applied version decreased", runner.Name)
		}
		fuzz.lastApplied[runner.Name] = runner.applied
	}
}

// checkMemory checks that the items of a target and the agent's actual
// reservations fit together.
func (fuzz *fuzz) checkMemory() {
	for _, runner := range fuzz.runners {
		union := map[ledger.Item]int64{}
		for item, bytes := range runner.reserved {
			union[item] = bytes
		}
		target, _ := fuzz.stored.Target(runner.Name)
		for _, assignment := range target.Items {
			union[assignment.Weights.Item] = assignment.Weights.Bytes
		}
		var total int64
		for _, bytes := range union {
			total += bytes
		}
		if total > fuzzLimit && runner.alive && !runner.isolated {
			fuzz.t.Fatalf("%s: %d bytes of %d", runner.Name, total, fuzzLimit)
		}
	}
}

func (fuzz *fuzz) checkLoads() {
	models, adapters := fuzz.loading()
	if models > place.DefaultLoadsAtOnce || adapters > fuzzConfig.AdaptersAtOnce {
		fuzz.t.Fatalf("%d models and %d adapters are loading", models, adapters)
	}
}

// checkMoves limits the loads of models that are already in two failure domains.
// It only counts those long after a fault, which can only be due to demand.
func (fuzz *fuzz) checkMoves() {
	calm := fuzz.now.Sub(fuzz.faultAt) > faultGap
	for _, target := range fuzz.stored.Targets() {
		before, _ := fuzz.lastPlan.Target(target.Server)
		permitted := loads(before)
		for _, assignment := range target.Items {
			item := assignment.Weights.Item
			if calm && item.Adapter == "" && assignment.MayLoad && !permitted[item] && len(fuzz.domains(item.Model)) > 1 {
				fuzz.moves++
			}
		}
	}
	fuzz.lastPlan = fuzz.stored
	if allowed := fuzz.now.Sub(fuzz.startedAt).Hours() * fuzzConfig.MovesPerHour; float64(fuzz.moves) > allowed {
		fuzz.t.Fatalf("%d moves, %.1f allowed", fuzz.moves, allowed)
	}
}

// domains returns the failure domains of the usable copies that stay.
func (fuzz *fuzz) domains(model names.Model) map[names.FailureDomain]bool {
	domains := map[names.FailureDomain]bool{}
	for _, runner := range fuzz.usable(model) {
		if !runner.Leaving && !runner.isolated {
			domains[runner.Domain] = true
		}
	}
	return domains
}

// checkUnloads checks that no model lost its last usable copy by an unload.
func (fuzz *fuzz) checkUnloads() {
	for _, item := range fuzz.unloads {
		if item.Adapter == "" && len(fuzz.usable(item.Model)) == 0 {
			fuzz.t.Fatalf("the last copy of %s was unloaded", item.Model)
		}
	}
	fuzz.unloads = nil
}

// settle ends all faults and checks that each model gets into two failure domains.
func (fuzz *fuzz) settle() {
	fuzz.heal(nil)
	for range 300 {
		fuzz.step(0, fuzz.demands, time.Second)
		fuzz.check()
	}
	for _, model := range fuzz.models {
		if count := len(fuzz.domains(model.Name())); count < 2 {
			fuzz.t.Fatalf("%s is in %d failure domains", model.Name(), count)
		}
	}
}
