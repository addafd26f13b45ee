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
	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/reply"
	"github.com/basilkeel/basilkeel/sched"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/trunk"
)

// Coordinator is the relay's view of the coordinator: it has models and adapters
// loaded and lends tokens of client accounts' limits.
type Coordinator interface {
	// AddWaiting adds delta to the number of requests that wait for a model of which no
	// server has a copy.
	AddWaiting(service names.Service, model names.Model, delta int)
	// LoadAdapter has a server load an adapter. It returns once the load has begun.
	LoadAdapter(ctx context.Context, server *pool.Server, adapter pool.Adapter) error
	// Borrow takes cost from an account's limits. If they are exhausted, it returns
	// false and the time after which to ask again.
	Borrow(ctx context.Context, account names.ClientAccount, cost float64) (time.Duration, bool, error)
	// Permit applies for a permit for one request to a server that has declared a request
	// rate. If there is none, it returns false and the time after which to apply again.
	Permit(ctx context.Context, application permit.Application) (time.Duration, bool, error)
	// Probe reports whether a request may be sent to one server although parts of its
	// prompt are quarantined.
	Probe(ctx context.Context, parts []crash.Fingerprint) (bool, error)
	// AddDemand adds a request's estimated work, in engine seconds, to the demand for a
	// model.
	AddDemand(service names.Service, model names.Model, work float64)
	// EntryCount returns the number of entries, or zero if it is unknown.
	EntryCount() int
	// Reachable reports whether the coordinator has responded recently.
	Reachable() bool
	// Place schedules one attempt of a request on an engine of a service.
	Place(ctx context.Context, service names.Service, request sched.Request) (sched.Decision, error)
	// Explain returns what Place would decide. It reserves nothing.
	Explain(ctx context.Context, service names.Service, request sched.Request) (sched.Explanation, error)
}

// Config holds the settings and dependencies of a [Relay].
type Config struct {
	Codec       Codec
	Pool        *pool.Pool
	Trunk       *trunk.Trunk
	Limiter     *share.Limiter
	Crashes     *crash.Tracker
	Coordinator Coordinator
	Clock       *clock.Service
	Log         logrus.FieldLogger
	Metrics     metrics.Registry
	Domain      names.FailureDomain
	// Memory bounds the bytes that are held for callers and servers; nil means no bound.
	Memory *memory.Budget
	// Regions tells which failure domains are in the homes of routes and accounts.
	Regions policy.Regions
	// CrashConfirmDelay is how long after a broken response the server must have sent
	// nothing to count as crashed. A crashed server takes some seconds to restart; one
	// that still runs responds to other requests within a fraction of a second.
	CrashConfirmDelay time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all entries together:
	// in any RetryWindow, at most RetryRatio times the requests plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Relay serves callers' requests by forwarding them to backend servers.
type Relay struct {
	config    Config
	budget    *budget
	snapshot  atomic.Pointer[policy.Snapshot]
	rejecting atomic.Bool
	active    atomic.Int64
	// drainUntil is when requests in progress are ended; nil means that the relay is not
	// draining.
	drainUntil atomic.Pointer[time.Time]
	// lateLimit is the longest time, in nanoseconds, of requests that still come; zero means
	// no limit.
	lateLimit  atomic.Int64
	progress   *progress
	durations  *durations
	homeFaults homeFaults
	stalls     *stalls
	transfers  *transfers
}

var _ http.Handler = (*Relay)(nil)

// New returns a relay that refuses all requests until [Relay.SetPolicy] is called.
func New(config Config) *Relay {
	if config.Memory == nil {
		config.Memory = memory.NewBudget(0)
	}
	registerMemory(config.Memory, config.Metrics)
	return &Relay{
		config: config, budget: newBudget(config.RetryRatio, config.RetrySlack, config.RetryWindow),
		progress:  &progress{cancels: map[*exchange]context.CancelFunc{}},
		durations: newDurations(),
		stalls:    newStalls(),
		transfers: newTransfers(config.Clock.Now),
	}
}

// SetPolicy replaces the policy that requests are served by.
func (relay *Relay) SetPolicy(snapshot *policy.Snapshot) { relay.snapshot.Store(snapshot) }

// Policy returns the current policy, or nil if there is none yet.
func (relay *Relay) Policy() *policy.Snapshot { return relay.snapshot.Load() }

// ActiveRequests returns the number of requests in progress.
func (relay *Relay) ActiveRequests() int64 { return relay.active.Load() }

// ServeHTTP implements [http.Handler].
func (relay *Relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	relay.active.Add(1)
	defer relay.active.Add(-1)
	exchange := &exchange{
		relay:   relay,
		writer:  reply.NewWriter(writer, request),
		request: request,
		started: relay.config.Clock.Now(),
		info:    relay.config.Codec.ReadRequest(request),
		memory:  relay.config.Memory.NewAccount(),
	}
	defer func() { exchange.memory.Close(exchange.now()) }()
	defer exchange.ensureResponse()
	exchange.serve()
	exchange.writer.Finish()
}

// serve admits the request and forwards it.
func (exchange *exchange) serve() {
	ctx, cancel := context.WithCancel(exchange.request.Context())
	defer cancel()
	exchange.relay.progress.begin(exchange, cancel)
	defer exchange.relay.progress.finish(exchange)
	if refusal := exchange.admit(ctx); refusal != nil {
		exchange.refuse(refusal)
		return
	}
	ctx, cancelAtDeadline := context.WithDeadline(ctx, exchange.deadline)
	defer cancelAtDeadline()
	exchange.forward(ctx)
}

// admit looks up the route and the account, reads the body and charges the account.
// It returns nil if the request is admitted.
func (exchange *exchange) admit(ctx context.Context) *refusal {
	snapshot, refused := exchange.relay.currentPolicy()
	if refused != nil {
		return refused
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
		exchange.account = snapshot.Account(exchange.info.Key)
		if exchange.account == nil {
			return &refusal{status: http.StatusUnauthorized, reason: ReasonUnknownKey}
		}
	}
	exchange.service = exchange.route.Target(rand.Float64())
	if refusal := exchange.bound(); refusal != nil {
		return refusal
	}
	if refusal := exchange.readBody(ctx, snapshot.Limits().BodyBytes); refusal != nil {
		return refusal
	}
	if exchange.quarantined() {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonQuarantined}
	}
	if refusal := exchange.holdStream(); refusal != nil {
		return refusal
	}
	return exchange.charge(ctx)
}

// currentPolicy returns the policy that requests are admitted by, or the refusal of all of
// them.
func (relay *Relay) currentPolicy() (*policy.Snapshot, *refusal) {
	if relay.rejecting.Load() {
		return nil, stopping()
	}
	snapshot := relay.snapshot.Load()
	if snapshot == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: ReasonNotReady, retryAfter: notReadyRetryAfter}
	}
	return snapshot, nil
}

// bound sets the deadline and the failure domains of a request whose route and account are
// known. It returns nil unless one of them makes the request impossible.
func (exchange *exchange) bound() *refusal {
	exchange.deadline = exchange.started.Add(exchange.route.Timeout)
	if exchange.info.Timeout > 0 && exchange.info.Timeout < exchange.route.Timeout {
		exchange.deadline = exchange.started.Add(exchange.info.Timeout)
	}
	if exchange.outlastsDrain(0) || exchange.limited() {
		return stopping()
	}
	return exchange.confine()
}

// charge takes the request's cost from its account's limits.
func (exchange *exchange) charge(ctx context.Context) *refusal {
	if exchange.account == nil {
		return nil
	}
	limiter := exchange.relay.config.Limiter
	cost := exchange.account.Cost(exchange.info.Tokens())
	wait, taken := limiter.Take(exchange.account, cost, exchange.now())
	if !taken && limiter.CanBorrow(exchange.now()) {
		wait, taken = exchange.borrow(ctx, cost)
	}
	if !taken {
		return &refusal{status: http.StatusTooManyRequests, reason: ReasonOverLimit, retryAfter: wait}
	}
	exchange.cost = cost
	return nil
}

// borrow takes the cost from the coordinator, unless that has just reported the
// account's limits as exhausted. If the coordinator doesn't respond, a small amount
// may be overdrawn.
func (exchange *exchange) borrow(ctx context.Context, cost float64) (time.Duration, bool) {
	limiter := exchange.relay.config.Limiter
	if wait := limiter.ExhaustedFor(exchange.account.Name, exchange.now()); wait > 0 {
		return wait, false
	}
	wait, lent, err := exchange.relay.config.Coordinator.Borrow(ctx, exchange.account.Name, cost)
	if err != nil {
		exchange.cause = err
		return noLoanRetryAfter, limiter.Overdraw(exchange.account, cost, exchange.now())
	}
	if !lent {
		limiter.SetExhausted(exchange.account.Name, wait, exchange.now())
	}
	return wait, lent
}

// SetCoordinator sets the coordinator. It must be called before the first request.
func (relay *Relay) SetCoordinator(coordinator Coordinator) { relay.config.Coordinator = coordinator }
