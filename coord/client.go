package coord

import (
	"context"
	"maps"
	"sync"
	"time"

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
	// exchangePeriod is the time between two reports. Loads change within a tenth
	// of a second; each report costs both sides about a tenth of a millisecond.
	exchangePeriod = 250 * time.Millisecond
	// exchangeTimeout bounds a report: links take 5 ms one way, a slow instance
	// some tens of milliseconds.
	exchangeTimeout = 600 * time.Millisecond
	// borrowTimeout bounds a loan, for which a request waits.
	borrowTimeout = 150 * time.Millisecond
	// holdingLifetime is how long the coordinator's view of engines goes before the
	// registry's.
	holdingLifetime = 1500 * time.Millisecond
	// reachableFor is how long after an answer the coordinator counts as reachable.
	reachableFor = 1200 * time.Millisecond
	// firstNeedPause spaces reports that tell of requests that begin to wait.
	firstNeedPause = 30 * time.Millisecond
)

// ClientConfig carries what a [Client] is built from.
type ClientConfig struct {
	Instance names.Instance
	// Self is what this process would publish as coordinator.
	Self    string
	Desk    *Desk
	Pool    *pool.Pool
	Shares  *share.Limiter
	Crashes *crash.Book
	Policy  func() *policy.Snapshot
	// Mirror follows the platform's keys.
	Mirror Mirror
	// Connections lead to other entries.
	Connections *conns.Pool
	Clock       *clock.Service
	Log         logrus.FieldLogger
}

// Client exchanges reports with the coordinator. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	kick   chan struct{}
	// looked is when the service was asked for its revision; only exchanges use it.
	looked time.Time
	// holdings is the version that the pool has; only exchanges use it.
	holdings Version
	// reported is the number of this entry's last sighting that the coordinator of the
	// same term has answered, suspects that of the last one that it has told; only
	// exchanges use them.
	reported int64
	suspects int64
	// mutex guards all below.
	mutex sync.Mutex
	// leader is the coordinator's value; conn is nil where it is this process or
	// none.
	leader  string
	conn    *grpc.ClientConn
	demands map[Target]Demand
	// answered is when the last report was answered, unansweredAt when a request
	// for a loan last was not.
	answered     time.Time
	unansweredAt time.Time
	lost         bool
	entries      int
}

var _ relay.Coordinator = (*Client)(nil)

// NewClient returns a client that knows no coordinator.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, kick: make(chan struct{}, 1), demands: map[Target]Demand{}}
}

// Follow turns to another coordinator; an empty value means that there is none.
func (client *Client) Follow(value string) {
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
	client.wake()
}

func (client *Client) wake() {
	select {
	case client.kick <- struct{}{}:
	default:
	}
}

// Demand implements [relay.Coordinator].
func (client *Client) Demand(service names.Service, model names.Model, work float64) {
	client.change(service, model, func(demand *Demand) { demand.Work += work })
}

// Need implements [relay.Coordinator].
func (client *Client) Need(service names.Service, model names.Model, delta int) {
	client.change(service, model, func(demand *Demand) { demand.Waiting = max(demand.Waiting+delta, 0) })
	if delta > 0 {
		client.wake()
	}
}

func (client *Client) change(service names.Service, model names.Model, edit func(*Demand)) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	target := Target{Service: service, Model: model}
	demand := client.demands[target]
	edit(&demand)
	client.demands[target] = demand
}

// Entries implements [relay.Coordinator].
func (client *Client) Entries() int {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.entries
}

// Reachable implements [relay.Coordinator].
func (client *Client) Reachable() bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.config.Clock.Now().Sub(client.answered) < reachableFor
}

// Borrow implements [relay.Coordinator].
func (client *Client) Borrow(ctx context.Context, account names.ClientAccount, cost float64) (time.Duration, bool, error) {
	conn, own, err := client.route()
	if err != nil {
		return 0, false, err
	}
	if own {
		return client.config.Desk.Borrow(account, cost)
	}
	if err := client.unanswered(); err != nil {
		return 0, false, err
	}
	callCtx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	reply, err := wire.NewCoordinationClient(conn).Borrow(callCtx, &wire.CoordBorrowRequest{Account: string(account), Cost: cost})
	if err != nil {
		client.mutex.Lock()
		defer client.mutex.Unlock()
		client.unansweredAt = client.config.Clock.Now()
		return 0, false, err
	}
	return time.Duration(reply.GetWaitMilliseconds()) * time.Millisecond, reply.GetLent(), nil
}

// unanswered fails with a *[NoAnswerError] where the coordinator has left a
// request for a loan without an answer and has not answered any report since, so
// that not every request waits for it.
func (client *Client) unanswered() error {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	since := client.config.Clock.Now().Sub(client.unansweredAt)
	if client.unansweredAt.After(client.answered) && since < exchangePeriod {
		return &NoAnswerError{Since: since}
	}
	return nil
}

// Adapter implements [relay.Coordinator].
func (client *Client) Adapter(ctx context.Context, server *pool.Server, adapter pool.Adapter) error {
	conn, own, err := client.route()
	if err != nil {
		return err
	}
	if own {
		return client.config.Desk.Adapter(ctx, server.ID, adapter)
	}
	_, err = wire.NewCoordinationClient(conn).LoadAdapter(ctx, &wire.CoordAdapterRequest{
		Server: string(server.ID), Adapter: &wire.CoordAdapter{Model: string(adapter.Model), Name: string(adapter.Name)},
	})
	return err
}

// Run exchanges reports until ctx ends.
func (client *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := client.config.Clock.Now()
		client.exchange(ctx)
		select {
		case <-ctx.Done():
			return
		case <-client.config.Clock.After(exchangePeriod):
		case <-client.kick:
			if wait := firstNeedPause - client.config.Clock.Now().Sub(began); wait > 0 {
				<-client.config.Clock.After(wait)
			}
		}
	}
}

func (client *Client) exchange(ctx context.Context) {
	snapshot := client.config.Policy()
	if snapshot == nil {
		return
	}
	asked := client.config.Clock.Now()
	client.expire(asked)
	report := Report{Instance: client.config.Instance, Held: client.config.Shares.State(asked), Loads: client.config.Pool.Own(), Revision: client.config.Mirror.Revision()}
	report.Holdings, report.Departures = client.holdings, client.config.Pool.Departures(client.holdings.Term)
	sightings, reported := client.config.Crashes.Since(client.reported)
	report.Sightings, report.Suspects = sightings, client.suspects
	client.mutex.Lock()
	report.Demands = maps.Clone(client.demands)
	client.mutex.Unlock()
	reply, err := client.call(ctx, report)
	if err != nil {
		client.lose(err)
		client.look(ctx, asked)
		return
	}
	client.follow(ctx, reply, asked)
	client.settle(report, reply)
	client.learn(reply, reported)
	client.config.Shares.Apply(reply.Assigned, snapshot, asked)
	client.config.Pool.DeparturesTold(report.Departures, reply.Term)
	client.config.Pool.Depart(reply.Departures, asked)
	client.config.Pool.Inform(pool.Told{
		Holdings: reply.Holdings, Whole: reply.Term != client.holdings.Term, Others: reply.Loads, Until: asked.Add(holdingLifetime),
	})
	client.holdings = Version{Term: reply.Term, Number: reply.HoldingsVersion}
}

// learn takes in the coordinator's sightings. The coordinator of another term has to
// be told all of this entry's again.
func (client *Client) learn(reply Reply, reported int64) {
	client.suspects, client.reported = reply.SuspectsNumber, reported
	if reply.Term != client.holdings.Term {
		client.reported = 0
		client.wake()
	}
	for _, fingerprint := range client.config.Crashes.Learn(reply.Suspects...) {
		event.QuarantineBegun.Log(client.config.Log, logrus.Fields{"fingerprint": fingerprint.String(), "term": reply.Term})
	}
}

// expire ends quarantines that have lasted long enough, also without a coordinator.
func (client *Client) expire(now time.Time) {
	for _, fingerprint := range client.config.Crashes.Expire(now) {
		event.QuarantineEnded.Log(client.config.Log, logrus.Fields{"fingerprint": fingerprint.String()})
	}
}

// follow takes the coordinator's view of the platform's keys, so that one watch
// serves all entries.
func (client *Client) follow(ctx context.Context, reply Reply, now time.Time) {
	if reply.Fresh {
		client.config.Mirror.Apply(reply.Changes, reply.ChangesTo, reply.Whole)
	} else {
		client.config.Mirror.Detach()
		if client.config.Self != client.coordinator() {
			client.look(ctx, now)
		}
	}
	client.config.Mirror.ExpectRevision(reply.Revision)
}

// coordinator returns the coordinator's value.
func (client *Client) coordinator() string {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.leader
}

// look reads how far the platform's service has come, while there is no
// coordinator to tell it.
func (client *Client) look(ctx context.Context, now time.Time) {
	if now.Sub(client.looked) < headPeriod {
		return
	}
	client.looked = now
	client.config.Desk.head.read(ctx)
}

// route returns the connection to the coordinator, or that this process is the
// one. It fails with a *[NoCoordinatorError].
func (client *Client) route() (conn *grpc.ClientConn, own bool, err error) {
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

func (client *Client) call(ctx context.Context, report Report) (Reply, error) {
	conn, own, err := client.route()
	if err != nil {
		return Reply{}, err
	}
	if own {
		return client.config.Desk.Exchange(report)
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	message, err := wire.NewCoordinationClient(conn).Exchange(callCtx, encodeReport(report, client.config.Clock.Now()), grpc.UseCompressor(gzip.Name))
	if err != nil {
		return Reply{}, err
	}
	return decodeReply(message, client.config.Clock.Now()), nil
}

// settle takes out the work that a report has told.
func (client *Client) settle(report Report, reply Reply) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if reply.Entries > 0 {
		client.entries = reply.Entries
	}
	for target, told := range report.Demands {
		demand := client.demands[target]
		demand.Work -= told.Work
		if demand.Waiting == 0 && demand.Work <= 0 {
			delete(client.demands, target)
			continue
		}
		client.demands[target] = demand
	}
	client.answered = client.config.Clock.Now()
	if client.lost {
		client.lost = false
		event.CoordinatorRegained.Log(client.config.Log, logrus.Fields{"coordinator": client.leader})
	}
}

func (client *Client) lose(cause error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.lost {
		return
	}
	client.lost = true
	event.CoordinatorLost.Log(client.config.Log, logrus.Fields{"coordinator": client.leader, "cause": cause.Error()})
}
