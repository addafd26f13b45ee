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
	// shareUpdatePeriod is the least time between two moves of shares; each is a write.
	shareUpdatePeriod = 500 * time.Millisecond
	// suspicionsPeriod is the time between two looks for suspects to write down; a request
	// that crashes servers comes again after a fraction of a second or more.
	suspicionsPeriod = 500 * time.Millisecond
	// storeTimeout bounds a call of the platform's service, which answers within a
	// quarter of a second when slow.
	storeTimeout = 600 * time.Millisecond
	// revisionPeriod is the time between two looks at how far the platform's service has
	// come. A watch that hears nothing has to be found within half of the time in
	// which a new version of the policy has to be in force.
	revisionPeriod = 500 * time.Millisecond
	// freshReportAge is the age up to which a report shows that an entry follows this
	// coordinator; memberLifetime that up to which the entry counts at all, longer
	// than a cut lasts: a coordinator that is cut off must not count itself as most.
	freshReportAge = 700 * time.Millisecond
	entryLifetime  = time.Minute
	// loadsPerReply is how many loads an answer may hold at the pace of reports;
	// where there are more servers, entries are told of loads less often.
	loadsPerReply = 500
	// planningFraction is the part of its time that the coordinator plans at most.
	planningFraction = 0.1
	// holdingsPeriod is the least time between two looks at what engines hold: entries
	// report more often than that changes.
	holdingsPeriod = 40 * time.Millisecond
	// departureLifetime is how long entries are told of a server that leaves: several
	// reports, as some are lost.
	departureLifetime = 2 * time.Second
	// negligibleWork is the demand, in engines, that counts as none.
	negligibleWork = 0.0005
)

// CoordinatorConfig carries what a [Coordinator] is built from.
type CoordinatorConfig struct {
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
	// UnconfirmedTerm returns the term where the lease ran out only because the platform's
	// service does not answer, else zero.
	UnconfirmedTerm func() int64
	// Fenced tells that engines refuse orders of former terms.
	Fenced bool
	// ShareStore keeps the record of shares.
	ShareStore ShareStore
	// CrashStore keeps the record of suspects.
	CrashStore CrashStore
	// Mirror follows the platform's keys.
	Mirror Mirror
	// LatestRevision returns the revision that the platform's service has reached.
	LatestRevision func(ctx context.Context) (store.Revision, error)
	// LoadWindow is the span over which loads from the weight store are bounded.
	LoadWindow time.Duration
}

// ShareStore keeps the record of shares in the platform's service.
type ShareStore interface {
	// LastRecord returns the record that was read last.
	LastRecord() share.Record
	// StoreShares writes a record in place of the one that was read last.
	StoreShares(ctx context.Context, record share.Record) error
}

// Mirror is a local copy of the platform's keys.
type Mirror interface {
	// Revision is how far the copy has come.
	Revision() store.Revision
	// Verify tells how far the service has come.
	Verify(revision store.Revision)
	// Confirm is Verify with a revision that the service told just now.
	Confirm(revision store.Revision)
	// Since returns changes for another copy, and false where this one may be out
	// of date.
	Since(after store.Revision) (entries []store.Entry, to store.Revision, whole, fresh bool)
	// Feed takes changes of another copy.
	Feed(entries []store.Entry, to store.Revision, whole bool)
	// Unfeed tells that the copy that fed this one may be out of date.
	Unfeed()
	// Doubt tells that the service did not answer.
	Doubt()
}

// Coordinator coordinates while its entry is elected. It is safe for concurrent use.
type Coordinator struct {
	config CoordinatorConfig
	// revisionReader asks the platform's service; the client of the same entry does, too, where
	// no coordinator tells it the revision.
	revisionReader *revisionReader
	// mutex guards all below.
	mutex sync.Mutex
	term  *term
	// formerDispatcher keeps the orders of the term that ended last.
	formerDispatcher *copies.Keeper
	// revision is what the platform's service was seen to have reached.
	revision store.Revision
}

// term is the state of one election.
type term struct {
	number     int64
	startedAt  time.Time
	cancel     context.CancelFunc
	dispatcher *copies.Keeper
	planners   map[names.Service]*copies.Planner
	// nextPlanAt is when to plan next; only plans use it.
	nextPlanAt time.Time
	divider    *share.Divider
	lender     *share.Bank
	aggregator *crash.Tally
	// storedSuspicions is up to which sighting the record of suspects has been written.
	storedSuspicions int64
	reports          map[names.Instance]entryReport
	// entryCount is how many entries had reported when reports were swept last.
	entryCount int
	// totalLoads are the loads of all reports that count.
	totalLoads map[names.BackendServer]int
	sweptAt    time.Time
	trends     map[Target]*copies.Trend
	// holdings is what engines held at watched.
	holdings       *holdings
	holdingsReadAt time.Time
	// departures are servers that said that they leave, with when that was told first.
	departures map[pool.Departure]time.Time
}

type entryReport struct {
	receivedAt time.Time
	loads      map[names.BackendServer]int
	waiting    map[Target]int
	// loadsSentAt is when the entry was last told the loads of the others.
	loadsSentAt time.Time
}

// NewCoordinator returns a desk that does not coordinate.
func NewCoordinator(config CoordinatorConfig) *Coordinator {
	return &Coordinator{config: config, revisionReader: &revisionReader{latest: config.LatestRevision, mirror: config.Mirror, log: config.Log}}
}

// BeginTerm begins a term.
func (coordinator *Coordinator) BeginTerm(ctx context.Context, number int64) {
	now := coordinator.config.Clock.Now()
	termCtx, cancel := context.WithCancel(ctx)
	divider := share.NewDivider(share.DividerConfig{Term: number, Now: now, Record: coordinator.config.ShareStore.LastRecord()})
	term := &term{
		number:    number,
		startedAt: now,
		cancel:    cancel,
		dispatcher: copies.NewKeeper(copies.KeeperConfig{
			Engine: coordinator.config.Engine, Clock: coordinator.config.Clock, Log: coordinator.config.Log, Holder: string(coordinator.config.Instance),
			Term: func() int64 { return coordinator.orderTerm(number) },
		}),
		planners:   map[names.Service]*copies.Planner{},
		divider:    divider,
		lender:     share.NewBank(divider),
		aggregator: crash.NewTally(),
		reports:    map[names.Instance]entryReport{},
		totalLoads: map[names.BackendServer]int{},
		trends:     map[Target]*copies.Trend{},

		holdings:   newHoldings(),
		departures: map[pool.Departure]time.Time{},
	}
	coordinator.mutex.Lock()
	coordinator.term = term
	coordinator.mutex.Unlock()
	coordinator.config.Clock.Subscribe(termCtx, planPeriod, func(ctx context.Context, now time.Time) { coordinator.planCopies(ctx, term, now) })
	coordinator.config.Clock.Subscribe(termCtx, shareUpdatePeriod, func(ctx context.Context, now time.Time) { coordinator.updateShares(ctx, term, now) })
	coordinator.config.Clock.Subscribe(termCtx, suspicionsPeriod, func(ctx context.Context, _ time.Time) { coordinator.storeSuspicions(ctx, term) })
	coordinator.config.Clock.Subscribe(termCtx, revisionPeriod, func(ctx context.Context, _ time.Time) { coordinator.readRevision(ctx) })
}

// orderTerm returns number while this entry may give orders in that term, else
// zero. Without a lease it may while engines refuse orders of former terms and
// most entries still report here, which they do not where they see another
// coordinator.
func (coordinator *Coordinator) orderTerm(number int64) int64 {
	if coordinator.config.Term() == number {
		return number
	}
	if !coordinator.config.Fenced || coordinator.config.UnconfirmedTerm() != number {
		return 0
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if coordinator.term == nil || coordinator.term.number != number || !coordinator.term.hasMajority(coordinator.config.Clock.Now()) {
		return 0
	}
	return number
}

// currentTerm returns the term that this entry leads, with or without its lease. It is
// called with the mutex held, and fails with a *[NotCoordinatingError].
func (coordinator *Coordinator) currentTerm(snapshot *policy.Snapshot) (*term, error) {
	term := coordinator.term
	if term == nil || snapshot == nil ||
		(coordinator.config.Term() != term.number && coordinator.config.UnconfirmedTerm() != term.number) {
		return nil, &NotCoordinatingError{Instance: coordinator.config.Instance}
	}
	return term, nil
}

// hasMajority tells whether most entries report here. It is called with the desk's
// mutex held.
func (term *term) hasMajority(now time.Time) bool {
	recent, fresh := 0, 0
	for _, entryReport := range term.reports {
		if now.Sub(entryReport.receivedAt) < entryLifetime {
			recent++
		}
		if now.Sub(entryReport.receivedAt) < freshReportAge {
			fresh++
		}
	}
	return 2*fresh > recent
}

// reportedEntries is how many entries have reported in the last minute, or zero until all
// that live have had the time to. It is called with the desk's mutex held.
func (term *term) reportedEntries(now time.Time) int {
	if now.Sub(term.startedAt) < reportLifetime {
		return 0
	}
	return term.entryCount
}

// updateShares moves shares, once the record of them is kept.
func (coordinator *Coordinator) updateShares(ctx context.Context, term *term, now time.Time) {
	snapshot := coordinator.config.Policy()
	if snapshot == nil || coordinator.config.Term() != term.number {
		return
	}
	coordinator.mutex.Lock()
	record, changed := term.divider.Propose(limitedAccounts(snapshot), now)
	coordinator.mutex.Unlock()
	if !changed {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := coordinator.config.ShareStore.StoreShares(callCtx, record); err != nil {
		event.SharesUnkept.Log(coordinator.config.Log, logrus.Fields{"term": term.number, "cause": err.Error()})
		return
	}
	coordinator.mutex.Lock()
	term.divider.Commit(record)
	coordinator.mutex.Unlock()
	event.SharesMoved.Log(coordinator.config.Log, logrus.Fields{"term": term.number, "holders": len(record)})
}

// readRevision reads how far the platform's service has come.
func (coordinator *Coordinator) readRevision(ctx context.Context) {
	revision, ok := coordinator.revisionReader.ok(ctx)
	if !ok {
		return
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.revision = max(coordinator.revision, revision)
}

// EndTerm ends the term.
func (coordinator *Coordinator) EndTerm() {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if coordinator.term != nil {
		coordinator.term.cancel()
		coordinator.formerDispatcher = coordinator.term.dispatcher
		coordinator.term = nil
	}
}

// WaitForOrders waits until no order of a term that has ended is on its way, or ctx ends.
func (coordinator *Coordinator) WaitForOrders(ctx context.Context) error {
	coordinator.mutex.Lock()
	formerDispatcher := coordinator.formerDispatcher
	coordinator.mutex.Unlock()
	if formerDispatcher == nil {
		return nil
	}
	return formerDispatcher.Settle(ctx)
}

// Exchange takes in an entry's report. It fails with a *[NotCoordinatingError].
func (coordinator *Coordinator) Exchange(report Report) (Reply, error) {
	now := coordinator.config.Clock.Now()
	snapshot := coordinator.config.Policy()
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	term, err := coordinator.currentTerm(snapshot)
	if err != nil {
		return Reply{}, err
	}
	entryReport := entryReport{receivedAt: now, loads: report.Loads, waiting: map[Target]int{}}
	for target, demand := range report.Demands {
		trend, found := term.trends[target]
		if !found {
			trend = copies.NewTrend()
			term.trends[target] = trend
		}
		trend.Add(demand.Work, now)
		entryReport.waiting[target] = demand.Waiting
	}
	term.storeReport(report.Instance, entryReport, now)
	reply := Reply{Term: term.number, Revision: coordinator.revision, Entries: term.reportedEntries(now)}
	reply.Suspicions, reply.SuspicionsVersion = term.exchangeSuspicions(report, now)
	if report.Instance != coordinator.config.Instance {
		reply.Changes, reply.ChangesTo, reply.Whole, reply.Fresh = coordinator.config.Mirror.Since(report.Revision)
	}
	reply.Assigned = term.divider.Report(report.Instance, report.ShareState, now)
	term.lender.Hold(coordinator.config.Term() == term.number)
	reply.Assigned.Lent = term.lender.Settle(report.Instance, report.ShareState, snapshot, now)
	reply.Loads = term.loadsFor(report.Instance, now)
	term.refreshHoldings(snapshot, now)
	reply.Holdings, reply.HoldingsVersion = term.holdings.since(report.Holdings, term.number)
	reply.Departures = term.updateDepartures(report.Departures, now)
	return reply, nil
}

// limitedAccounts lists the accounts that have a limit.
func limitedAccounts(snapshot *policy.Snapshot) []names.ClientAccount {
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
func (coordinator *Coordinator) Borrow(name names.ClientAccount, cost float64) (time.Duration, bool, error) {
	now := coordinator.config.Clock.Now()
	snapshot := coordinator.config.Policy()
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	term, err := coordinator.currentTerm(snapshot)
	if err != nil {
		return 0, false, err
	}
	for _, account := range snapshot.Accounts() {
		if account.Name == name {
			term.lender.Hold(coordinator.config.Term() == term.number)
			wait, lent := term.lender.Lend(account, cost, now)
			return wait, lent, nil
		}
	}
	return 0, false, &UnknownAccountError{Account: name}
}

// LoadAdapter has an adapter loaded. It fails with a *[NotCoordinatingError] or an
// error of [copies].
func (coordinator *Coordinator) LoadAdapter(ctx context.Context, server names.BackendServer, adapter pool.Adapter) error {
	snapshot := coordinator.config.Policy()
	coordinator.mutex.Lock()
	term := coordinator.term
	coordinator.mutex.Unlock()
	if term == nil || snapshot == nil {
		return &NotCoordinatingError{Instance: coordinator.config.Instance}
	}
	for _, service := range snapshot.Services() {
		if service.Engine == nil {
			continue
		}
		if _, known := service.Engine.Models[adapter.Model]; known {
			return term.dispatcher.Adapter(ctx, server, adapter, service.Engine)
		}
	}
	return &copies.UnknownEngineError{Server: server}
}

// planCopies looks for copies to add.
func (coordinator *Coordinator) planCopies(ctx context.Context, term *term, now time.Time) {
	snapshot := coordinator.config.Policy()
	if snapshot == nil || coordinator.orderTerm(term.number) == 0 || now.Before(term.nextPlanAt) {
		return
	}
	defer func() {
		duration := coordinator.config.Clock.Now().Sub(now)
		term.nextPlanAt = now.Add(time.Duration(float64(duration) / planningFraction))
	}()
	term.dispatcher.Sync(coordinator.config.Servers(now), now)
	for _, service := range snapshot.Services() {
		if service.Engine == nil {
			continue
		}
		term.dispatcher.Learn(ctx, service.Name)
		input := copies.Input{Engine: service.Engine, Engines: term.dispatcher.States(service.Name), Now: now}
		coordinator.mutex.Lock()
		input.Demand = term.demandOf(service, now)
		planner, found := term.planners[service.Name]
		if !found {
			planner = copies.NewPlanner(copies.PlannerConfig{Window: coordinator.config.LoadWindow, Now: now, Former: term.predecessorLoads(service)})
			term.planners[service.Name] = planner
		}
		coordinator.mutex.Unlock()
		for _, step := range planner.Plan(input) {
			event.CopyPlanned.Log(coordinator.config.Log, logrus.Fields{
				"server": string(step.Server), "load": string(step.Load), "unload": step.Unload, "fromStore": step.FromStore,
				"work": input.Demand[step.Load].Work, "waiting": input.Demand[step.Load].Waiting, "term": term.number,
			})
			term.dispatcher.Begin(ctx, step, service.Engine)
		}
	}
}

// predecessorLoads is how many loads a coordinator before this one may have begun
// just now.
func (term *term) predecessorLoads(service *policy.Service) int {
	const predecessorFraction = 0.5
	return int(service.Engine.LoadsPerSecond * predecessorFraction)
}

// demandOf is called with the desk's mutex held.
func (term *term) demandOf(service *policy.Service, now time.Time) map[names.Model]copies.Demand {
	demands := map[names.Model]copies.Demand{}
	for name := range service.Engine.Models {
		target := Target{Service: service.Name, Model: name}
		demand := copies.Demand{}
		if trend, found := term.trends[target]; found {
			demand.Work, demand.Steady = trend.Ahead(now), trend.Steady(now)
		}
		if demand.Work < negligibleWork {
			demand.Work = 0
		}
		for _, entryReport := range term.reports {
			if now.Sub(entryReport.receivedAt) < reportLifetime {
				demand.Waiting += entryReport.waiting[target]
			}
		}
		demands[name] = demand
	}
	return demands
}
