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
	// AddWaiting tells that a request waits for a model that no server holds.
	AddWaiting(service names.Service, model names.Model, delta int)
	// LoadAdapter has an adapter loaded and returns once that is under way.
	LoadAdapter(ctx context.Context, server *pool.Server, adapter pool.Adapter) error
	// Borrow takes cost of an account's limits; where nothing is left it returns
	// how long.
	Borrow(ctx context.Context, account names.ClientAccount, cost float64) (time.Duration, bool, error)
	// AddDemand counts a request's work for a model, in seconds of an engine.
	AddDemand(service names.Service, model names.Model, work float64)
	// EntryCount returns how many entries there are, or zero where that is not known.
	EntryCount() int
	// Reachable tells whether the coordinator has answered lately.
	Reachable() bool
}

// Config carries what a [Relay] is built from.
type Config struct {
	Codec       Codec
	Pool        *pool.Pool
	Trunk       *trunk.Trunk
	Limiter     *share.Holder
	Crashes     *crash.Book
	Coordinator Coordinator
	Clock       *clock.Service
	Log         logrus.FieldLogger
	Metrics     metrics.Registry
	Domain      names.FailureDomain
	// CrashConfirmDelay is how long after it broke off an answer a server must have given no
	// sign of life to count as crashed. Crashed servers are back after some seconds,
	// others answer within a fraction of one.
	CrashConfirmDelay time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound requests sent again over all
	// entries.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Relay serves callers.
type Relay struct {
	config    Config
	budget    *budget
	snapshot  atomic.Pointer[policy.Snapshot]
	draining  atomic.Bool
	rejecting atomic.Bool
	active    atomic.Int64
}

var _ http.Handler = (*Relay)(nil)

// New returns a relay that refuses all until it has a policy.
func New(config Config) *Relay {
	return &Relay{config: config, budget: newBudget(config.RetryRatio, config.RetrySlack, config.RetryWindow)}
}

// SetPolicy puts a policy in force.
func (relay *Relay) SetPolicy(snapshot *policy.Snapshot) { relay.snapshot.Store(snapshot) }

// Policy returns the policy in force, or nil.
func (relay *Relay) Policy() *policy.Snapshot { return relay.snapshot.Load() }

// Drain has every further answer close its connection.
func (relay *Relay) Drain() { relay.draining.Store(true) }

// RejectRequests has further requests refused: they might not be finished in time.
func (relay *Relay) RejectRequests() { relay.rejecting.Store(true) }

// ActiveRequests counts the requests that are under way.
func (relay *Relay) ActiveRequests() int64 { return relay.active.Load() }

// ServeHTTP implements [http.Handler].
func (relay *Relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	relay.active.Add(1)
	defer relay.active.Add(-1)
	exchange := &exchange{
		relay:   relay,
		writer:  writer,
		request: request,
		started: relay.config.Clock.Now(),
		call:    relay.config.Codec.ReadRequest(request),
	}
	if refusal := exchange.admit(); refusal != nil {
		exchange.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), exchange.deadline)
	defer cancel()
	exchange.forward(ctx)
}

// admit finds the route and the account, reads the body and takes the cost from
// the account's limits.
func (exchange *exchange) admit() *refusal {
	relay := exchange.relay
	snapshot := relay.snapshot.Load()
	if relay.rejecting.Load() {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonStopping, retryAfter: drainRetryAfter}
	}
	if snapshot == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonNotReady, retryAfter: notReadyRetryAfter}
	}
	exchange.policyVersion = snapshot.Version()
	target := exchange.request.RequestURI
	if !strings.HasPrefix(target, "/") {
		return &refusal{status: http.StatusBadRequest, reason: ReasonBadRequest}
	}
	path, _, _ := strings.Cut(target, "?")
	exchange.route = snapshot.Route(exchange.request.Host, path)
	if exchange.route == nil {
		return &refusal{status: http.StatusNotFound, reason: ReasonNoRoute}
	}
	if snapshot.NeedsKeys() && !exchange.route.Open {
		exchange.account = snapshot.Account(exchange.call.Key)
		if exchange.account == nil {
			return &refusal{status: http.StatusUnauthorized, reason: ReasonUnknownKey}
		}
	}
	exchange.deadline = exchange.started.Add(exchange.route.Timeout)
	if exchange.call.Timeout > 0 && exchange.call.Timeout < exchange.route.Timeout {
		exchange.deadline = exchange.started.Add(exchange.call.Timeout)
	}
	if refusal := exchange.readBody(snapshot.Limits().BodyBytes); refusal != nil {
		return refusal
	}
	if exchange.quarantined() {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonQuarantined}
	}
	exchange.service = exchange.route.Target(rand.Float64())
	return exchange.charge()
}

// charge takes the cost of the request from its account's limits.
func (exchange *exchange) charge() *refusal {
	if exchange.account == nil {
		return nil
	}
	shares := exchange.relay.config.Limiter
	cost := exchange.account.Cost(exchange.call.Tokens())
	wait, taken := shares.Take(exchange.account, cost, exchange.now())
	if !taken && shares.Lends(exchange.now()) {
		wait, taken = exchange.borrow(cost)
	}
	if !taken {
		return &refusal{status: http.StatusTooManyRequests, reason: ReasonOverLimit, retryAfter: wait}
	}
	exchange.cost = cost
	return nil
}

// borrow asks the coordinator, unless it has just said that nothing is left.
// Where it does not answer, a little is used ahead.
func (exchange *exchange) borrow(cost float64) (time.Duration, bool) {
	shares := exchange.relay.config.Limiter
	if wait := shares.Dry(exchange.account.Name, exchange.now()); wait > 0 {
		return wait, false
	}
	wait, lent, err := exchange.relay.config.Coordinator.Borrow(exchange.request.Context(), exchange.account.Name, cost)
	if err != nil {
		exchange.cause = err
		return noLoanRetryAfter, shares.Bridge(exchange.account, cost, exchange.now())
	}
	if !lent {
		shares.SetDry(exchange.account.Name, wait, exchange.now())
	}
	return wait, lent
}

// SetCoordinator sets the coordinator that is asked; it is called before the first request.
func (relay *Relay) SetCoordinator(coordinator Coordinator) { relay.config.Coordinator = coordinator }

// Draining tells whether [Relay.Drain] has been called.
func (relay *Relay) Draining() bool { return relay.draining.Load() }
