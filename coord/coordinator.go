package coord

import (
	"context"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/rate"
	"github.com/basilkeel/basilkeel/sched"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// planPeriod is the time between two plans. A load takes 0.3 to 2 s, and demand
	// moves within 4 to 6 s.
	planPeriod = 200 * time.Millisecond
	// reportLifetime is how long the loads and waiting requests of a report count.
	reportLifetime = 2 * time.Second
	// shareUpdatePeriod is the time between two updates of shares, each of which is a
	// write to the platform's service.
	shareUpdatePeriod = 500 * time.Millisecond
	// suspicionsPeriod is the time between two checks for suspicions to store. Callers
	// repeat a request that crashes servers after a fraction of a second or more.
	suspicionsPeriod = 500 * time.Millisecond
	// storeTimeout bounds a call to the platform's service, which answers within a
	// quarter of a second when slow.
	storeTimeout = 600 * time.Millisecond
	// revisionPeriod is the time between two reads of the platform service's revision.
	// A watch that misses changes has to be detected within half of the time in which a
	// new version of the policy has to be in force.
	revisionPeriod = 500 * time.Millisecond
	// freshReportAge is the age up to which a report shows that an entry follows this
	// coordinator. entryLifetime is the age up to which the entry counts at all. It is
	// longer than a network partition lasts, so that a coordinator that is cut off does
	// not count itself as the majority.
	freshReportAge = 700 * time.Millisecond
	entryLifetime  = time.Minute
	// loadsPerReply sets how often an entry is sent the loads of all servers: those of
	// n servers every n/loadsPerReply report periods, as replies have to stay small.
	loadsPerReply = 500
	// planningFraction is the largest fraction of its time that the coordinator spends
	// on planning.
	planningFraction = 0.1
	// holdingsPeriod is the least time between two updates of the holdings. Entries
	// report more often than holdings change.
	holdingsPeriod = 40 * time.Millisecond
	// departureLifetime is how long replies contain a server that leaves. It spans
	// several reports, as some are lost.
	departureLifetime = 2 * time.Second
	// negligibleWork is the demand, in engines, below which it counts as none.
	negligibleWork = 0.0005
)

// CoordinatorConfig configures a [Coordinator].
type CoordinatorConfig struct {
	Engine copies.EngineClient
	Clock  *clock.Service
	Log    logrus.FieldLogger
	// Instance names this entry.
	Instance names.Instance
	// Cores is the part of a core that this process may use.
	Cores   float64
	Metrics metrics.Registry
	// Policy returns the policy in force, or nil if there is none yet.
	Policy func() *policy.Snapshot
	// Servers returns the servers in the registry.
	Servers func(now time.Time) []*pool.Server
	// Evacuated reports whether nothing may be sent to the servers of a failure domain;
	// nil means that it never does.
	Evacuated func(domain names.FailureDomain) bool
	// ColdRate returns the rate that a server accepts while it is cold, or false. Nil
	// means that no server is.
	ColdRate func(server *pool.Server, now time.Time) (float64, bool)
	// Term returns this entry's term while it certainly is the coordinator, else zero.
	Term func() int64
	// UnconfirmedTerm returns this entry's term if its lease has expired only because
	// the platform's service does not answer, else zero.
	UnconfirmedTerm func() int64
	// Fenced reports whether engines refuse orders of former terms.
	Fenced bool
	// ShareStore stores the record of shares.
	ShareStore ShareStore
	// CrashStore stores the record of suspicions.
	CrashStore CrashStore
	// Mirror is this entry's copy of the platform's keys.
	Mirror Mirror
	// LatestRevision requests the latest revision of the platform's service.
	LatestRevision func(ctx context.Context) (store.Revision, error)
	// LoadWindow is the time window in which the number of loads from the weight store
	// is bounded.
	LoadWindow time.Duration
}

// ShareStore stores the record of shares in the platform's service.
type ShareStore interface {
	// LastRecord returns the record that was read last.
	LastRecord() share.Record
	// StoreShares replaces the record that was read last.
	StoreShares(ctx context.Context, record share.Record) error
}

// Mirror is a local copy of the platform's keys.
type Mirror interface {
	// Revision returns the revision of the copy.
	Revision() store.Revision
	// ExpectRevision compares the copy with a revision that the service is known to have
	// reached.
	ExpectRevision(revision store.Revision)
	// Confirm is ExpectRevision with a revision that the service has just returned.
	Confirm(revision store.Revision)
	// Since returns the changes after a revision for another copy, up to the revision
	// to. It reports in whole whether they are all keys rather than changes, and in
	// fresh whether this copy is certainly up to date.
	Since(after store.Revision) (entries []store.Entry, to store.Revision, whole, fresh bool)
	// Apply applies the changes that another copy's Since has returned.
	Apply(entries []store.Entry, to store.Revision, whole bool)
	// Detach stops relying on the other copy, which may be out of date.
	Detach()
	// ClearConfirmation records that the service did not answer.
	ClearConfirmation()
}

// Coordinator coordinates all entries while its own entry is elected. It is safe for
// concurrent use.
type Coordinator struct {
	config CoordinatorConfig
	// revisionReader reads the revision of the platform's service. The [Client] of the
	// same entry uses it, too, while no coordinator reports the revision.
	revisionReader *revisionReader
	// mutex guards all below, and the fields of the term that change, except
	// nextPlanAt.
	mutex sync.Mutex
	// term is nil while this entry is not the coordinator.
	term *term
	// formerDispatcher is that of the term that ended last; its orders may still be in
	// flight.
	formerDispatcher *copies.Dispatcher
	// revision is the latest revision that was read from the platform's service.
	revision store.Revision
}

// term is the state of one term in office.
type term struct {
	number     int64
	startedAt  time.Time
	cancel     context.CancelFunc
	dispatcher *copies.Dispatcher
	planners   map[names.Service]*copies.Planner
	// nextPlanAt is when to plan next. Only planCopies uses it, without the mutex.
	nextPlanAt time.Time
	divider    *share.Divider
	lender     *share.Lender
	aggregator *crash.Aggregator
	issuer     *permit.Issuer
	coldRates  *coldRates
	// storedSuspicions is the number of the newest suspicion in the stored record.
	storedSuspicions int64
	reports          map[names.Instance]entryReport
	// ranks are the places, among each other, of the entries with a report younger than
	// entryLifetime, as counted at sweptAt.
	ranks map[names.Instance]int
	// totalLoads is the sum of the loads of all reports that count.
	totalLoads map[names.BackendServer]int
	sweptAt    time.Time
	trends     map[Target]*copies.Trend
	// requestRates measures the requests for the models of each service.
	requestRates map[names.Service]*rate.Meter
	// holdings is what engines held at holdingsReadAt.
	holdings       *holdings
	holdingsReadAt time.Time
	// schedulers are those of the services whose requests are scheduled. enginesReadAt is
	// when they were last given the engines, and placeCalls the rate of their calls.
	schedulers    map[names.Service]*sched.Scheduler
	enginesReadAt time.Time
	// loadTimes holds the expected times until models without a copy are loaded.
	loadTimes map[loadKey]loadTime
	// schedulerPolicy is the version of the policy, which is immutable, that the schedulers are
	// configured by.
	schedulerPolicy *policy.Snapshot
	// engineCount is the number of servers in the registry then.
	engineCount int
	placeCalls  *rate.Meter
	// modelLoads are the sums of those in all reports that count.
	modelLoads map[modelCopy]int
	// adapterUses are when a report last stated a request for an adapter.
	adapterUses map[adapterCopy]time.Time
	// departures maps each server that leaves to the time when that was first reported.
	departures map[pool.Departure]time.Time
}

// entryReport is an entry's last report.
type entryReport struct {
	receivedAt time.Time
	loads      map[names.BackendServer]int
	waiting    map[Target]int
	// modelLoads are the requests that the entry runs for copies of models.
	modelLoads map[modelCopy]int
	// loadsSentAt is when the entry was last sent the loads of the others.
	loadsSentAt time.Time
}

// NewCoordinator returns a coordinator without a term.
func NewCoordinator(config CoordinatorConfig) *Coordinator {
	return &Coordinator{config: config, revisionReader: &revisionReader{latest: config.LatestRevision, mirror: config.Mirror, log: config.Log}}
}

// BeginTerm begins a term after this entry was elected.
func (coordinator *Coordinator) BeginTerm(ctx context.Context, number int64) {
	now := coordinator.config.Clock.Now()
	termCtx, cancel := context.WithCancel(ctx)
	divider := share.NewDivider(share.DividerConfig{Term: number, Now: now, Record: coordinator.config.ShareStore.LastRecord()})
	term := &term{
		number:    number,
		startedAt: now,
		cancel:    cancel,
		dispatcher: copies.NewDispatcher(copies.DispatcherConfig{
			Engines: coordinator.config.Engine, Clock: coordinator.config.Clock, Log: coordinator.config.Log, Metrics: coordinator.config.Metrics,
			Holder: string(coordinator.config.Instance), Evacuated: coordinator.config.Evacuated,
			Term: func() int64 { return coordinator.orderTerm(number) },
		}),
		planners:   map[names.Service]*copies.Planner{},
		divider:    divider,
		lender:     share.NewLender(divider),
		aggregator: crash.NewAggregator(),
		issuer:     permit.NewIssuer(),
		reports:    map[names.Instance]entryReport{},
		totalLoads: map[names.BackendServer]int{},
		trends:     map[Target]*copies.Trend{},

		modelLoads:  map[modelCopy]int{},
		adapterUses: map[adapterCopy]time.Time{},

		requestRates: map[names.Service]*rate.Meter{},

		schedulers: map[names.Service]*sched.Scheduler{},
		loadTimes:  map[loadKey]loadTime{},
		placeCalls: rate.NewMeter(placeCallsHalfLife),

		holdings:   newHoldings(),
		departures: map[pool.Departure]time.Time{},
	}
	term.dispatcher.SetUsage(&engineUsage{coordinator: coordinator, term: term})
	term.issuer.Begin(now)
	term.coldRates = newColdRates(term.issuer)
	coordinator.mutex.Lock()
	coordinator.term = term
	coordinator.mutex.Unlock()
	coordinator.config.Clock.Subscribe(termCtx, planPeriod, func(ctx context.Context, now time.Time) { coordinator.planCopies(ctx, term, now) })
	coordinator.config.Clock.Subscribe(termCtx, shareUpdatePeriod, func(ctx context.Context, now time.Time) { coordinator.updateShares(ctx, term, now) })
	coordinator.config.Clock.Subscribe(termCtx, suspicionsPeriod, func(ctx context.Context, _ time.Time) { coordinator.storeSuspicions(ctx, term) })
	coordinator.config.Clock.Subscribe(termCtx, revisionPeriod, func(ctx context.Context, _ time.Time) { coordinator.readRevision(ctx) })
}

// orderTerm returns number while this entry may send orders in that term, else zero.
// It may without a lease, too, if engines refuse orders of former terms and a majority
// of entries still reports here. Entries that follow another coordinator do not report
// here.
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

// lockTerm locks the mutex and returns the current term, with the policy and the time, if
// this entry holds its lease, or if the lease has expired only because the platform's
// service does not answer. Otherwise it fails with a *[NotCoordinatingError], and the mutex
// is not locked.
func (coordinator *Coordinator) lockTerm() (*term, *policy.Snapshot, time.Time, error) {
	now, snapshot := coordinator.config.Clock.Now(), coordinator.config.Policy()
	coordinator.mutex.Lock()
	term := coordinator.term
	if term == nil || snapshot == nil ||
		(coordinator.config.Term() != term.number && coordinator.config.UnconfirmedTerm() != term.number) {
		coordinator.mutex.Unlock()
		return nil, nil, now, &NotCoordinatingError{Instance: coordinator.config.Instance}
	}
	return term, snapshot, now, nil
}

// hasMajority reports whether a majority of the entries of the last minute reports to
// this coordinator. It is called with the coordinator's mutex held.
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

// reportedEntries returns the number of entries that have reported in the last minute,
// or zero at the beginning of a term, until all entries have had the time to report. It
// is called with the coordinator's mutex held.
func (term *term) reportedEntries(now time.Time) int {
	if now.Sub(term.startedAt) < reportLifetime {
		return 0
	}
	return len(term.ranks)
}

// updateShares moves shares of limits between entries. New shares are stored before
// they take effect.
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

// readRevision reads the revision of the platform's service.
func (coordinator *Coordinator) readRevision(ctx context.Context) {
	revision, ok := coordinator.revisionReader.read(ctx)
	if !ok {
		return
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.revision = max(coordinator.revision, revision)
}

// EndTerm ends the term, if there is one.
func (coordinator *Coordinator) EndTerm() {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if coordinator.term != nil {
		coordinator.term.cancel()
		coordinator.formerDispatcher = coordinator.term.dispatcher
		coordinator.term = nil
	}
}

// WaitForOrders waits until no order of the term that ended last is in flight, or ctx
// is done.
func (coordinator *Coordinator) WaitForOrders(ctx context.Context) error {
	coordinator.mutex.Lock()
	formerDispatcher := coordinator.formerDispatcher
	coordinator.mutex.Unlock()
	if formerDispatcher == nil {
		return nil
	}
	return formerDispatcher.WaitForOrders(ctx)
}

// Exchange stores an entry's report and returns the reply. It fails with a
// *[NotCoordinatingError].
func (coordinator *Coordinator) Exchange(report Report) (Reply, error) {
	term, snapshot, now, err := coordinator.lockTerm()
	if err != nil {
		return Reply{}, err
	}
	defer coordinator.mutex.Unlock()
	modelLoads, invalid := modelLoadsOf(report)
	if invalid > 0 {
		metrics.GetOrRegisterCounter("coord.modelLoads.invalid", coordinator.config.Metrics).Inc(int64(invalid))
	}
	entryReport := entryReport{receivedAt: now, loads: report.Loads, waiting: map[Target]int{}, modelLoads: modelLoads}
	for target, demand := range report.Demands {
		trend, found := term.trends[target]
		if !found {
			trend = copies.NewTrend()
			term.trends[target] = trend
		}
		trend.Add(demand.Work, now)
		term.addRequests(target.Service, demand.Requests, now)
		entryReport.waiting[target] = demand.Waiting
	}
	term.recordAdapterUses(report, now)
	term.storeReport(report.Instance, entryReport, now)
	coordinator.reportToSchedulers(term, report, snapshot, now)
	reply := Reply{Term: term.number, Revision: coordinator.revision, Entries: term.reportedEntries(now)}
	reply.Suspicions, reply.SuspicionsVersion = term.exchangeSuspicions(report, now)
	reply.Rates, reply.RatesVersion = term.exchangeRates(report)
	reply.Rank = term.ranks[report.Instance]
	if report.Instance != coordinator.config.Instance {
		reply.Changes, reply.ChangesTo, reply.Whole, reply.Fresh = coordinator.config.Mirror.Since(report.Revision)
	}
	reply.Assigned = term.divider.Report(report.Instance, report.ShareState, now)
	term.lender.SetExclusive(coordinator.config.Term() == term.number)
	reply.Assigned.Lent = term.lender.LendAhead(report.Instance, report.ShareState, snapshot, now)
	reply.Loads = term.loadsFor(report.Instance, now)
	term.refreshHoldings(snapshot, now)
	reply.Holdings, reply.HoldingsVersion = term.holdings.since(report.Holdings, term.number)
	reply.Departures = term.updateDepartures(report.Departures, now)
	return reply, nil
}

// limitedAccounts returns the client accounts that have a limit.
func limitedAccounts(snapshot *policy.Snapshot) []names.ClientAccount {
	var accounts []names.ClientAccount
	for _, account := range snapshot.Accounts() {
		if account.Rate > 0 {
			accounts = append(accounts, account.Name)
		}
	}
	return accounts
}

// Borrow lends cost tokens of a client account's limit. It reports whether it has lent
// them, and otherwise returns how long to wait. It fails with a *[NotCoordinatingError]
// or an *[UnknownAccountError].
func (coordinator *Coordinator) Borrow(name names.ClientAccount, cost float64) (time.Duration, bool, error) {
	term, snapshot, now, err := coordinator.lockTerm()
	if err != nil {
		return 0, false, err
	}
	defer coordinator.mutex.Unlock()
	for _, account := range snapshot.Accounts() {
		if account.Name == name {
			term.lender.SetExclusive(coordinator.config.Term() == term.number)
			wait, lent := term.lender.Lend(account, cost, now)
			return wait, lent, nil
		}
	}
	return 0, false, &UnknownAccountError{Account: name}
}

// LoadAdapter orders a server to load an adapter. It fails with a
// *[NotCoordinatingError] or an error of package copies. It returns when ctx is done, for
// callers in this process as for others; an order in flight is then still awaited, so
// that its outcome becomes known.
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
			loaded := make(chan error, 1)
			go func() { loaded <- term.dispatcher.LoadAdapter(ctx, server, adapter, service.Engine) }()
			select {
			case err := <-loaded:
				return err
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return &copies.UnknownEngineError{Server: server}
}

// planCopies plans copies of models for each service and sends the orders for them. It
// postpones the next plan so that planning takes at most planningFraction of the time.
func (coordinator *Coordinator) planCopies(ctx context.Context, term *term, now time.Time) {
	snapshot := coordinator.config.Policy()
	if snapshot == nil || coordinator.orderTerm(term.number) == 0 || now.Before(term.nextPlanAt) {
		return
	}
	defer func() {
		duration := coordinator.config.Clock.Now().Sub(now)
		term.nextPlanAt = now.Add(time.Duration(float64(duration) / planningFraction))
	}()
	servers := coordinator.config.Servers(now)
	term.dispatcher.SyncRegistry(servers, now)
	coordinator.expireRates(term, servers, now)
	for _, service := range snapshot.Services() {
		if service.Engine == nil {
			continue
		}
		term.dispatcher.QueryUnknown(ctx, service.Name)
		planInput := copies.PlanInput{
			Engine: service.Engine, Engines: term.dispatcher.States(service.Name), Now: now, Scheduled: snapshot.Scheduling(service.Name) != nil,
		}
		coordinator.mutex.Lock()
		planInput.Demand = term.demandOf(service, now)
		planInput.Rates, planInput.RequestsPerSecond = coordinator.limitedRates(term, servers, now), term.requestRate(service.Name, now)
		planner, found := term.planners[service.Name]
		if !found {
			planner = copies.NewPlanner(copies.PlannerConfig{Window: coordinator.config.LoadWindow, Now: now, PriorLoads: term.predecessorLoads(service)})
			term.planners[service.Name] = planner
		}
		coordinator.mutex.Unlock()
		term.dispatcher.CancelSteps(service.Name, planInput.Demand)
		for _, step := range planner.Plan(planInput) {
			event.CopyPlanned.Log(coordinator.config.Log, logrus.Fields{
				"server": string(step.Server), "load": string(step.Load), "unload": step.Unload, "fromStore": step.FromStore,
				"work": planInput.Demand[step.Load].Work, "waiting": planInput.Demand[step.Load].Waiting, "term": term.number,
			})
			term.dispatcher.StartStep(ctx, step, service.Engine)
		}
	}
}

// predecessorLoads returns the number of loads from the weight store that the previous
// coordinator may have begun just before this term.
func (term *term) predecessorLoads(service *policy.Service) int {
	const predecessorFraction = 0.5
	return int(service.Engine.LoadsPerSecond * predecessorFraction)
}

// demandOf returns the demand for each model of a service. It is called with the
// coordinator's mutex held.
func (term *term) demandOf(service *policy.Service, now time.Time) map[names.Model]copies.Demand {
	demands := map[names.Model]copies.Demand{}
	for name := range service.Engine.Models {
		target := Target{Service: service.Name, Model: name}
		demand := copies.Demand{}
		if trend, found := term.trends[target]; found {
			demand.Work, demand.Steady = trend.Forecast(now), trend.Steady(now)
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
