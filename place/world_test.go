package place_test

import (
	"fmt"
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/place"
)

// runner is the actual state of a simulated server and its agent.
type runner struct {
	place.Server
	target     place.Target
	applied    place.Version
	usableAt   map[ledger.Item]time.Time // when a reserved item is usable
	reserved   map[ledger.Item]int64
	freedAt    map[ledger.Item]time.Time // when the memory of an unloaded item is free
	stale      map[ledger.Item]bool      // being unloaded, or loading by a permission that a newer plan ended
	isolated   bool                      // the agent receives no plans and sends no reports
	planDelay  int                       // steps until the agent receives a plan
	alive      bool
	diedAt     time.Time
	lastReport place.Server
}

// world is a simulated fleet in virtual time, with planners that share one stored
// plan.
type world struct {
	now        time.Time
	models     []config.Model
	runners    []*runner
	stored     *place.Plan
	planners   []*place.Planner
	loadTime   time.Duration
	unloadTime time.Duration
	unloads    []ledger.Item // begun in the last step
}

func newModels(count int, bytes func(int) int64, adapters int) []config.Model {
	var models []config.Model
	for i := range count {
		var list []config.Adapter
		for j := range adapters {
			list = append(list, config.NewAdapter(config.AdapterConfig{Name: names.Adapter(fmt.Sprintf("a%d", j)), WeightBytes: 1}))
		}
		models = append(models, config.NewModel(config.ModelConfig{
			Name: names.Model(fmt.Sprintf("m%03d", i)), WeightBytes: bytes(i), Adapters: list,
		}))
	}
	return models
}

func newWorld(models []config.Model, servers, domains int, memory int64, planners int, config place.Config) *world {
	world := &world{now: time.Unix(1_000_000, 0), models: models, stored: place.NewPlan(place.PlanConfig{}), loadTime: 5 * time.Second, unloadTime: 3 * time.Second}
	for i := range servers {
		world.runners = append(world.runners, &runner{
			Server: place.Server{
				Name:        names.BackendServer(fmt.Sprintf("s%03d", i)),
				Domain:      names.FailureDomain(fmt.Sprintf("d%d", i%domains)),
				MemoryBytes: memory,
			},
			alive: true, usableAt: map[ledger.Item]time.Time{}, reserved: map[ledger.Item]int64{}, stale: map[ledger.Item]bool{}, freedAt: map[ledger.Item]time.Time{},
		})
	}
	for range planners {
		world.planners = append(world.planners, place.NewPlanner(config))
	}
	return world
}

// step advances time by wait and then runs one planner and all agents.
func (world *world) step(planner int, demands []place.Demand, wait time.Duration) {
	world.now = world.now.Add(wait)
	input := place.Input{Models: world.models, Demands: demands}
	for _, runner := range world.runners {
		if runner.alive && !runner.isolated {
			runner.lastReport = runner.report(world.now)
		}
		if runner.alive || world.now.Sub(runner.diedAt) < 5*time.Second {
			input.Servers = append(input.Servers, runner.lastReport)
			if runner.lastReport.Name == "" {
				input.Servers[len(input.Servers)-1] = runner.Server
			}
		}
	}
	world.plan(world.planners[planner], input)
	world.unloads = nil
	for _, runner := range world.runners {
		if runner.alive {
			runner.act(world)
		}
	}
}

// plan runs a step of planner and stores its plan by compare-and-swap.
func (world *world) plan(planner *place.Planner, input place.Input) {
	base := planner.Plan().Version()
	plan, changed := planner.Step(world.now, 1, input)
	switch {
	case base != world.stored.Version():
		planner.Adopt(world.stored)
	case changed:
		world.stored = plan
	}
}

func (runner *runner) report(now time.Time) place.Server {
	server := runner.Server
	server.ReportedAt, server.Applied = now, runner.applied
	for item, bytes := range runner.reserved {
		server.Reserved = append(server.Reserved, ledger.Weights{Item: item, Bytes: bytes})
		if !now.Before(runner.usableAt[item]) {
			server.Usable = append(server.Usable, item)
		}
	}
	sort.Slice(server.Reserved, func(i, j int) bool { return less(server.Reserved[i].Item, server.Reserved[j].Item) })
	return server
}

func less(a, b ledger.Item) bool {
	return a.Model < b.Model || a.Model == b.Model && a.Adapter < b.Adapter
}

// act applies the stored plan to the simulated server.
func (runner *runner) act(world *world) {
	if !runner.isolated && runner.planDelay == 0 && world.stored.Version() > runner.applied {
		if target, found := world.stored.Target(runner.Name); found {
			runner.target = target
		}
		runner.applied = world.stored.Version()
	}
	runner.planDelay = max(0, runner.planDelay-1)
	if runner.target.Changed == 0 {
		return
	}
	wanted := map[ledger.Item]int64{}
	for _, weights := range runner.target.LedgerTarget(1, runner.report(world.now).Reserved).Items {
		wanted[weights.Item] = weights.Bytes
	}
	for item := range runner.reserved {
		_, leaving := runner.freedAt[item]
		if _, found := wanted[item]; !found || leaving {
			runner.unload(world, item)
		}
	}
	own := loads(runner.target)
	current, _ := world.stored.Target(runner.Name)
	permitted := loads(current)
	for item, bytes := range wanted {
		if _, found := runner.reserved[item]; found {
			continue
		}
		runner.reserved[item] = bytes
		runner.usableAt[item] = world.now.Add(world.loadTime)
		if item.Adapter != "" {
			runner.usableAt[item] = world.now.Add(7 * time.Millisecond)
		}
		runner.stale[item] = own[item] && !permitted[item]
	}
}

// unload makes item unusable at once and frees its memory a while later.
func (runner *runner) unload(world *world, item ledger.Item) {
	if _, found := runner.freedAt[item]; !found {
		runner.freedAt[item] = world.now.Add(world.unloadTime)
		runner.usableAt[item] = world.now.Add(time.Hour)
		runner.stale[item] = true
		world.unloads = append(world.unloads, item)
	}
	if !world.now.Before(runner.freedAt[item]) {
		delete(runner.reserved, item)
		delete(runner.freedAt, item)
	}
}

// loads returns whether target permits the load of each of its items.
func loads(target place.Target) map[ledger.Item]bool {
	permitted := map[ledger.Item]bool{}
	for _, assignment := range target.Items {
		permitted[assignment.Weights.Item] = assignment.MayLoad
	}
	return permitted
}

// restart simulates an engine restart, which loses all resident items.
func (runner *runner) restart() {
	clear(runner.reserved)
	clear(runner.freedAt)
}

// usable returns the servers with a usable copy of model.
func (world *world) usable(model names.Model) []*runner {
	item := ledger.Item{Model: model}
	var found []*runner
	for _, runner := range world.runners {
		_, isReserved := runner.reserved[item]
		if runner.alive && isReserved && !world.now.Before(runner.usableAt[item]) {
			found = append(found, runner)
		}
	}
	return found
}

// loading counts the actual loads in progress that the plan permits.
func (world *world) loading() (models, adapters int) {
	for _, runner := range world.runners {
		for item := range runner.reserved {
			switch {
			case !runner.alive || runner.stale[item] || !world.now.Before(runner.usableAt[item]):
			case item.Adapter == "":
				models++
			default:
				adapters++
			}
		}
	}
	return models, adapters
}
