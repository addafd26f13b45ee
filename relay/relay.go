package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/trunk"
)

// Coordinator is asked for models and adapters.
type Coordinator interface {
	// Need tells that a request waits for a model that no server holds.
	Need(service names.Service, model names.Model, delta int)
	// Adapter has an adapter loaded and returns once that is under way.
	Adapter(ctx context.Context, server *pool.Server, adapter pool.Adapter) error
	// Borrow takes cost of an account's limits; where nothing is left it returns
	// how long.
	Borrow(ctx context.Context, account names.ClientAccount, cost float64) (time.Duration, bool, error)
	// Demand counts a request's work for a model, in seconds of an engine.
	Demand(service names.Service, model names.Model, work float64)
	// Entries returns how many entries there are, or zero where that is not known.
	Entries() int
	// Reachable tells whether the coordinator has answered lately.
	Reachable() bool
}

// Config carries what a [Relay] is built from.
type Config struct {
	Codec       Codec
	Pool        *pool.Pool
	Trunk       *trunk.Trunk
	Shares      *share.Limiter
	Crashes     *crash.Book
	Coordinator Coordinator
	Clock       *clock.Service
	Log         logrus.FieldLogger
	Metrics     metrics.Registry
	Domain      names.FailureDomain
	// CrashSilence is how long after it broke off an answer a server must have given no
	// sign of life to count as crashed. Crashed servers are back after some seconds,
	// others answer within a fraction of one.
	CrashSilence time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound requests sent again over all
	// entries.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Relay serves callers.
type Relay struct {
	config   Config
	budget   *budget
	snapshot atomic.Pointer[policy.Snapshot]
	stopping atomic.Bool
	refusing atomic.Bool
	active   atomic.Int64
}

var _ http.Handler = (*Relay)(nil)

// New returns a relay that refuses all until it has a policy.
func New(config Config) *Relay {
	return &Relay{config: config, budget: newBudget(config.RetryRatio, config.RetrySlack, config.RetryWindow)}
}

// Adopt puts a policy in force.
func (relay *Relay) Adopt(snapshot *policy.Snapshot) { relay.snapshot.Store(snapshot) }

// Policy returns the policy in force, or nil.
func (relay *Relay) Policy() *policy.Snapshot { return relay.snapshot.Load() }

// Stop has every further answer close its connection.
func (relay *Relay) Stop() { relay.stopping.Store(true) }

// Refuse has further requests refused: they might not be finished in time.
func (relay *Relay) Refuse() { relay.refusing.Store(true) }

// Active counts the requests that are under way.
func (relay *Relay) Active() int64 { return relay.active.Load() }

// ServeHTTP implements [http.Handler].
func (relay *Relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	relay.active.Add(1)
	defer relay.active.Add(-1)
	passage := &passage{
		relay:   relay,
		writer:  writer,
		request: request,
		started: relay.config.Clock.Now(),
		call:    relay.config.Codec.ReadCall(request),
	}
	if refusal := passage.admit(); refusal != nil {
		passage.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), passage.limit)
	defer cancel()
	passage.run(ctx)
}

// admit finds the route and the account, reads the body and takes the cost from
// the account's limits.
func (passage *passage) admit() *refusal {
	relay := passage.relay
	snapshot := relay.snapshot.Load()
	if relay.refusing.Load() {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonStopping, after: elsewherePause}
	}
	if snapshot == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonNotReady, after: notReadyPause}
	}
	passage.version = snapshot.Version()
	target := passage.request.RequestURI
	if !strings.HasPrefix(target, "/") {
		return &refusal{status: http.StatusBadRequest, reason: ReasonBadRequest}
	}
	path, _, _ := strings.Cut(target, "?")
	passage.route = snapshot.Route(passage.request.Host, path)
	if passage.route == nil {
		return &refusal{status: http.StatusNotFound, reason: ReasonNoRoute}
	}
	if snapshot.NeedsKeys() && !passage.route.Open {
		passage.account = snapshot.Account(passage.call.Key)
		if passage.account == nil {
			return &refusal{status: http.StatusUnauthorized, reason: ReasonUnknownKey}
		}
	}
	passage.limit = passage.started.Add(passage.route.Timeout)
	if passage.call.Deadline > 0 && passage.call.Deadline < passage.route.Timeout {
		passage.limit = passage.started.Add(passage.call.Deadline)
	}
	if refusal := passage.readBody(snapshot.Limits().BodyBytes); refusal != nil {
		return refusal
	}
	if passage.quarantined() {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonQuarantine}
	}
	passage.service = passage.route.Target(rand.Float64())
	return passage.charge()
}

// charge takes the cost of the request from its account's limits.
func (passage *passage) charge() *refusal {
	if passage.account == nil {
		return nil
	}
	shares := passage.relay.config.Shares
	cost := passage.account.Cost(passage.call.Tokens())
	wait, taken := shares.Take(passage.account, cost, passage.now())
	if !taken && shares.CanBorrow(passage.now()) {
		wait, taken = passage.borrow(cost)
	}
	if !taken {
		return &refusal{status: http.StatusTooManyRequests, reason: ReasonQuota, after: wait}
	}
	passage.cost = cost
	return nil
}

// borrow asks the coordinator, unless it has just said that nothing is left.
// Where it does not answer, a little is used ahead.
func (passage *passage) borrow(cost float64) (time.Duration, bool) {
	shares := passage.relay.config.Shares
	if wait := shares.ExhaustedFor(passage.account.Name, passage.now()); wait > 0 {
		return wait, false
	}
	wait, lent, err := passage.relay.config.Coordinator.Borrow(passage.request.Context(), passage.account.Name, cost)
	if err != nil {
		passage.cause = err
		return unlentPause, shares.Overdraw(passage.account, cost, passage.now())
	}
	if !lent {
		shares.SetExhausted(passage.account.Name, wait, passage.now())
	}
	return wait, lent
}

// Use sets the coordinator that is asked; it is called before the first request.
func (relay *Relay) Use(coordinator Coordinator) { relay.config.Coordinator = coordinator }

// Stopping tells whether [Relay.Stop] has been called.
func (relay *Relay) Stopping() bool { return relay.stopping.Load() }
