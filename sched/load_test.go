package sched_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
)

const (
	simSeeds = 8
	// maxPausedPart is the part of the streams that may be paused for too long.
	maxPausedPart = 0.04
)

// steady adds requests at a rate over all models; part of them can wait.
func (simulation *simulation) steady(perSecond, deferrable float64) {
	for expected := simulation.arrivals.ExpFloat64(); expected < perSecond*tick.Seconds(); expected += simulation.arrivals.ExpFloat64() {
		request := simRequest{
			model: simulation.model(), account: "steady", objective: urgentLimit, prompt: 300 + int64(simulation.arrivals.ExpFloat64()*500),
		}
		if simulation.arrivals.Float64() < deferrable {
			request.objective, request.priority = deferredLimit, 2
		}
		simulation.add(request)
	}
}

func (simulation *simulation) model() names.Model {
	return names.Model([]string{"m0", "m1", "m2", "m3"}[simulation.arrivals.IntN(simulation.config.models)])
}

// clumps adds prompts that arrive together for one model.
func (simulation *simulation) clumps(perSecond float64, prompts int) {
	if simulation.arrivals.Float64() >= perSecond*tick.Seconds() {
		return
	}
	model := simulation.model()
	for range prompts {
		prompt := 800 + simulation.arrivals.Int64N(1200)
		simulation.after(time.Duration(simulation.arrivals.IntN(30))*tick, func() {
			simulation.add(simRequest{model: model, account: "clumps", objective: urgentLimit, prompt: prompt})
		})
	}
}

func all(*simRequest) bool { return true }

func urgent(request *simRequest) bool { return request.objective == urgentLimit }

func deferred(request *simRequest) bool { return request.objective == deferredLimit }

// plays returns the simulations of a configuration with several seeds.
func plays(config simConfig) []*simulation {
	var result []*simulation
	for seed := range uint64(simSeeds) {
		config.seed = seed
		result = append(result, simulate(config))
	}
	return result
}

// total counts the requests of several simulations.
func total(plays []*simulation, selects func(*simRequest) bool) tally {
	var result tally
	for _, each := range plays {
		result.add(each.tally(selects))
	}
	return result
}

// TestClumpsOfPrompts guards against prompts that arrive together and interrupt the
// streams of the few engines that hold their model.
func TestClumpsOfPrompts(t *testing.T) {
	cases := []struct {
		name      string
		slots     int
		perSecond float64
		clumps    float64
		prompts   int
	}{
		{name: "clumps of ten", slots: 48, perSecond: 60, clumps: 3, prompts: 10},
		{name: "clumps of twenty", slots: 48, perSecond: 60, clumps: 1.5, prompts: 20},
		{name: "fewer slots", slots: 32, perSecond: 50, clumps: 3, prompts: 10},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			config := simConfig{models: 2, engines: 3, slots: each.slots, length: 13 * time.Second}
			config.arrive = func(simulation *simulation) {
				simulation.steady(each.perSecond, 0.3)
				simulation.clumps(each.clumps, each.prompts)
			}
			own := plays(config)
			config.scheduled = true
			scheduled := plays(config)
			before, after := total(own, all), total(scheduled, all)
			t.Logf("paused %.3f instead of %.3f, in time %.3f instead of %.3f, served %.3f instead of %.3f",
				after.pausedPart(), before.pausedPart(), after.inTimePart(), before.inTimePart(), after.servedPart(), before.servedPart())
			g.Expect(after.pausedPart()).To(BeNumerically("<=", maxPausedPart))
			g.Expect(after.inTimePart()).To(BeNumerically(">=", before.inTimePart()))
		})
	}
}

// TestStatedSlowdowns guards against slowdowns that engines state and that are not taken
// into account. Streams are paused at these engines without any prompt waiting, too: a step
// that reads 2,048 tokens takes 0.17 s at three times the usual time.
func TestStatedSlowdowns(t *testing.T) {
	g := NewWithT(t)
	config := simConfig{models: 2, engines: 3, slots: 48, length: 13 * time.Second, slowdowns: true}
	config.arrive = func(simulation *simulation) {
		simulation.steady(50, 0.3)
		simulation.clumps(2, 10)
	}
	own := total(plays(config), all)
	config.scheduled = true
	unstated := total(plays(config), all)
	config.stated = true
	stated := total(plays(config), all)
	t.Logf("paused %.3f, %.3f if slowdowns are not stated, %.3f by own choice; in time %.3f, %.3f, %.3f",
		stated.pausedPart(), unstated.pausedPart(), own.pausedPart(), stated.inTimePart(), unstated.inTimePart(), own.inTimePart())
	g.Expect(stated.pausedPart()).To(BeNumerically("<=", unstated.pausedPart()))
	g.Expect(unstated.pausedPart()).To(BeNumerically("<=", own.pausedPart()))
	g.Expect(stated.inTimePart()).To(BeNumerically(">=", own.inTimePart()))
}

// TestSlowEngines guards against engines of a slower kind that get as many prompts as the
// others.
func TestSlowEngines(t *testing.T) {
	g := NewWithT(t)
	config := simConfig{models: 1, engines: 6, slots: 48, slow: 2.4, length: 15 * time.Second, scheduled: true}
	config.arrive = func(simulation *simulation) {
		simulation.steady(36, 0.3)
		simulation.clumps(2, 10)
	}
	scheduled := plays(config)
	slow := total(scheduled, func(request *simRequest) bool { return request.engine != nil && request.engine.pace > 1 })
	rest := total(scheduled, func(request *simRequest) bool { return request.engine != nil && request.engine.pace == 1 })
	config.scheduled = false
	own := total(plays(config), func(request *simRequest) bool { return request.engine != nil && request.engine.pace > 1 })
	t.Logf("paused at slow engines %.3f of %d, at the others %.3f of %d; at slow ones by own choice %.3f of %d",
		slow.pausedPart(), slow.served, rest.pausedPart(), rest.served, own.pausedPart(), own.served)
	g.Expect(slow.served).To(BeNumerically(">", 0))
	g.Expect(slow.pausedPart()).To(BeNumerically("<=", 2*rest.pausedPart()))
}

// TestTooLittleRoom guards against urgent requests that wait for others, and against
// requests that can wait and are forgotten.
func TestTooLittleRoom(t *testing.T) {
	g := NewWithT(t)
	// service is the time from the placement of a prompt to its first event.
	const service = time.Second
	config := simConfig{models: 1, engines: 3, slots: 48, length: 13 * time.Second, scheduled: true}
	config.arrive = func(simulation *simulation) { simulation.steady(75, 0.4) }
	scheduled := plays(config)
	first, second := total(scheduled, urgent), total(scheduled, deferred)
	overdue := total(scheduled, func(request *simRequest) bool {
		return deferred(request) && !request.firstAt.IsZero() && !request.retried && request.firstAt.Sub(request.began) > deferredLimit/2+service
	})
	t.Logf("urgent: served %.3f, in time %.3f; deferrable: served %.3f, in time %.3f, %d of %d late",
		first.servedPart(), first.inTimePart(), second.servedPart(), second.inTimePart(), overdue.all, second.all)
	g.Expect(first.servedPart()).To(BeNumerically(">=", second.servedPart()))
	g.Expect(overdue.all).To(BeZero())
}

// TestAccountBeyondItsRate guards against an account that takes the capacity of others.
func TestAccountBeyondItsRate(t *testing.T) {
	g := NewWithT(t)
	const perSecond = 15.0
	config := simConfig{models: 1, engines: 3, slots: 48, length: 13 * time.Second, scheduled: true, accountRate: perSecond * 1100}
	load := func(factor float64) func(*simulation) {
		return func(simulation *simulation) {
			simulation.steady(perSecond, 0)
			simulation.steadyOf("greedy", perSecond*factor)
		}
	}
	steady := func(request *simRequest) bool { return request.account == "steady" }
	config.arrive = load(1)
	alone := total(plays(config), steady)
	config.arrive = load(6)
	crowded := plays(config)
	others, greedy := total(crowded, steady), total(crowded, func(request *simRequest) bool { return request.account == "greedy" })
	t.Logf("others: served %.3f, in time %.3f (%.3f and %.3f without the excess); greedy: served %.3f, in time %.3f",
		others.servedPart(), others.inTimePart(), alone.servedPart(), alone.inTimePart(), greedy.servedPart(), greedy.inTimePart())
	g.Expect(others.inTimePart()).To(BeNumerically(">=", greedy.inTimePart()))
	g.Expect(others.servedPart()).To(BeNumerically(">=", 0.9*alone.servedPart()))
}

// steadyOf adds urgent requests of an account.
func (simulation *simulation) steadyOf(account names.ClientAccount, perSecond float64) {
	for expected := simulation.arrivals.ExpFloat64(); expected < perSecond*tick.Seconds(); expected += simulation.arrivals.ExpFloat64() {
		simulation.add(simRequest{model: simulation.model(), account: account, objective: urgentLimit, prompt: 300 + int64(simulation.arrivals.ExpFloat64()*500)})
	}
}
