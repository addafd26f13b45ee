package place

import (
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
)

// Planner decides on the plan. It is not safe for concurrent use.
type Planner struct {
	config   Config
	plan     *Plan
	spots    map[names.BackendServer]*spot
	ordered  []*spot
	demand   map[names.Model]*smooth
	adapters map[ledger.Item]*smooth
	worst    map[names.Model]float64
	copies   map[names.Model]*copies
	moves    bucket
	loads    bucket
	// loading and adapting count loads under way.
	loading, adapting int
	// shifted tells that this step looked for a copy to shift.
	shifted bool
}

// NewPlanner returns a planner that has no plan yet.
func NewPlanner(config Config) *Planner {
	planner := &Planner{config: config.withDefaults(), demand: map[names.Model]*smooth{}, adapters: map[ledger.Item]*smooth{}}
	planner.Adopt(NewPlan(PlanConfig{}))
	return planner
}

// Adopt goes on from plan, such as one that another planner wrote. What this
// planner may still move and load is forgotten, so that two planners together
// stay within the bounds of one.
func (planner *Planner) Adopt(plan *Plan) {
	config := &planner.config
	planner.plan = plan
	planner.moves = bucket{rate: config.MovesPerHour / time.Hour.Seconds(), burst: config.MoveBurst}
	planner.loads = bucket{rate: config.LoadsPerSecond, burst: float64(config.LoadsAtOnce)}
	planner.spots = make(map[names.BackendServer]*spot, len(plan.Targets()))
	for _, target := range plan.Targets() {
		spot := planner.spot(target.Server)
		spot.changed, spot.role, spot.known = target.Changed, target.Role, true
		for _, assignment := range target.Items {
			spot.items[assignment.Weights.Item] = &held{bytes: assignment.Weights.Bytes, load: assignment.MayLoad}
		}
	}
}

// Plan returns the plan in force.
func (planner *Planner) Plan() *Plan { return planner.plan }

// Step returns the plan for input, written under epoch, and tells whether it
// differs from the one before. Call [Planner.Adopt] if it was not stored.
func (planner *Planner) Step(now time.Time, epoch int64, input Input) (*Plan, bool) {
	planner.moves.fill(now)
	planner.loads.fill(now)
	planner.observeServers(now, input.Servers)
	planner.observeDemand(now, input)
	planner.settle(now)
	planner.shifted = false
	planner.countCopies(input)
	for _, need := range planner.needs(input) {
		planner.meet(now, need)
	}
	planner.placeAdapters(now, input)
	return planner.publish(epoch)
}

func (planner *Planner) spot(server names.BackendServer) *spot {
	found := planner.spots[server]
	if found == nil {
		found = &spot{name: server, role: engine.RoleMixed, items: map[ledger.Item]*held{}}
		planner.spots[server] = found
	}
	return found
}

func (planner *Planner) observeServers(now time.Time, servers []Server) {
	listed := make(map[names.BackendServer]bool, len(servers))
	for i := range servers {
		listed[servers[i].Name] = true
		planner.spot(servers[i].Name).observe(now, &servers[i], &planner.config)
	}
	planner.ordered = planner.ordered[:0]
	for name, spot := range planner.spots {
		if !listed[name] {
			setDefault(&spot.seen, now)
			spot.server, spot.fresh, spot.confirmed = nil, false, false
			if now.Sub(spot.seen) > planner.config.AbsenceTimeout {
				delete(planner.spots, name)
				continue
			}
		}
		planner.ordered = append(planner.ordered, spot)
	}
	sort.Slice(planner.ordered, func(i, j int) bool { return planner.ordered[i].name < planner.ordered[j].name })
}

func (planner *Planner) observeDemand(now time.Time, input Input) {
	asked := make(map[names.Model]Demand, len(input.Demands))
	planner.worst = make(map[names.Model]float64, len(input.Demands))
	for _, demand := range input.Demands {
		asked[demand.Model] = demand
		planner.worst[demand.Model] = demand.WorstAttainment
	}
	for _, model := range input.Models {
		demand := asked[model.Name()]
		follow(planner.demand, model.Name()).observe(now, demand.TokensPerSecond, planner.config.RiseTime, planner.config.FallTime)
		for _, adapter := range model.Adapters() {
			item := ledger.Item{Model: model.Name(), Adapter: adapter.Name()}
			follow(planner.adapters, item).observe(now, demand.Adapters[adapter.Name()], planner.config.RiseTime, planner.config.FallTime)
		}
	}
}

func follow[K comparable](rates map[K]*smooth, key K) *smooth {
	found := rates[key]
	if found == nil {
		found = &smooth{}
		rates[key] = found
	}
	return found
}

// settle ends permissions to load that are used up or took too long, and
// counts the loads that may be under way. An agent that did not confirm the
// permission in half of the time may not use it any more, so that the load of
// one that heard of it right before that ends while it is counted.
func (planner *Planner) settle(now time.Time) {
	planner.loading, planner.adapting = 0, 0
	for _, spot := range planner.ordered {
		for item, held := range spot.items {
			if held.load {
				planner.settleLoad(now, spot, item, held)
			}
			switch {
			case spot.confirmed && spot.usable[item] || held.since.IsZero():
			case now.Sub(held.since) > planner.config.LoadTimeout:
			case item.Adapter == "":
				planner.loading++
			default:
				planner.adapting++
			}
		}
	}
}

func (planner *Planner) settleLoad(now time.Time, spot *spot, item ledger.Item, held *held) {
	setDefault(&held.since, now)
	age := now.Sub(held.since)
	switch {
	case spot.confirmed && spot.usable[item]:
		held.load, held.since, spot.dirty = false, time.Time{}, true
	case age > planner.config.LoadTimeout, !spot.confirmed && age > planner.config.LoadTimeout/2:
		held.load, spot.dirty = false, true
		spot.barredUntil = now.Add(planner.config.LoadTimeout)
	}
}

// publish makes a plan of what this step changed.
func (planner *Planner) publish(epoch int64) (*Plan, bool) {
	version := planner.plan.Version() + 1
	targets := make([]Target, 0, len(planner.ordered))
	changed := false
	for _, spot := range planner.ordered {
		switch target, found := planner.plan.Target(spot.name); {
		case spot.dirty:
			spot.changed, spot.dirty, changed = version, false, true
			targets = append(targets, spot.target())
		case found:
			targets = append(targets, target)
		}
	}
	if changed || len(targets) != len(planner.plan.Targets()) {
		planner.plan = NewPlan(PlanConfig{Epoch: epoch, Version: version, Targets: targets})
		return planner.plan, true
	}
	return planner.plan, false
}
