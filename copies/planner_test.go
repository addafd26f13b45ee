package copies_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/names"
)

func newPlanner() *copies.Planner {
	return copies.NewPlanner(copies.PlannerConfig{Window: 5 * time.Second, Now: epoch})
}

// enginesWith returns an engine for each list of models, which it holds.
func enginesWith(held ...[]names.Model) []copies.EngineState {
	var engines []copies.EngineState
	for index, models := range held {
		engines = append(engines, copies.EngineState{Server: names.BackendServer(fmt.Sprintf("engine-%d", index)), Models: models})
	}
	return engines
}

func TestPlannerCases(t *testing.T) {
	full := []names.Model{"a", "b"}
	cases := []struct {
		name    string
		engines []copies.EngineState
		demand  map[names.Model]copies.Demand
		check   func(g *WithT, steps []copies.Step)
	}{
		{
			name:    "a model that somebody waits for is loaded where there is room",
			engines: enginesWith(full, []names.Model{"a"}),
			demand:  map[names.Model]copies.Demand{"c": {Work: 0.1, Waiting: 1}, "a": {Work: 1}},
			check: func(g *WithT, steps []copies.Step) {
				g.Expect(steps).NotTo(BeEmpty())
				g.Expect(steps[0]).To(Equal(copies.Step{Server: "engine-1", Load: "c", FromStore: true}))
			},
		},
		{
			name:    "the last copy of a model that is asked for stays",
			engines: enginesWith([]names.Model{"a", "b"}),
			demand:  map[names.Model]copies.Demand{"a": {Work: 0.1}, "b": {Work: 0.1}, "c": {Work: 5, Waiting: 9}},
			check:   func(g *WithT, steps []copies.Step) { g.Expect(steps).To(BeEmpty()) },
		},
		{
			name:    "the last copy of a model that nobody asks for makes way",
			engines: enginesWith([]names.Model{"a", "b"}),
			demand:  map[names.Model]copies.Demand{"a": {Work: 0.1}, "c": {Work: 0.2, Waiting: 1}},
			check: func(g *WithT, steps []copies.Step) {
				g.Expect(steps).To(HaveLen(1))
				g.Expect(steps[0].Unload).To(Equal([]names.Model{"b"}))
			},
		},
		{
			name:    "nothing is loaded before anything is asked for",
			engines: enginesWith([]names.Model{"a"}, []names.Model{"b"}),
			check:   func(g *WithT, steps []copies.Step) { g.Expect(steps).To(BeEmpty()) },
		},
		{
			name: "an engine that has the weights at hand goes first",
			engines: func() []copies.EngineState {
				engines := enginesWith([]names.Model{"a"}, []names.Model{"a"})
				engines[1].OnDisk = []names.Model{"c"}
				return engines
			}(),
			demand: map[names.Model]copies.Demand{"c": {Work: 0.2, Waiting: 1}, "a": {Work: 0.1}},
			check: func(g *WithT, steps []copies.Step) {
				g.Expect(steps[0]).To(Equal(copies.Step{Server: "engine-1", Load: "c"}))
			},
		},
		{
			name:    "an engine with room goes before a less loaded one that has to unload",
			engines: enginesWith([]names.Model{"a", "b"}, []names.Model{"d"}, []names.Model{"a", "b"}, []names.Model{"c"}),
			demand:  map[names.Model]copies.Demand{"a": {Work: 0.05}, "b": {Work: 0.05}, "d": {Work: 0.25}, "c": {Work: 1.8}},
			check: func(g *WithT, steps []copies.Step) {
				g.Expect(steps).NotTo(BeEmpty())
				g.Expect(steps[0]).To(Equal(copies.Step{Server: "engine-1", Load: "c", FromStore: true}))
			},
		},
		{
			name:    "memory that nothing uses takes a copy that relieves others a little",
			engines: enginesWith([]names.Model{"a"}, full, full, full),
			demand:  map[names.Model]copies.Demand{"a": {Work: 0.4}, "b": {Work: 0.6}},
			check: func(g *WithT, steps []copies.Step) {
				g.Expect(steps).To(Equal([]copies.Step{{Server: "engine-0", Load: "b", FromStore: true}}))
			},
		},
		{
			name:    "models that are asked for now and then do not take turns",
			engines: enginesWith([]names.Model{"a", "b"}),
			demand:  map[names.Model]copies.Demand{"a": {Work: 1, Steady: 1}, "b": {Steady: 0.02}, "c": {Work: 0.04, Steady: 0.02, Waiting: 1}},
			check:   func(g *WithT, steps []copies.Step) { g.Expect(steps).To(BeEmpty()) },
		},
		{
			name:    "a model with few requests goes beside busy ones, not to an engine at ease",
			engines: enginesWith([]names.Model{"a", "b"}, []names.Model{"a", "d"}, []names.Model{"a", "b"}),
			demand:  map[names.Model]copies.Demand{"a": {Work: 2.4}, "b": {Work: 3}, "d": {Work: 0.1}, "c": {Work: 0.1, Waiting: 1}},
			check: func(g *WithT, steps []copies.Step) {
				g.Expect(steps).To(HaveLen(1))
				g.Expect(steps[0].Server).NotTo(Equal(names.BackendServer("engine-1")))
				g.Expect(steps[0].Unload).To(Equal([]names.Model{"a"}))
			},
		},
		{
			name:    "a handful of requests moves no copies",
			engines: enginesWith(full, full, []names.Model{"a", "c"}, []names.Model{"a", "d"}),
			demand:  map[names.Model]copies.Demand{"b": {Work: 0.3}, "a": {Work: 0.05}},
			check:   func(g *WithT, steps []copies.Step) { g.Expect(steps).To(BeEmpty()) },
		},
		{
			name: "engines that make room take no place of the loads that run",
			engines: func() []copies.EngineState {
				engines := enginesWith(full, full, full, full, full, []names.Model{"c"}, nil)
				for index := range 3 {
					engines[index].Loading, engines[index].Unloading, engines[index].Blocked = "d", true, true
				}
				return engines
			}(),
			demand: map[names.Model]copies.Demand{"c": {Work: 9}, "a": {Work: 2}, "b": {Work: 2}},
			check: func(g *WithT, steps []copies.Step) {
				g.Expect(steps).NotTo(BeEmpty())
				g.Expect(steps[0]).To(Equal(copies.Step{Server: "engine-6", Load: "c", FromStore: true}))
			},
		},
		{
			name: "not all engines make room at once",
			engines: func() []copies.EngineState {
				engines := enginesWith(full, full, full, full, full, []names.Model{"c", "d"})
				for index := range 2 {
					engines[index].Loading, engines[index].Unloading, engines[index].Blocked = "d", true, true
				}
				return engines
			}(),
			demand: map[names.Model]copies.Demand{"c": {Work: 9}, "a": {Work: 0.1}, "b": {Work: 0.1}},
			check:  func(g *WithT, steps []copies.Step) { g.Expect(steps).To(BeEmpty()) },
		},
		{
			name: "engines that leave or carry out an order are left alone",
			engines: func() []copies.EngineState {
				engines := enginesWith([]names.Model{"a"}, []names.Model{"a"})
				engines[0].Draining, engines[1].Blocked = true, true
				return engines
			}(),
			demand: map[names.Model]copies.Demand{"c": {Work: 0.2, Waiting: 1}},
			check:  func(g *WithT, steps []copies.Step) { g.Expect(steps).To(BeEmpty()) },
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			steps := newPlanner().Plan(copies.PlanInput{Engine: engineSpec(), Engines: each.engines, Demand: each.demand, Now: epoch.Add(time.Minute)})
			each.check(g, steps)
		})
	}
}

// TestLongLoadsHaveToPay checks that a busy model gets another copy in place of another
// model's, unless the load takes most of the time for which demand stays the same.
func TestLongLoadsHaveToPay(t *testing.T) {
	cases := []struct {
		name  string
		load  time.Duration
		disk  bool
		steps int
	}{
		{name: "a second", load: time.Second, steps: 1},
		{name: "ten seconds from the store", load: 10 * time.Second},
		{name: "ten seconds from the store, less from its own disk", load: 10 * time.Second, disk: true, steps: 1},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			spec := engineSpec()
			for name, model := range spec.Models {
				model.LoadTime = each.load
				spec.Models[name] = model
			}
			engines := enginesWith([]names.Model{"a", "b"}, []names.Model{"a", "b"}, []names.Model{"a", "c"})
			if each.disk {
				engines[0].OnDisk, engines[1].OnDisk = []names.Model{"c"}, []names.Model{"c"}
			}
			demand := map[names.Model]copies.Demand{"a": {Work: 0.6}, "b": {Work: 0.4}, "c": {Work: 0.6}}
			steps := newPlanner().Plan(copies.PlanInput{Engine: spec, Engines: engines, Demand: demand, Now: epoch.Add(time.Minute)})
			g.Expect(steps).To(HaveLen(each.steps))
		})
	}
}

// TestPlannerKeepsTheStoresRate checks that loads from the weight store stay within its
// rate, and use it, if demand exceeds it.
func TestPlannerKeepsTheStoresRate(t *testing.T) {
	g := NewWithT(t)
	planner := newPlanner()
	spec := engineSpec()
	var begins []time.Duration
	for tick := time.Duration(0); tick < 20*time.Second; tick += 200 * time.Millisecond {
		// Every engine is always empty, and all models are requested.
		planInput := copies.PlanInput{Engine: spec, Engines: enginesWith(nil, nil, nil, nil, nil, nil), Now: epoch.Add(tick), Demand: map[names.Model]copies.Demand{}}
		for name := range spec.Models {
			planInput.Demand[name] = copies.Demand{Work: 1, Waiting: 1}
		}
		for _, step := range planner.Plan(planInput) {
			if step.FromStore {
				begins = append(begins, tick)
			}
		}
	}
	for _, first := range begins {
		count := 0
		for _, begin := range begins {
			if begin >= first && begin < first+5*time.Second {
				count++
			}
		}
		g.Expect(count).To(BeNumerically("<=", 2*5*1.1+3))
	}
	g.Expect(len(begins)).To(BeNumerically(">=", 40), "the rate is used")
}

// TestLateLoadsKeepTheStoresRate checks that loads from the weight store stay within its
// rate although all wait for unloads that end at the same time.
func TestLateLoadsKeepTheStoresRate(t *testing.T) {
	g := NewWithT(t)
	planner, spec := newPlanner(), engineSpec()
	engines := enginesWith()
	for index := range 40 {
		engines = append(engines, copies.EngineState{Server: names.BackendServer(fmt.Sprintf("full-%d", index)), Models: []names.Model{"a", "b"}})
	}
	var begins []time.Duration
	for tick := time.Duration(0); tick < 30*time.Second; tick += 200 * time.Millisecond {
		for index := range engines {
			engine := &engines[index]
			if engine.Unloading && tick%(7*time.Second) == 0 {
				*engine = copies.EngineState{Server: engine.Server, Models: []names.Model{"a", "b"}}
				begins = append(begins, tick)
			}
		}
		planInput := copies.PlanInput{Engine: spec, Engines: slices.Clone(engines), Now: epoch.Add(tick), Demand: map[names.Model]copies.Demand{
			"a": {Work: 1}, "b": {Work: 1}, "c": {Work: 40}, "d": {Work: 40}, "e": {Work: 40},
		}}
		for _, step := range planner.Plan(planInput) {
			for index := range engines {
				if engines[index].Server == step.Server {
					engines[index].Loading, engines[index].Unloading, engines[index].Blocked = step.Load, true, true
				}
			}
		}
	}
	for _, first := range begins {
		count := 0
		for _, begin := range begins {
			if begin >= first && begin < first+5*time.Second {
				count++
			}
		}
		g.Expect(count).To(BeNumerically("<=", 2*5*1.1+3))
	}
	g.Expect(begins).NotTo(BeEmpty())
}

// TestPlannerFollowsAShift simulates a shift of demand within six seconds, as on the
// busiest days: the busiest model loses its requests, the second one takes its place, and
// a third one starts to be requested. Callers notice the load of the busiest copy.
func TestPlannerFollowsAShift(t *testing.T) {
	g := NewWithT(t)
	spec := engineSpec()
	world := newShiftWorld(spec)
	for tick := time.Duration(0); tick < 14*time.Second; tick += 200 * time.Millisecond {
		world.step(tick)
	}
	g.Expect(world.mean(8*time.Second, 14*time.Second)).To(BeNumerically("<", 1.5), "two seconds after the shift no copy carries much more than the mean")
	g.Expect(world.loads).To(BeNumerically("<=", 16), "each load delays the streams beside it")
}

// shiftWorld simulates twelve engines and a shift of demand.
type shiftWorld struct {
	planner *copies.Planner
	engines []copies.EngineState
	ready   map[names.BackendServer]time.Duration
	worst   map[time.Duration]float64
	input   copies.PlanInput
	loads   int
}

func newShiftWorld(spec interface{}) *shiftWorld {
	world := &shiftWorld{planner: newPlanner(), ready: map[names.BackendServer]time.Duration{}, worst: map[time.Duration]float64{}}
	for index := range 12 {
		models := []names.Model{"a", "b"}
		switch {
		case index >= 10:
			models = []names.Model{"a", "x", "y"}
		case index >= 8:
			models = []names.Model{"a", "c"}
		}
		world.engines = append(world.engines, copies.EngineState{
			Server: names.BackendServer(fmt.Sprintf("engine-%02d", index)), Models: models, LoadedAt: map[names.Model]time.Time{},
		})
	}
	world.input.Engine = engineSpec()
	return world
}

func (world *shiftWorld) demand(tick time.Duration) map[names.Model]float64 {
	moved := min(max(tick.Seconds()/6, 0), 1)
	return map[names.Model]float64{"a": 7 * (1 - moved), "b": 2.5 + 4.5*moved, "c": 2.5 * moved, "x": 0.2, "y": 0.2}
}

func (world *shiftWorld) step(tick time.Duration) {
	now := epoch.Add(tick)
	for index := range world.engines {
		engine := &world.engines[index]
		if engine.Loading != "" && tick >= world.ready[engine.Server] {
			engine.Models = append(engine.Models, engine.Loading)
			engine.LoadedAt[engine.Loading] = now
			engine.Loading, engine.Blocked = "", false
		}
	}
	demand := world.demand(tick)
	world.input.Engines, world.input.Now, world.input.Demand = slices.Clone(world.engines), now, map[names.Model]copies.Demand{}
	for model, work := range demand {
		world.input.Demand[model] = copies.Demand{Work: work}
	}
	for _, step := range world.planner.Plan(world.input) {
		world.loads++
		for index := range world.engines {
			engine := &world.engines[index]
			if engine.Server != step.Server {
				continue
			}
			engine.Models = slices.DeleteFunc(slices.Clone(engine.Models), func(model names.Model) bool { return slices.Contains(step.Unload, model) })
			engine.Loading, engine.Blocked = step.Load, true
			world.ready[engine.Server] = tick + 1700*time.Millisecond
		}
	}
	world.worst[tick] = world.imbalance(demand)
}

// imbalance returns the ratio of the load of the busiest copy to the mean load of all
// engines.
func (world *shiftWorld) imbalance(demand map[names.Model]float64) float64 {
	total, worst := 0.0, 0.0
	for model, work := range demand {
		total += work
		count := 0.0
		for _, engine := range world.engines {
			if slices.Contains(engine.Models, model) {
				count++
			}
		}
		worst = max(worst, work/max(count, 0.01))
	}
	return worst / (total / float64(len(world.engines)))
}

func (world *shiftWorld) mean(from, to time.Duration) float64 {
	sum, count := 0.0, 0.0
	for tick, worst := range world.worst {
		if tick >= from && tick < to {
			sum += worst
			count++
		}
	}
	return sum / count
}

// TestCopiesFollowTheCapacityThatRatesLeave checks that the first model to get another
// copy is one whose engine declares a rate below the requests for it, and that the copy
// goes to an engine that declares none.
func TestCopiesFollowTheCapacityThatRatesLeave(t *testing.T) {
	busiest := copies.Step{Server: "engine-0", Load: "c", FromStore: true}
	cases := []struct {
		name  string
		rates map[names.BackendServer]float64
		// requests is the rate of requests, of which each takes 0.1 s of an engine.
		requests float64
		want     copies.Step
	}{
		{name: "no rate", requests: 4, want: busiest},
		{name: "a rate above the requests", rates: map[names.BackendServer]float64{"engine-0": 50}, requests: 4, want: busiest},
		{
			name: "a rate below the requests", rates: map[names.BackendServer]float64{"engine-0": 0.5}, requests: 4,
			want: copies.Step{Server: "engine-1", Load: "a", FromStore: true},
		},
		{
			name: "zero", rates: map[names.BackendServer]float64{"engine-0": 0}, requests: 4,
			want: copies.Step{Server: "engine-1", Load: "a", FromStore: true},
		},
		{
			name: "another limited engine", rates: map[names.BackendServer]float64{"engine-0": 0.5, "engine-1": 0.5}, requests: 4,
			want: copies.Step{Server: "engine-2", Load: "a", FromStore: true},
		},
		{name: "requests that are not known", rates: map[names.BackendServer]float64{"engine-0": 0.5}, want: busiest},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			engines := enginesWith([]names.Model{"a"}, []names.Model{"b"}, []names.Model{"c"})
			demand := map[names.Model]copies.Demand{"a": {Work: 0.1}, "b": {Work: 0.1}, "c": {Work: 0.2}}
			steps := newPlanner().Plan(copies.PlanInput{
				Engine: engineSpec(), Engines: engines, Demand: demand, Rates: each.rates, RequestsPerSecond: each.requests, Now: epoch.Add(time.Minute),
			})
			g.Expect(steps).NotTo(BeEmpty())
			g.Expect(steps[0]).To(Equal(each.want))
		})
	}
}

// TestModelsWithoutSizeAreLoaded guards against loads of engines that are not numbers.
func TestModelsWithoutSizeAreLoaded(t *testing.T) {
	g := NewWithT(t)
	spec := engineSpec()
	for name, model := range spec.Models {
		model.WeightsMB = 0
		spec.Models[name] = model
	}
	demand := map[names.Model]copies.Demand{"a": {Work: 0.9}, "b": {Work: 0.1}}
	steps := newPlanner().Plan(copies.PlanInput{
		Engine: spec, Engines: enginesWith([]names.Model{"a", "b"}, []names.Model{"b"}), Demand: demand, Now: epoch.Add(time.Minute),
	})
	g.Expect(steps).NotTo(BeEmpty())
	g.Expect(steps[0]).To(Equal(copies.Step{Server: "engine-1", Load: "a", FromStore: true}))
}
