package coord

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// planPeriod is the time between two plans: a load takes 0.3 to 2 s, and demand
	// moves within 4 to 6 s.
	planPeriod = 200 * time.Millisecond
	// reportLifetime is how long an entry's report counts.
	reportLifetime = 2 * time.Second
	// dividePeriod is the least time between two moves of shares; each is a write.
	dividePeriod = 500 * time.Millisecond
	// suspectsPeriod is the time between two looks for suspects to write down; a request
	// that crashes servers comes again after a fraction of a second or more.
	suspectsPeriod = 500 * time.Millisecond
	// keepTimeout bounds a call of the platform's service, which answers within a
	// quarter of a second when slow.
	keepTimeout = 600 * time.Millisecond
	// headPeriod is the time between two looks at how far the platform's service has
	// come. A watch that hears nothing has to be found within half of the time in
	// which a new version of the policy has to be in force.
	headPeriod = 500 * time.Millisecond
	// freshReport is the age up to which a report shows that an entry follows this
	// coordinator; memberLifetime that up to which the entry counts at all, longer
	// than a cut lasts: a coordinator that is cut off must not count itself as most.
	freshReport    = 700 * time.Millisecond
	memberLifetime = time.Minute
	// loadsPerExchange is how many loads an answer may hold at the pace of reports;
	// where there are more servers, entries are told of loads less often.
	loadsPerExchange = 500
	// plannedPart is the part of its time that the coordinator plans at most.
	plannedPart = 0.1
	// watchPeriod is the least time between two looks at what engines hold: entries
	// report more often than that changes.
	watchPeriod = 40 * time.Millisecond
	// departureLifetime is how long entries are told of a server that leaves: several
	// reports, as some are lost.
	departureLifetime = 2 * time.Second
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
	// Doubtful returns the term where the lease ran out only because the platform's
	// service does not answer, else zero.
	Doubtful func() int64
	// Fenced tells that engines refuse orders of former terms.
	Fenced bool
	// Shares keeps the record of shares.
	Shares ShareKeeper
	// Crashes keeps the record of suspects.
	Crashes CrashKeeper
	// Mirror follows the platform's keys.
	Mirror Mirror
	// Head returns the revision that the platform's service has reached.
	Head func(ctx context.Context) (store.Revision, error)
	// LoadWindow is the span over which loads from the weight store are bounded.
	LoadWindow time.Duration
}

// ShareKeeper keeps the record of shares in the platform's service.
type ShareKeeper interface {
	// Recorded returns the record that was read last.
	Recorded() share.Record
	// Keep writes a record in place of the one that was read last.
	Keep(ctx context.Context, record share.Record) error
}

// Mirror is a local copy of the platform's keys.
type Mirror interface {
	// Revision is how far the copy has come.
	Revision() store.Revision
	// ExpectRevision tells how far the service has come.
	ExpectRevision(revision store.Revision)
	// Confirm is Verify with a revision that the service told just now.
	Confirm(revision store.Revision)
	// Since returns changes for another copy, and false where this one may be out
	// of date.
	Since(after store.Revision) (entries []store.Entry, to store.Revision, whole, fresh bool)
	// Apply takes changes of another copy.
	Apply(entries []store.Entry, to store.Revision, whole bool)
	// Detach tells that the copy that fed this one may be out of date.
	Detach()
	// ClearConfirmation tells that the service did not answer.
	ClearConfirmation()
}

// Desk coordinates while its entry is elected. It is safe for concurrent use.
type Desk struct {
	config DeskConfig
	// head asks the platform's service; the client of the same entry does, too, where
	// no coordinator tells it the revision.
	head *headReader
	// mutex guards all below.
	mutex sync.Mutex
	term  *term
	// former keeps the orders of the term that ended last.
	former *copies.Keeper
	// revision is what the platform's service was seen to have reached.
	revision store.Revision
}

// term is the state of one election.
type term struct {
	number  int64
	began   time.Time
	cancel  context.CancelFunc
	keeper  *copies.Keeper
	planner map[names.Service]*copies.Planner
	// planAt is when to plan next; only plans use it.
	planAt  time.Time
	divider *share.Divider
	bank    *share.Lender
	tally   *crash.Tally
	// kept is up to which sighting the record of suspects has been written.
	kept    int64
	reports map[names.Instance]received
	// known is how many entries had reported when reports were swept last.
	known int
	// totals are the loads of all reports that count.
	totals map[names.BackendServer]int
	swept  time.Time
	demand map[Target]*copies.Trend
	// holdings is what engines held at watched.
	holdings *holdings
	watched  time.Time
	// departures are servers that said that they leave, with when that was told first.
	departures map[pool.Departure]time.Time
}

type received struct {
	at      time.Time
	loads   map[names.BackendServer]int
	waiting map[Target]int
	// told is when the entry was last told the loads of the others.
	told time.Time
}

// NewDesk returns a desk that does not coordinate.
func NewDesk(config DeskConfig) *Desk {
	return &Desk{config: config, head: &headReader{head: config.Head, mirror: config.Mirror, log: config.Log}}
}

// Elected begins a term.
func (desk *Desk) Elected(ctx context.Context, number int64) {
	now := desk.config.Clock.Now()
	termCtx, cancel := context.WithCancel(ctx)
	divider := share.NewDivider(share.DividerConfig{Term: number, Now: now, Record: desk.config.Shares.Recorded()})
	begun := &term{
		number: number,
		began:  now,
		cancel: cancel,
		keeper: copies.NewKeeper(copies.KeeperConfig{
			Engine: desk.config.Engine, Clock: desk.config.Clock, Log: desk.config.Log, Holder: string(desk.config.Instance),
			Term: func() int64 { return desk.acting(number) },
		}),
		planner: map[names.Service]*copies.Planner{},
		divider: divider,
		bank:    share.NewLender(divider),
		tally:   crash.NewTally(),
		reports: map[names.Instance]received{},
		totals:  map[names.BackendServer]int{},
		demand:  map[Target]*copies.Trend{},

		holdings:   newHoldings(),
		departures: map[pool.Departure]time.Time{},
	}
	desk.mutex.Lock()
	desk.term = begun
	desk.mutex.Unlock()
	desk.config.Clock.Subscribe(termCtx, planPeriod, func(ctx context.Context, now time.Time) { desk.plan(ctx, begun, now) })
	desk.config.Clock.Subscribe(termCtx, dividePeriod, func(ctx context.Context, now time.Time) { desk.divide(ctx, begun, now) })
	desk.config.Clock.Subscribe(termCtx, suspectsPeriod, func(ctx context.Context, _ time.Time) { desk.keepSuspects(ctx, begun) })
	desk.config.Clock.Subscribe(termCtx, headPeriod, func(ctx context.Context, _ time.Time) { desk.look(ctx) })
}

// acting returns number while this entry may give orders in that term, else
// zero. Without a lease it may while engines refuse orders of former terms and
// most entries still report here, which they do not where they see another
// coordinator.
func (desk *Desk) acting(number int64) int64 {
	if desk.config.Term() == number {
		return number
	}
	if !desk.config.Fenced || desk.config.Doubtful() != number {
		return 0
	}
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	if desk.term == nil || desk.term.number != number || !desk.term.followed(desk.config.Clock.Now()) {
		return 0
	}
	return number
}

// led returns the term that this entry leads, with or without its lease. It is
// called with the mutex held, and fails with a *[NotCoordinatingError].
func (desk *Desk) led(snapshot *policy.Snapshot) (*term, error) {
	current := desk.term
	if current == nil || snapshot == nil ||
		(desk.config.Term() != current.number && desk.config.Doubtful() != current.number) {
		return nil, &NotCoordinatingError{Instance: desk.config.Instance}
	}
	return current, nil
}

// followed tells whether most entries report here. It is called with the desk's
// mutex held.
func (term *term) followed(now time.Time) bool {
	known, fresh := 0, 0
	for _, entry := range term.reports {
		if now.Sub(entry.at) < memberLifetime {
			known++
		}
		if now.Sub(entry.at) < freshReport {
			fresh++
		}
	}
	return 2*fresh > known
}

// entries is how many entries have reported in the last minute, or zero until all
// that live have had the time to. It is called with the desk's mutex held.
func (term *term) entries(now time.Time) int {
	if now.Sub(term.began) < reportLifetime {
		return 0
	}
	return term.known
}

// divide moves shares, once the record of them is kept.
func (desk *Desk) divide(ctx context.Context, current *term, now time.Time) {
	snapshot := desk.config.Policy()
	if snapshot == nil || desk.config.Term() != current.number {
		return
	}
	desk.mutex.Lock()
	record, raised := current.divider.Propose(limited(snapshot), now)
	desk.mutex.Unlock()
	if !raised {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if err := desk.config.Shares.Keep(callCtx, record); err != nil {
		event.SharesUnkept.Log(desk.config.Log, logrus.Fields{"term": current.number, "cause": err.Error()})
		return
	}
	desk.mutex.Lock()
	current.divider.Commit(record)
	desk.mutex.Unlock()
	event.SharesMoved.Log(desk.config.Log, logrus.Fields{"term": current.number, "holders": len(record)})
}

// look reads how far the platform's service has come.
func (desk *Desk) look(ctx context.Context) {
	revision, read := desk.head.read(ctx)
	if !read {
		return
	}
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.revision = max(desk.revision, revision)
}

// Ended ends the term.
func (desk *Desk) Ended() {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	if desk.term != nil {
		desk.term.cancel()
		desk.former = desk.term.keeper
		desk.term = nil
	}
}

// Settle waits until no order of a term that has ended is on its way, or ctx ends.
func (desk *Desk) Settle(ctx context.Context) error {
	desk.mutex.Lock()
	former := desk.former
	desk.mutex.Unlock()
	if former == nil {
		return nil
	}
	return former.Settle(ctx)
}

// Exchange takes in an entry's report. It fails with a *[NotCoordinatingError].
func (desk *Desk) Exchange(report Report) (Reply, error) {
	now := desk.config.Clock.Now()
	snapshot := desk.config.Policy()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	current, err := desk.led(snapshot)
	if err != nil {
		return Reply{}, err
	}
	entry := received{at: now, loads: report.Loads, waiting: map[Target]int{}}
	for target, demand := range report.Demands {
		known, found := current.demand[target]
		if !found {
			known = copies.NewTrend()
			current.demand[target] = known
		}
		known.Add(demand.Work, now)
		entry.waiting[target] = demand.Waiting
	}
	current.replace(report.Instance, entry, now)
	reply := Reply{Term: current.number, Revision: desk.revision, Entries: current.entries(now)}
	reply.Suspects, reply.SuspectsNumber = current.suspects(report, now)
	if report.Instance != desk.config.Instance {
		reply.Changes, reply.ChangesTo, reply.Whole, reply.Fresh = desk.config.Mirror.Since(report.Revision)
	}
	reply.Assigned = current.divider.Report(report.Instance, report.Held, now)
	current.bank.SetExclusive(desk.config.Term() == current.number)
	reply.Assigned.Lent = current.bank.LendAhead(report.Instance, report.Held, snapshot, now)
	reply.Loads = current.loadsFor(report.Instance, now)
	current.watch(snapshot, now)
	reply.Holdings, reply.HoldingsVersion = current.holdings.since(report.Holdings, current.number)
	reply.Departures = current.departed(report.Departures, now)
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

// Borrow takes cost of an account's limits. It fails with a
// *[NotCoordinatingError]; where nothing is left it returns how long.
func (desk *Desk) Borrow(name names.ClientAccount, cost float64) (time.Duration, bool, error) {
	now := desk.config.Clock.Now()
	snapshot := desk.config.Policy()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	current, err := desk.led(snapshot)
	if err != nil {
		return 0, false, err
	}
	for _, account := range snapshot.Accounts() {
		if account.Name == name {
			current.bank.SetExclusive(desk.config.Term() == current.number)
			wait, lent := current.bank.Lend(account, cost, now)
			return wait, lent, nil
		}
	}
	return 0, false, &UnknownAccountError{Account: name}
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
	if snapshot == nil || desk.acting(current.number) == 0 || now.Before(current.planAt) {
		return
	}
	defer func() {
		took := desk.config.Clock.Now().Sub(now)
		current.planAt = now.Add(time.Duration(float64(took) / plannedPart))
	}()
	current.keeper.Sync(desk.config.Servers(now), now)
	for _, service := range snapshot.Services() {
		if service.Engine == nil {
			continue
		}
		current.keeper.Learn(ctx, service.Name)
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
		if known, found := term.demand[target]; found {
			demand.Work, demand.Steady = known.Ahead(now), known.Steady(now)
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
