package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/reply"
	"github.com/basilkeel/basilkeel/sched"
	"github.com/basilkeel/basilkeel/trunk"
)

const (
	// maxSends bounds the servers that one request is sent to.
	maxSends = 3
	// attemptTimeoutObjectives is the time limit of an attempt that may be repeated, as a
	// multiple of the route's objective.
	attemptTimeoutObjectives = 3
	// defaultPromptTokens and defaultOutputTokens are assumed for requests that don't
	// specify their size.
	defaultPromptTokens = 600
	defaultOutputTokens = 200
)

// exchange is one caller's request with its response and all attempts to serve it.
type exchange struct {
	relay   *Relay
	writer  *reply.Writer
	request *http.Request
	info    RequestInfo
	// body is the request's body, memory the bytes that the request holds, and memoryWait the
	// time that reading the body may still wait for memory.
	body       memory.Pieces
	memory     *memory.Account
	memoryWait time.Duration
	// interrupted reports whether reading the body was interrupted.
	interrupted atomic.Bool
	// pendingHeld is what is held for an incomplete event beyond the buffers of a stream.
	pendingHeld   int64
	started       time.Time
	deadline      time.Time
	policyVersion int64
	route         *policy.Route
	service       names.Service
	account       *policy.Account
	cost          float64
	tried         []names.BackendServer
	// confined reports whether the route or the account has homes; domains are the failure
	// domains in them.
	confined bool
	domains  []names.FailureDomain
	// sends counts the attempts, possibleRuns those that may have run the request.
	sends        int
	possibleRuns int
	// server is the server of the last attempt, serverLoad its load when it was
	// selected.
	server     *pool.Server
	serverLoad float64
	// matched is what the header of the last response that belongs to the request says; it is
	// set only if the request has an ID.
	matched ResponseInfo
	// answered reports whether the server of the last attempt has begun to answer: with
	// the first event of a stream, or a whole response.
	answered bool
	// parts are the fingerprints of the parts that the prompt shares with others; nil means
	// that they have not been computed. probedParts are the quarantined ones that the request
	// probes.
	parts       []crash.Fingerprint
	probedParts []crash.Fingerprint
	// permit is the permit for the next attempt, if its server declares a request rate.
	permit sendPermit
	// scheduled is the reservation of the last attempt, or nil if the entry chose the server
	// itself.
	scheduled *sched.Placed
	// unscheduled is why the entry chose the last attempt's server itself although the
	// requests of the service are scheduled.
	unscheduled string
	// permitFailures counts the chosen servers for which there was no permit.
	permitFailures int
	// waited is the time spent on selecting servers.
	waited time.Duration
	// cause is the error of the last failed step.
	cause error
	// dry means that nothing may be sent, reserved or logged, see [Relay.Where].
	dry bool
	// stream is the stream whose header the caller has been sent; nil means none.
	stream *stream
	// firstByteAt is when the header of a stream was sent to the caller.
	firstByteAt time.Time
	// longestGap is the longest time between two reads of a stream.
	longestGap time.Duration
}

func (exchange *exchange) now() time.Time { return exchange.relay.config.Clock.Now() }

// forward sends the request to servers until the caller has its final response.
func (exchange *exchange) forward(ctx context.Context) {
	relay := exchange.relay
	relay.budget.setEntries(relay.config.Coordinator.EntryCount())
	relay.budget.deposit(exchange.service, exchange.now())
	if exchange.info.Model != "" {
		relay.config.Coordinator.AddDemand(exchange.service, exchange.info.Model, exchange.estimatedWork())
	}
	for {
		server, refusal := exchange.selectServer(ctx)
		if refusal != nil {
			exchange.giveUp(ctx, refusal)
			return
		}
		if exchange.attempt(ctx, server) {
			return
		}
		refusal = exchange.prepareRetry(ctx)
		if refusal != nil {
			exchange.giveUp(ctx, refusal)
			return
		}
	}
}

// estimatedWork returns an estimate of the engine time that the request takes, in
// seconds.
func (exchange *exchange) estimatedWork() float64 {
	prompt, output := exchange.info.PromptTokens, exchange.info.OutputTokens
	if prompt < 0 || output < 0 {
		prompt, output = defaultPromptTokens, defaultOutputTokens
	}
	return float64(prompt)/promptTokensPerSecond + float64(output)/outputTokensPerSecond
}

const (
	// promptTokensPerSecond is the rate at which the deployments' engines read prompts.
	promptTokensPerSecond = 38400
	// outputTokensPerSecond is the output rate of an engine with a full batch: 40
	// requests, each of which gets a token in each step of 5.9 ms.
	outputTokensPerSecond = 40 / 0.0059
)

// prepareRetry returns why the request can't be sent to another server. If it can, it
// takes the retry from the budget, records it and returns nil. A retry after an attempt
// that can't have reached its server costs no budget.
func (exchange *exchange) prepareRetry(ctx context.Context) *refusal {
	relay := exchange.relay
	mayRepeat := exchange.possibleRuns == 0 || (exchange.route.Repeatable() && exchange.possibleRuns < exchange.route.MaxAttempts)
	switch {
	case ctx.Err() != nil:
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonTimeUp, retryAfter: fullRetryAfter}
	case !mayRepeat:
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonAnswerBroken}
	case exchange.sends >= maxSends:
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonRefusedByServer, retryAfter: fullRetryAfter}
	case !neverSent(exchange.cause) && !relay.budget.tryWithdraw(exchange.service, exchange.now()):
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonRefusedByServer, retryAfter: fullRetryAfter}
	}
	exchange.recordResent()
	return nil
}

// attempt sends the request to a server and forwards the response. It reports whether
// the caller has its final response.
func (exchange *exchange) attempt(ctx context.Context, server *pool.Server) bool {
	relay := exchange.relay
	exchange.server, exchange.answered = server, false
	exchange.sends++
	prompt := max(exchange.info.PromptTokens, 0)
	sentAt := exchange.now()
	relay.config.Pool.StartRequest(server.ID, prompt, sentAt)
	defer relay.config.Pool.EndRequest(server.ID)
	relay.config.Pool.AddModelRequests(server, exchange.info.Model, exchange.info.Adapter, 1)
	defer relay.config.Pool.AddModelRequests(server, exchange.info.Model, exchange.info.Adapter, -1)
	attemptCtx, cancel := exchange.attemptContext(ctx)
	defer cancel()
	response, err := exchange.send(attemptCtx, server)
	relay.config.Pool.FinishPrompt(server.ID, prompt)
	if err != nil {
		exchange.recordNoResponse(ctx, server, sentAt, err)
		return false
	}
	defer response.Close()
	responseInfo := exchange.matched
	if exchange.info.ID == "" {
		responseInfo = relay.config.Codec.ReadResponse(response.Header)
	}
	// A server that is misdirected has not run the request, also if it does not say so.
	responseInfo.NotRun = responseInfo.NotRun || response.Status == http.StatusMisdirectedRequest
	callerHeader := relay.config.Codec.CallerHeader(response.Header)
	if err := exchange.validateResponse(response.Status, responseInfo, callerHeader); err != nil {
		exchange.possibleRuns++
		exchange.recordUnproven(server, err)
		exchange.recordFailure(ctx, server, err)
		return false
	}
	// Status 421 does not show that the server is alive: another server that has taken
	// over the address responds with it, too.
	if response.Status != http.StatusMisdirectedRequest {
		relay.config.Pool.RecordBytes(server.ID, sentAt, exchange.now())
	}
	exchange.applyServerState(server, responseInfo, response.Status, sentAt)
	if responseInfo.NotRun {
		exchange.recordNotRun(server, response.Status)
		return false
	}
	exchange.possibleRuns++
	failed := response.Status >= http.StatusInternalServerError
	if relay.config.Pool.RecordResponse(server.ID, failed) {
		exchange.logReturned(server)
	}
	if failed && exchange.route.Kind == policy.KindSafe && exchange.possibleRuns < exchange.route.MaxAttempts &&
		relay.budget.tryWithdraw(exchange.service, exchange.now()) {
		exchange.tried = append(exchange.tried, server.ID)
		if exchange.retryElsewhere(ctx) {
			return true
		}
	}
	reader := &responseReader{
		Response: response, callerHeader: callerHeader, exchange: exchange, server: server, sentAt: sentAt, lastReadAt: exchange.now(), requestErr: ctx.Err,
	}
	return exchange.forwardResponse(ctx, server, reader, responseInfo.Encoding)
}

// forwardResponse forwards a response to the request. It reports whether the caller has
// its final response.
func (exchange *exchange) forwardResponse(ctx context.Context, server *pool.Server, response *responseReader, encoding string) bool {
	switch {
	case exchange.route.Kind == policy.KindStream && response.Status < http.StatusMultipleChoices:
		return exchange.forwardStream(ctx, server, response, encoding)
	case exchange.stream != nil:
		// The caller has been sent the beginning of a stream, which this response doesn't
		// continue.
		exchange.tried = append(exchange.tried, server.ID)
		exchange.cause = &trunk.StatusError{Status: response.Status}
		return false
	default:
		return exchange.forwardWhole(ctx, server, response)
	}
}

// recordNoResponse records an attempt at sentAt that got no response. An attempt that was
// withheld says nothing about the server.
func (exchange *exchange) recordNoResponse(ctx context.Context, server *pool.Server, sentAt time.Time, err error) {
	if withheld(err) {
		exchange.cause = err
		return
	}
	if !neverSent(err) {
		exchange.possibleRuns++
		if ctx.Err() == nil {
			exchange.suspectBroken(server)
		} else {
			exchange.suspectSilent(server, sentAt)
		}
	}
	exchange.recordFailure(ctx, server, err)
}

// retryElsewhere sends a safe request that got a server error to another server, and
// reports whether the caller has its final response. If not, the first response can
// still be forwarded.
func (exchange *exchange) retryElsewhere(ctx context.Context) bool {
	choice, chosen := exchange.pick().(pool.Chosen)
	if !chosen || exchange.quarantined() || !exchange.obtainPermit(ctx, choice) {
		return false
	}
	first := exchange.server
	exchange.scheduled = nil
	exchange.recordResent()
	if exchange.attempt(ctx, choice.Server) {
		return true
	}
	exchange.server = first
	return false
}

// attemptContext returns the context of an attempt. It has a time limit if the request
// is safe and may be sent to another server afterwards.
func (exchange *exchange) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if exchange.route.Kind != policy.KindSafe || exchange.possibleRuns+1 >= exchange.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, attemptTimeoutObjectives*exchange.route.Objective)
}

// send sends the request to a server and returns the response, whose body is still to
// be read.
func (exchange *exchange) send(ctx context.Context, server *pool.Server) (*trunk.Response, error) {
	relay := exchange.relay
	now := exchange.now()
	attempt := Attempt{Server: server.ID, TimeLeft: exchange.deadline.Sub(now)}
	if exchange.stream != nil {
		attempt.ResumeAfter = exchange.stream.lastID
	}
	attempt.Prioritized, attempt.Priority = exchange.info.Model != "", exchange.priority()
	if exchange.account != nil {
		attempt.Account = exchange.account.Name
	}
	if exchange.route.Kind == policy.KindStream {
		stop := exchange.watchFirstByte(server)
		defer stop()
	}
	return relay.config.Trunk.Do(ctx, server.Address, &trunk.Request{
		Method:  exchange.request.Method,
		Target:  exchange.request.RequestURI,
		Host:    exchange.request.Host,
		Header:  relay.config.Codec.ServerHeader(exchange.request, attempt),
		Body:    exchange.body,
		Matches: exchange.matcher(),
		Skipped: func(status int, header http.Header) { exchange.recordSkipped(server, status, header) },
		StillWanted: func() bool {
			return !exchange.outlastsDrain(0) && exchange.maySend(server) && exchange.usePermit(server)
		},
	})
}

// watchFirstByte counts the request as slow at the server once it has waited too long
// for the first byte. The returned function ends this.
func (exchange *exchange) watchFirstByte(server *pool.Server) func() {
	var mutex sync.Mutex
	ended, counted := false, false
	timer := time.AfterFunc(slowFirstByteObjectives*exchange.route.Objective, func() {
		mutex.Lock()
		defer mutex.Unlock()
		if !ended {
			counted = true
			exchange.relay.config.Pool.AddSlow(server.ID, 1)
		}
	})
	return func() {
		timer.Stop()
		mutex.Lock()
		defer mutex.Unlock()
		ended = true
		if counted {
			exchange.relay.config.Pool.AddSlow(server.ID, -1)
		}
	}
}

// slowFirstByteObjectives is the time after which a stream without its first byte counts
// as slow, as a multiple of the route's objective.
const slowFirstByteObjectives = 2

// recordFailure records an attempt without a complete response: the server isn't
// selected again for this request and may be ejected.
func (exchange *exchange) recordFailure(ctx context.Context, server *pool.Server, err error) {
	exchange.cause = err
	exchange.tried = append(exchange.tried, server.ID)
	unsent := neverSent(err)
	if ctx.Err() != nil && !unsent && exchange.callerLeft() {
		// The caller has disconnected, which doesn't count against the server.
		return
	}
	until := exchange.relay.config.Pool.RecordFailure(server.ID, unsent, exchange.now())
	if !until.IsZero() {
		exchange.logEjected(server, until, err)
	}
}

// neverSent reports whether err shows that the request can't have reached its server.
func neverSent(err error) bool {
	var unsentError *trunk.UnsentError
	return errors.As(err, &unsentError)
}

// applyServerState applies what a response says about further requests to the server:
// that it is shutting down, that it must be sent none for some time, or at which rate it
// accepts them.
func (exchange *exchange) applyServerState(server *pool.Server, responseInfo ResponseInfo, status int, sentAt time.Time) {
	// Status 421 may come from another server that has taken over the address, or had it
	// before.
	if status == http.StatusMisdirectedRequest {
		return
	}
	exchange.applyRate(server, responseInfo.Rate, sentAt)
	if exchange.scheduled != nil && responseInfo.Load != nil && responseInfo.Load.PaceStated {
		exchange.relay.config.Pool.RecordSlowdown(server, responseInfo.Load.Pace, exchange.now())
	}
	exchange.applyLoad(server, responseInfo)
	if responseInfo.Leaving && exchange.relay.config.Pool.RecordDeparture(server, exchange.now()) {
		event.ServerLeaving.Log(exchange.relay.config.Log, logrus.Fields{"server": string(server.ID), "request": exchange.info.ID})
	}
	if status == http.StatusServiceUnavailable && responseInfo.Backoff > 0 {
		exchange.relay.config.Pool.Pause(server.ID, responseInfo.Backoff, exchange.now())
		event.ServerRests.Log(exchange.relay.config.Log, logrus.Fields{
			"server": string(server.ID), "request": exchange.info.ID, "seconds": responseInfo.Backoff.Seconds(),
		})
	}
}

// recordNotRun records that a server refused the request without running it.
func (exchange *exchange) recordNotRun(server *pool.Server, status int) {
	exchange.tried = append(exchange.tried, server.ID)
	exchange.cause = &trunk.StatusError{Status: status}
	if exchange.info.Model != "" && status == http.StatusMisdirectedRequest {
		exchange.relay.config.Pool.RecordMissingModel(server.ID, exchange.info.Model, exchange.now())
	}
}

// priority returns the account's priority if it has one, else the route's.
func (exchange *exchange) priority() int {
	if exchange.account != nil && exchange.account.HasPriority {
		return exchange.account.Priority
	}
	return exchange.route.Priority
}
