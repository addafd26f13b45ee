package place

import (
	"sort"
	"time"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
)

// Planner makes plans from demand and the state of servers. It is not safe for
// concurrent use.
type Planner struct {
	config          Config
	plan            *Plan
	hosts           map[names.BackendServer]*host
	ordered         []*host
	demandRates     map[names.Model]*smoothedRate
	adapterRates    map[ledger.Item]*smoothedRate
	worstAttainment map[names.Model]float64
	copies          map[names.Model]*copies
	// moveTokens limits the copies added because of demand, and loadTokens the
	// loads of models.
	moveTokens tokenBucket
	loadTokens tokenBucket
	// loadingModels and loadingAdapters count the loads that may be in progress.
	loadingModels, loadingAdapters int
	// migrationTried is true if this step has tried a migration.
	migrationTried bool
}

// NewPlanner returns a planner with an empty plan.
func NewPlanner(config Config) *Planner {
	planner := &Planner{config: config.withDefaults(), demandRates: map[names.Model]*smoothedRate{}, adapterRates: map[ledger.Item]*smoothedRate{}}
	planner.Adopt(NewPlan(PlanConfig{}))
	return planner
}

// Adopt makes the planner continue from plan, for example one that another
// planner made. It resets the rate limits of moves and loads to zero tokens, so
// that two planners together stay within the limits of one.
func (planner *Planner) Adopt(plan *Plan) {
	config := &planner.config
	planner.plan = plan
	planner.moveTokens = tokenBucket{rate: config.MovesPerHour / time.Hour.Seconds(), burst: config.MoveBurst}
	planner.loadTokens = tokenBucket{rate: config.LoadsPerSecond, burst: float64(config.LoadsAtOnce)}
	planner.hosts = make(map[names.BackendServer]*host, len(plan.Targets()))
	for _, target := range plan.Targets() {
		host := planner.host(target.Server)
		host.changed, host.role, host.hasTarget = target.Changed, target.Role, true
		for _, assignment := range target.Items {
			host.placements[assignment.Weights.Item] = &placement{bytes: assignment.Weights.Bytes, mayLoad: assignment.MayLoad}
		}
	}
}

// Plan returns the current plan.
func (planner *Planner) Plan() *Plan { return planner.plan }

// Step returns the plan for input, made in epoch, and reports whether it differs
// from the previous one. The caller has to call [Planner.Adopt] with the stored
// plan if it could not store this one.
func (planner *Planner) Step(now time.Time, epoch int64, input Input) (*Plan, bool) {
	planner.moveTokens.refill(now)
	planner.loadTokens.refill(now)
	planner.observeServers(now, input.Servers)
	planner.observeDemand(now, input)
	planner.settleLoads(now)
	planner.migrationTried = false
	planner.countCopies(input)
	for _, need := range planner.needs(input) {
		planner.satisfy(now, need)
	}
	planner.placeAdapters(now, input)
	return planner.buildPlan(epoch)
}

// host returns the state of server, which it adds if there is none.
func (planner *Planner) host(server names.BackendServer) *host {
	found := planner.hosts[server]
	if found == nil {
		found = &host{name: server, role: engine.RoleMixed, placements: map[ledger.Item]*placement{}}
		planner.hosts[server] = found
	}
	return found
}

// observeServers updates the hosts, and removes those that have been missing
// from the membership list for longer than the absence timeout.
func (planner *Planner) observeServers(now time.Time, servers []Server) {
	listed := make(map[names.BackendServer]bool, len(servers))
	for i := range servers {
		listed[servers[i].Name] = true
		planner.host(servers[i].Name).observe(now, &servers[i], &planner.config)
	}
	planner.ordered = planner.ordered[:0]
	for name, host := range planner.hosts {
		if !listed[name] {
			setDefault(&host.lastListed, now)
			host.report, host.fresh, host.confirmed = nil, false, false
			if now.Sub(host.lastListed) > planner.config.AbsenceTimeout {
				delete(planner.hosts, name)
				continue
			}
		}
		planner.ordered = append(planner.ordered, host)
	}
	sort.Slice(planner.ordered, func(i, j int) bool { return planner.ordered[i].name < planner.ordered[j].name })
}

// observeDemand updates the smoothed rates of models and adapters.
func (planner *Planner) observeDemand(now time.Time, input Input) {
	demands := make(map[names.Model]Demand, len(input.Demands))
	planner.worstAttainment = make(map[names.Model]float64, len(input.Demands))
	for _, demand := range input.Demands {
		demands[demand.Model] = demand
		planner.worstAttainment[demand.Model] = demand.WorstAttainment
	}
	for _, model := range input.Models {
		demand := demands[model.Name()]
		rateFor(planner.demandRates, model.Name()).observe(now, demand.TokensPerSecond, planner.config.RiseTime, planner.config.FallTime)
		for _, adapter := range model.Adapters() {
			item := ledger.Item{Model: model.Name(), Adapter: adapter.Name()}
			rateFor(planner.adapterRates, item).observe(now, demand.Adapters[adapter.Name()], planner.config.RiseTime, planner.config.FallTime)
		}
	}
}

// rateFor returns the rate of key, which it adds if there is none.
func rateFor[K comparable](rates map[K]*smoothedRate, key K) *smoothedRate {
	found := rates[key]
	if found == nil {
		found = &smoothedRate{}
		rates[key] = found
	}
	return found
}

// settleLoads ends permissions to load after success or a timeout, and counts the
// loads that may be in progress. A permission that the agent has not confirmed
// within half of the load timeout is withdrawn. If the agent received it just
// before that, its load is still counted for the other half.
func (planner *Planner) settleLoads(now time.Time) {
	planner.loadingModels, planner.loadingAdapters = 0, 0
	for _, host := range planner.ordered {
		for item, placement := range host.placements {
			if placement.mayLoad {
				planner.settleLoad(now, host, item, placement)
			}
			switch {
			case host.confirmed && host.usable[item] || placement.permittedAt.IsZero():
			case now.Sub(placement.permittedAt) > planner.config.LoadTimeout:
			case item.Adapter == "":
				planner.loadingModels++
			default:
				planner.loadingAdapters++
			}
		}
	}
}

// settleLoad ends the permission of one item if the item is usable or its load
// timed out.
func (planner *Planner) settleLoad(now time.Time, host *host, item ledger.Item, placement *placement) {
	setDefault(&placement.permittedAt, now)
	age := now.Sub(placement.permittedAt)
	switch {
	case host.confirmed && host.usable[item]:
		placement.mayLoad, placement.permittedAt, host.dirty = false, time.Time{}, true
	case age > planner.config.LoadTimeout, !host.confirmed && age > planner.config.LoadTimeout/2:
		placement.mayLoad, host.dirty = false, true
		host.backoffUntil = now.Add(planner.config.LoadTimeout)
	}
}

// buildPlan returns a new plan, and true, if this step changed or removed a
// target. Otherwise it returns the current plan.
func (planner *Planner) buildPlan(epoch int64) (*Plan, bool) {
	version := planner.plan.Version() + 1
	targets := make([]Target, 0, len(planner.ordered))
	changed := false
	for _, host := range planner.ordered {
		switch target, found := planner.plan.Target(host.name); {
		case host.dirty:
			host.changed, host.dirty, changed = version, false, true
			targets = append(targets, host.target())
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
