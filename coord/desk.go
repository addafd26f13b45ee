package coord

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/rate"
	"github.com/basilkeel/basilkeel/share"
)

const (
	// planPeriod is the time between two plans: a load takes 0.3 to 2 s, and demand
	// moves within 4 to 6 s.
	planPeriod = 200 * time.Millisecond
	// demandHalfLife smooths demand: a few dozen requests for a busy model.
	demandHalfLife = 1200 * time.Millisecond
	// reportLifetime is how long an entry's report counts.
	reportLifetime = 2 * time.Second
	// negligibleWork is the demand, in engines, that counts as none.
	negligibleWork = 0.0005
)

// DeskConfig carries what a [Desk] is built from.
type DeskConfig struct {
	Engine copies.Engine
	Clock  *clock.Service
	Log    logrus.FieldLogger
	// Instance names this entry.
	Instance names.Instance
	// Policy returns the policy in force, or nil.
	Policy func() *policy.Snapshot
	// Servers returns the registry's servers.
	Servers func(now time.Time) []*pool.Server
	// Term returns this entry's term while it certainly coordinates, else zero.
	Term func() int64
	// Members lists the instances that may hold shares.
	Members func() []names.Instance
	// LoadWindow is the span over which loads from the weight store are bounded.
	LoadWindow time.Duration
}

// Desk coordinates while its entry is elected. It is safe for concurrent use.
type Desk struct {
	config DeskConfig
	// mutex guards all below.
	mutex sync.Mutex
	term  *term
}

// term is the state of one election.
type term struct {
	number  int64
	cancel  context.CancelFunc
	keeper  *copies.Keeper
	planner map[names.Service]*copies.Planner
	divider *share.Divider
	began   time.Time
	reports map[names.Instance]received
	demand  map[Target]*rate.Meter
}

type received struct {
	at      time.Time
	loads   map[names.BackendServer]int
	waiting map[Target]int
}

// NewDesk returns a desk that does not coordinate.
func NewDesk(config DeskConfig) *Desk { return &Desk{config: config} }

// Elected begins a term.
func (desk *Desk) Elected(ctx context.Context, number int64) {
	now := desk.config.Clock.Now()
	termCtx, cancel := context.WithCancel(ctx)
	begun := &term{
		number: number,
		cancel: cancel,
		keeper: copies.NewKeeper(copies.KeeperConfig{
			Engine: desk.config.Engine, Clock: desk.config.Clock, Log: desk.config.Log, Holder: string(desk.config.Instance),
			Term: func() int64 {
				if current := desk.config.Term(); current == number {
					return number
				}
				return 0
			},
		}),
		planner: map[names.Service]*copies.Planner{},
		divider: share.NewDivider(share.DividerConfig{Term: number, Now: now, Known: desk.config.Members()}),
		began:   now,
		reports: map[names.Instance]received{},
		demand:  map[Target]*rate.Meter{},
	}
	desk.mutex.Lock()
	desk.term = begun
	desk.mutex.Unlock()
	desk.config.Clock.Subscribe(termCtx, planPeriod, func(ctx context.Context, now time.Time) { desk.plan(ctx, begun, now) })
}

// Ended ends the term.
func (desk *Desk) Ended() {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	if desk.term != nil {
		desk.term.cancel()
		desk.term = nil
	}
}

// Exchange takes in an entry's report. It fails with a *[NotCoordinatingError].
func (desk *Desk) Exchange(report Report) (Reply, error) {
	now := desk.config.Clock.Now()
	snapshot := desk.config.Policy()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	current := desk.term
	if current == nil || snapshot == nil || desk.config.Term() != current.number {
		return Reply{}, &NotCoordinatingError{Instance: desk.config.Instance}
	}
	entry := received{at: now, loads: report.Loads, waiting: map[Target]int{}}
	for target, demand := range report.Demands {
		meter, found := current.demand[target]
		if !found {
			meter = rate.NewMeter(demandHalfLife)
			current.demand[target] = meter
		}
		meter.Add(demand.Work, now)
		entry.waiting[target] = demand.Waiting
	}
	current.reports[report.Instance] = entry
	reply := Reply{Term: current.number, Loads: map[names.BackendServer]int{}}
	reply.Assigned = current.divider.Report(report.Instance, report.Held, limited(snapshot), now)
	for instance, other := range current.reports {
		if instance == report.Instance || now.Sub(other.at) > reportLifetime {
			continue
		}
		for server, running := range other.loads {
			reply.Loads[server] += running
		}
	}
	for _, service := range snapshot.Services() {
		if service.Engine != nil {
			reply.Holdings = append(reply.Holdings, current.keeper.Holdings(service.Name)...)
		}
	}
	return reply, nil
}

// limited lists the accounts that have a limit.
func limited(snapshot *policy.Snapshot) []names.ClientAccount {
	var accounts []names.ClientAccount
	for _, account := range snapshot.Accounts() {
		if account.Rate > 0 {
			accounts = append(accounts, account.Name)
		}
	}
	return accounts
}

// Adapter has an adapter loaded. It fails with a *[NotCoordinatingError] or an
// error of [copies].
func (desk *Desk) Adapter(ctx context.Context, server names.BackendServer, adapter pool.Adapter) error {
	snapshot := desk.config.Policy()
	desk.mutex.Lock()
	current := desk.term
	desk.mutex.Unlock()
	if current == nil || snapshot == nil {
		return &NotCoordinatingError{Instance: desk.config.Instance}
	}
	for _, service := range snapshot.Services() {
		if service.Engine == nil {
			continue
		}
		if _, known := service.Engine.Models[adapter.Model]; known {
			return current.keeper.Adapter(ctx, server, adapter, service.Engine)
		}
	}
	return &copies.UnknownEngineError{Server: server}
}

// plan looks for copies to add.
func (desk *Desk) plan(ctx context.Context, current *term, now time.Time) {
	snapshot := desk.config.Policy()
	if snapshot == nil || desk.config.Term() != current.number {
		return
	}
	current.keeper.Sync(desk.config.Servers(now), now)
	for _, service := range snapshot.Services() {
		if service.Engine == nil {
			continue
		}
		input := copies.Input{Engine: service.Engine, Engines: current.keeper.States(service.Name), Now: now}
		desk.mutex.Lock()
		input.Demand = current.demandOf(service, now)
		planner, found := current.planner[service.Name]
		if !found {
			planner = copies.NewPlanner(copies.PlannerConfig{Window: desk.config.LoadWindow, Now: now, Former: current.formerLoads(service)})
			current.planner[service.Name] = planner
		}
		desk.mutex.Unlock()
		for _, step := range planner.Plan(input) {
			event.CopyPlanned.Log(desk.config.Log, logrus.Fields{
				"server": string(step.Server), "load": string(step.Load), "unload": step.Unload, "fromStore": step.FromStore,
				"work": input.Demand[step.Load].Work, "waiting": input.Demand[step.Load].Waiting, "term": current.number,
			})
			current.keeper.Begin(ctx, step, service.Engine)
		}
	}
}

// formerLoads is how many loads a coordinator before this one may have begun
// just now.
func (term *term) formerLoads(service *policy.Service) int {
	const formerShare = 0.5
	return int(service.Engine.LoadsPerSecond * formerShare)
}

// demandOf is called with the desk's mutex held.
func (term *term) demandOf(service *policy.Service, now time.Time) map[names.Model]copies.Demand {
	demands := map[names.Model]copies.Demand{}
	for name := range service.Engine.Models {
		target := Target{Service: service.Name, Model: name}
		demand := copies.Demand{}
		if meter, found := term.demand[target]; found {
			demand.Work = meter.PerSecond(now)
		}
		if demand.Work < negligibleWork {
			demand.Work = 0
		}
		for _, entry := range term.reports {
			if now.Sub(entry.at) < reportLifetime {
				demand.Waiting += entry.waiting[target]
			}
		}
		demands[name] = demand
	}
	return demands
}
