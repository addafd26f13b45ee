package coord

import (
	"context"
	"maps"
	"sync"
	"time"
	"unicode/utf8"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/wire"
)

const (
	// reportPeriod is the time between two reports. Loads change within a tenth
	// of a second, and each report costs both sides about a tenth of a millisecond.
	reportPeriod = 250 * time.Millisecond
	// reportTimeout bounds a report. Links take 5 ms one way, and a slow instance
	// takes some tens of milliseconds.
	reportTimeout = 600 * time.Millisecond
	// holdingLifetime is how long after a report the coordinator's view of engines
	// takes precedence over the registry's.
	holdingLifetime = 1500 * time.Millisecond
	// reachableLifetime is how long the coordinator counts as reachable after it has
	// answered a report.
	reachableLifetime = 1200 * time.Millisecond
	// minReportInterval is the least time between the starts of two reports, the second
	// of which was triggered early, such as by a request that began to wait.
	minReportInterval = 30 * time.Millisecond
)

// ClientConfig configures a [Client].
type ClientConfig struct {
	Instance names.Instance
	// Self is the encoded [Identity] that this process publishes while it is the
	// coordinator.
	Self        string
	Coordinator *Coordinator
	Pool        *pool.Pool
	Shares      *share.Limiter
	Crashes     *crash.Tracker
	Policy      func() *policy.Snapshot
	// Mirror is this entry's copy of the platform's keys.
	Mirror Mirror
	// Connections holds the connections to other entries.
	Connections *conns.Pool
	Clock       *clock.Service
	Log         logrus.FieldLogger
	Metrics     metrics.Registry
}

// Client reports to the coordinator and applies its replies. It is safe for
// concurrent use.
type Client struct {
	config ClientConfig
	wakeup chan struct{}
	// revisionReadAt is when the platform's service was last asked for its revision.
	// Only the goroutine of Run uses it and the five fields below.
	revisionReadAt time.Time
	// holdingsVersion is the version of the holdings that the pool has.
	holdingsVersion Version
	// reportedSuspicions is the number of this entry's newest suspicion that the
	// coordinator of the same term has acknowledged; suspicionsVersion is that of the
	// newest suspicion that the coordinator has sent.
	reportedSuspicions int64
	suspicionsVersion  int64
	// reportedRates is the number of this entry's newest change of a declared rate that
	// the coordinator of the same term has acknowledged; ratesVersion is that of the
	// newest change that the coordinator has sent.
	reportedRates int64
	ratesVersion  int64
	// mutex guards all below.
	mutex sync.Mutex
	// probeAt maps sets of quarantined parts to when to ask again whether one may be probed.
	probeAt map[crash.Fingerprint]time.Time
	// leader is the coordinator's encoded [Identity], empty if there is none. conn is
	// nil if the coordinator is this process, or if there is none.
	leader  string
	conn    *grpc.ClientConn
	demands map[Target]Demand
	// answeredAt is when a report was last answered; unansweredAt is when a request
	// for a loan, a permit or a probe last failed.
	answeredAt   time.Time
	unansweredAt time.Time
	lost         bool
	entries      int
}

var _ relay.Coordinator = (*Client)(nil)

// NewClient returns a client without a coordinator; see [Client.SetCoordinator].
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, wakeup: make(chan struct{}, 1), demands: map[Target]Demand{}, probeAt: map[crash.Fingerprint]time.Time{}}
}

// SetCoordinator sets the coordinator to report to by its encoded [Identity]. An
// empty value means that there is none.
func (client *Client) SetCoordinator(value string) {
	var conn *grpc.ClientConn
	if value != "" && value != client.config.Self {
		identity, err := DecodeIdentity(value)
		if err == nil {
			conn, err = client.config.Connections.Get(identity.Address)
		}
		if err != nil {
			event.CoordinatorLost.Log(client.config.Log, logrus.Fields{"coordinator": value, "cause": err.Error()})
		}
	}
	client.mutex.Lock()
	client.leader, client.conn = value, conn
	client.mutex.Unlock()
	client.triggerReport()
}

// triggerReport has Run send the next report before its period ends.
func (client *Client) triggerReport() {
	select {
	case client.wakeup <- struct{}{}:
	default:
	}
}

// AddDemand implements [relay.Coordinator].
func (client *Client) AddDemand(service names.Service, model names.Model, work float64) {
	client.updateDemand(service, model, func(demand *Demand) {
		demand.Work += work
		demand.Requests++
	})
}

// AddWaiting implements [relay.Coordinator].
func (client *Client) AddWaiting(service names.Service, model names.Model, delta int) {
	client.updateDemand(service, model, func(demand *Demand) { demand.Waiting = max(demand.Waiting+delta, 0) })
	if delta > 0 {
		client.triggerReport()
	}
}

// updateDemand edits the demand for a model. The name comes from the caller; one that
// is not UTF-8 text is that of no model, and no report could be encoded with it.
func (client *Client) updateDemand(service names.Service, model names.Model, edit func(*Demand)) {
	if !utf8.ValidString(string(model)) {
		return
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	target := Target{Service: service, Model: model}
	demand := client.demands[target]
	edit(&demand)
	client.demands[target] = demand
}

// EntryCount implements [relay.Coordinator].
func (client *Client) EntryCount() int {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.entries
}

// Reachable implements [relay.Coordinator].
func (client *Client) Reachable() bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.config.Clock.Now().Sub(client.answeredAt) < reachableLifetime
}

// Borrow implements [relay.Coordinator].
func (client *Client) Borrow(ctx context.Context, account names.ClientAccount, cost float64) (time.Duration, bool, error) {
	return client.requestGrant(ctx,
		func(coordinator *Coordinator) (time.Duration, bool, error) { return coordinator.Borrow(account, cost) },
		func(ctx context.Context, coordination wire.CoordinationClient) (grantReply, bool, error) {
			reply, err := coordination.Borrow(ctx, &wire.CoordBorrowRequest{Account: string(account), Cost: cost})
			return reply, reply.GetLent(), err
		},
	)
}

// recordUnanswered records that a request for a loan, a permit or a probe failed.
func (client *Client) recordUnanswered() {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.unansweredAt = client.config.Clock.Now()
}

// checkResponsive fails with a *[NoAnswerError] if a request for a loan, a permit or a probe has failed
// within the last report period and no report was answered since. Without it every
// request would wait for an unresponsive coordinator.
func (client *Client) checkResponsive() error {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	since := client.config.Clock.Now().Sub(client.unansweredAt)
	if client.unansweredAt.After(client.answeredAt) && since < reportPeriod {
		return &NoAnswerError{Since: since}
	}
	return nil
}

// LoadAdapter implements [relay.Coordinator].
func (client *Client) LoadAdapter(ctx context.Context, server *pool.Server, adapter pool.Adapter) error {
	conn, self, err := client.coordinatorConn()
	if err != nil {
		return err
	}
	if self {
		return client.config.Coordinator.LoadAdapter(ctx, server.ID, adapter)
	}
	_, err = wire.NewCoordinationClient(conn).LoadAdapter(ctx, &wire.CoordAdapterRequest{
		Server: string(server.ID), Adapter: &wire.CoordAdapter{Model: string(adapter.Model), Name: string(adapter.Name)},
	})
	return err
}

// Run sends reports until ctx is done.
func (client *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := client.config.Clock.Now()
		client.exchange(ctx)
		select {
		case <-ctx.Done():
			return
		case <-client.config.Clock.After(reportPeriod):
		case <-client.wakeup:
			client.waitForInterval(began)
		case <-client.config.Pool.Gate().Observed():
			client.waitForInterval(began)
		case <-client.config.Crashes.Observed():
			client.waitForInterval(began)
		}
	}
}

// waitForInterval waits until minReportInterval has passed since the last report.
func (client *Client) waitForInterval(began time.Time) {
	if wait := minReportInterval - client.config.Clock.Now().Sub(began); wait > 0 {
		<-client.config.Clock.After(wait)
	}
}

func (client *Client) exchange(ctx context.Context) {
	snapshot := client.config.Policy()
	if snapshot == nil {
		return
	}
	asked := client.config.Clock.Now()
	defer client.updateQuarantines()
	report := Report{Instance: client.config.Instance, ShareState: client.config.Shares.State(asked), Loads: client.config.Pool.OwnRequests(), Revision: client.config.Mirror.Revision()}
	report.Holdings, report.Departures = client.holdingsVersion, client.config.Pool.UnreportedDepartures(client.holdingsVersion.Term)
	suspicions, reported := client.config.Crashes.Since(client.reportedSuspicions)
	report.Suspicions, report.SuspicionsVersion = suspicions, client.suspicionsVersion
	rates, reportedRates := client.config.Pool.Gate().Since(client.reportedRates)
	report.Rates, report.RatesVersion = rates, client.ratesVersion
	report.EngineUses = client.config.Pool.TakeUses()
	report.ModelLoads = client.ownModelLoads(snapshot)
	client.mutex.Lock()
	report.Demands = maps.Clone(client.demands)
	client.mutex.Unlock()
	reply, err := client.sendReport(ctx, report)
	if err != nil {
		client.recordFailure(err)
		client.readRevision(ctx, asked)
		return
	}
	client.applyChanges(ctx, reply, asked)
	client.recordReply(report, reply)
	client.applySuspicions(reply, reported)
	client.applyRates(reply, reportedRates, asked)
	client.config.Shares.Apply(reply.Assigned, snapshot, asked)
	client.config.Pool.MarkDeparturesReported(report.Departures, reply.Term)
	client.config.Pool.ApplyDepartures(reply.Departures, asked)
	client.config.Pool.ApplyUpdate(pool.Update{
		Holdings: reply.Holdings, Complete: reply.Term != client.holdingsVersion.Term, Others: reply.Loads, Until: asked.Add(holdingLifetime),
	})
	client.holdingsVersion = Version{Term: reply.Term, Number: reply.HoldingsVersion}
}

// applySuspicions applies the coordinator's suspicions. If the term has changed, the
// next report is sent at once and repeats all of this entry's suspicions, as the new
// coordinator may not know them.
func (client *Client) applySuspicions(reply Reply, reported int64) {
	client.suspicionsVersion, client.reportedSuspicions = reply.SuspicionsVersion, reported
	if reply.Term != client.holdingsVersion.Term {
		client.reportedSuspicions = 0
		client.triggerReport()
	}
	for _, subject := range client.config.Crashes.Add(reply.Suspicions...) {
		event.QuarantineBegun.Log(client.config.Log, logrus.Fields{"fingerprint": subject.Fingerprint.String(), "part": subject.Part, "term": reply.Term})
	}
}

// updateQuarantines begins and ends quarantines whose time has come, also without a
// coordinator.
func (client *Client) updateQuarantines() {
	now := client.config.Clock.Now()
	client.refuteSuspicions(now)
	client.logQuarantines(client.config.Crashes.Settle(now))
	for _, subject := range client.config.Crashes.Expire(now) {
		event.QuarantineEnded.Log(client.config.Log, logrus.Fields{"fingerprint": subject.Fingerprint.String(), "part": subject.Part})
	}
	metrics.GetOrRegisterGauge("crash.quarantined", client.config.Metrics).Update(int64(client.config.Crashes.QuarantinedCount(now)))
}

// applyChanges applies the coordinator's changes of the platform's keys, so that the
// coordinator's watch serves all entries. If the coordinator's copy may be out of
// date, the mirror has to watch the keys itself.
func (client *Client) applyChanges(ctx context.Context, reply Reply, now time.Time) {
	if reply.Fresh {
		client.config.Mirror.Apply(reply.Changes, reply.ChangesTo, reply.Whole)
	} else {
		client.config.Mirror.Detach()
		if client.config.Self != client.coordinatorIdentity() {
			client.readRevision(ctx, now)
		}
	}
	client.config.Mirror.ExpectRevision(reply.Revision)
}

// coordinatorIdentity returns the coordinator's encoded [Identity].
func (client *Client) coordinatorIdentity() string {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.leader
}

// readRevision reads the latest revision of the platform's service, at most once in
// revisionPeriod. It is used while no coordinator reports the revision.
func (client *Client) readRevision(ctx context.Context, now time.Time) {
	if now.Sub(client.revisionReadAt) < revisionPeriod {
		return
	}
	client.revisionReadAt = now
	client.config.Coordinator.revisionReader.read(ctx)
}

// coordinatorConn returns the connection to the coordinator; self reports whether
// this process is the coordinator, which needs none. It fails with a
// *[NoCoordinatorError].
func (client *Client) coordinatorConn() (conn *grpc.ClientConn, self bool, err error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	switch {
	case client.leader == client.config.Self:
		return nil, true, nil
	case client.conn == nil:
		return nil, false, &NoCoordinatorError{}
	default:
		return client.conn, false, nil
	}
}

func (client *Client) sendReport(ctx context.Context, report Report) (Reply, error) {
	conn, self, err := client.coordinatorConn()
	if err != nil {
		return Reply{}, err
	}
	if self {
		return client.config.Coordinator.Exchange(report)
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	message, err := wire.NewCoordinationClient(conn).Exchange(callCtx, encodeReport(report, client.config.Clock.Now()), grpc.UseCompressor(gzip.Name))
	if err != nil {
		return Reply{}, err
	}
	if message.GetTerm() <= 0 {
		return Reply{}, &NoTermError{}
	}
	return decodeReply(message, client.config.Clock.Now()), nil
}

// recordReply records that the coordinator has answered, and subtracts the work that
// the report contained from the work to report next.
func (client *Client) recordReply(report Report, reply Reply) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if reply.Entries > 0 {
		client.entries = reply.Entries
	}
	for target, reported := range report.Demands {
		demand := client.demands[target]
		demand.Work -= reported.Work
		demand.Requests -= reported.Requests
		if demand.Waiting == 0 && demand.Work <= 0 {
			delete(client.demands, target)
			continue
		}
		client.demands[target] = demand
	}
	client.answeredAt = client.config.Clock.Now()
	if client.lost {
		client.lost = false
		event.CoordinatorRegained.Log(client.config.Log, logrus.Fields{"coordinator": client.leader})
	}
}

// recordFailure logs the loss of the coordinator once, until a report is answered.
func (client *Client) recordFailure(cause error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.lost {
		return
	}
	client.lost = true
	event.CoordinatorLost.Log(client.config.Log, logrus.Fields{"coordinator": client.leader, "cause": cause.Error()})
}
