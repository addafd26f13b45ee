package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/trunk"
)

const (
	// maxSends bounds the servers that one request is offered to.
	maxSends = 3
	// firstByteTimeoutObjectives is how many objectives a repeatable request waits for an
	// answer before it is sent elsewhere.
	firstByteTimeoutObjectives = 3
	// defaultPromptTokens and plainOutput stand for requests that do not tell their size.
	defaultPromptTokens = 600
	defaultOutputTokens = 200
)

// exchange is one request on its way.
type exchange struct {
	relay         *Relay
	writer        http.ResponseWriter
	request       *http.Request
	call          RequestInfo
	body          []byte
	started       time.Time
	deadline      time.Time
	policyVersion int64
	route         *policy.Route
	service       names.Service
	account       *policy.Account
	cost          float64
	tried         []names.BackendServer
	// sends counts the servers that were sent to, runs those that may have run the
	// request.
	sends        int
	possibleRuns int
	// server is the last one; lastLoad is its load when it was picked.
	server     *pool.Server
	serverLoad float64
	waited     time.Duration
	cause      error
	// lastEventID is the last event that the caller has been sent.
	lastEventID   string
	streamStarted bool
	// firstByteAt is when a stream's first byte went to the caller.
	firstByteAt time.Time
	// longestGap is the longest pause between two reads of a stream.
	longestGap time.Duration
}

func (exchange *exchange) readBody(maxBytes int64) *refusal {
	var reader io.Reader = exchange.request.Body
	if maxBytes > 0 {
		if exchange.request.ContentLength > maxBytes {
			return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooLarge}
		}
		reader = http.MaxBytesReader(exchange.writer, exchange.request.Body, maxBytes)
	}
	if exchange.request.ContentLength == 0 {
		return nil
	}
	if exchange.request.ContentLength > 0 {
		exchange.body = make([]byte, exchange.request.ContentLength)
		_, exchange.cause = io.ReadFull(reader, exchange.body)
	} else {
		exchange.body, exchange.cause = io.ReadAll(reader)
	}
	var sizeError *http.MaxBytesError
	switch {
	case errors.As(exchange.cause, &sizeError):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooLarge}
	case exchange.cause != nil:
		return &refusal{status: http.StatusBadRequest, reason: ReasonBodyNotRead}
	default:
		return nil
	}
}

func (exchange *exchange) now() time.Time { return exchange.relay.config.Clock.Now() }

// forward sends the request until there is a final answer.
func (exchange *exchange) forward(ctx context.Context) {
	relay := exchange.relay
	relay.budget.setEntries(relay.config.Coordinator.EntryCount())
	relay.budget.deposit(exchange.service, exchange.now())
	if exchange.call.Model != "" {
		relay.config.Coordinator.AddDemand(exchange.service, exchange.call.Model, exchange.estimatedWork())
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

// estimatedWork estimates the time that an engine spends on the request alone.
func (exchange *exchange) estimatedWork() float64 {
	prompt, output := exchange.call.PromptTokens, exchange.call.OutputTokens
	if prompt < 0 || output < 0 {
		prompt, output = defaultPromptTokens, defaultOutputTokens
	}
	return float64(prompt)/promptTokensPerSecond + float64(output)/outputTokensPerSecond
}

const (
	// promptTokensPerSecond is the pace of the deployments' engines.
	promptTokensPerSecond = 38400
	// outputTokensPerSecond is the pace of an engine over a full batch: 40 requests
	// at 5.9 ms a step.
	outputTokensPerSecond = 40 / 0.0059
)

// prepareRetry tells why the request cannot be sent to another server, or nil.
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

// attempt sends the request to a server. It returns true where the caller has
// its final answer.
func (exchange *exchange) attempt(ctx context.Context, server *pool.Server) bool {
	relay := exchange.relay
	exchange.server = server
	exchange.sends++
	prompt := max(exchange.call.PromptTokens, 0)
	sent := exchange.now()
	relay.config.Pool.Begin(server.ID, prompt, sent)
	defer relay.config.Pool.End(server.ID)
	attemptCtx, cancel := exchange.attemptContext(ctx)
	defer cancel()
	response, err := exchange.send(attemptCtx, server)
	relay.config.Pool.Read(server.ID, prompt)
	if err != nil {
		if !neverSent(err) {
			exchange.possibleRuns++
			if ctx.Err() == nil {
				exchange.suspectBroken(server)
			} else {
				exchange.suspectSilent(server, sent)
			}
		}
		exchange.recordFailure(ctx, server, err)
		return false
	}
	defer response.Close()
	responseInfo := relay.config.Codec.ReadResponse(response.Header)
	// Another server that has taken over the address answers so, too.
	if response.Status != http.StatusMisdirectedRequest {
		relay.config.Pool.Heard(server.ID, sent, exchange.now())
	}
	exchange.applyServerState(server, responseInfo, response.Status)
	if responseInfo.NotRun {
		exchange.recordNotRun(server, response.Status)
		return false
	}
	exchange.possibleRuns++
	failed := response.Status >= http.StatusInternalServerError
	if relay.config.Pool.Answered(server.ID, failed) {
		exchange.logReturned(server)
	}
	if failed && exchange.route.Kind == policy.KindSafe && exchange.possibleRuns < exchange.route.MaxAttempts &&
		relay.budget.tryWithdraw(exchange.service, exchange.now()) {
		exchange.tried = append(exchange.tried, server.ID)
		if exchange.retryElsewhere(ctx) {
			return true
		}
	}
	reader := &responseReader{Response: response, passage: exchange, server: server, sentAt: sent, lastReadAt: exchange.now(), requestErr: ctx.Err}
	switch {
	case exchange.route.Kind == policy.KindStream && response.Status < http.StatusMultipleChoices:
		return exchange.forwardStream(ctx, server, reader)
	case exchange.streamStarted:
		// The caller has the beginning of a stream, with which this does not go on.
		exchange.tried = append(exchange.tried, server.ID)
		exchange.cause = &trunk.StatusError{Status: response.Status}
		return false
	default:
		return exchange.forwardWhole(ctx, server, reader)
	}
}

// retryElsewhere offers a safe request that a server failed to another one,
// and tells whether that gave the final answer. The first answer is still there
// where it did not.
func (exchange *exchange) retryElsewhere(ctx context.Context) bool {
	choice, chosen := exchange.pick().(pool.Chosen)
	if !chosen || exchange.quarantined() {
		return false
	}
	first := exchange.server
	exchange.recordResent()
	if exchange.attempt(ctx, choice.Server) {
		return true
	}
	exchange.server = first
	return false
}

// attemptContext bounds an attempt that may be repeated elsewhere.
func (exchange *exchange) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if exchange.route.Kind != policy.KindSafe || exchange.possibleRuns+1 >= exchange.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, firstByteTimeoutObjectives*exchange.route.Objective)
}

func (exchange *exchange) send(ctx context.Context, server *pool.Server) (*trunk.Response, error) {
	relay := exchange.relay
	now := exchange.now()
	attempt := Attempt{Server: server.ID, TimeLeft: exchange.deadline.Sub(now), ResumeAfter: exchange.lastEventID}
	attempt.Prioritized, attempt.Priority = exchange.call.Model != "", exchange.priority()
	if exchange.account != nil {
		attempt.Account = exchange.account.Name
	}
	wanted := exchange.call.ID
	if exchange.route.Kind == policy.KindStream {
		stop := exchange.watchFirstByte(server)
		defer stop()
	}
	return relay.config.Trunk.Do(ctx, server.Address, &trunk.Request{
		Method: exchange.request.Method,
		Target: exchange.request.RequestURI,
		Host:   exchange.request.Host,
		Header: relay.config.Codec.ServerHeader(exchange.request, attempt),
		Body:   exchange.body,
		Answers: func(header http.Header) bool {
			echoed := relay.config.Codec.ReadResponse(header).RequestID
			return echoed == "" || echoed == wanted
		},
	})
}

// watchFirstByte counts the request against the server while it waits too long
// for its first byte. The result ends that.
func (exchange *exchange) watchFirstByte(server *pool.Server) func() {
	var mutex sync.Mutex
	ended, counted := false, false
	timer := time.AfterFunc(slowFirstByteObjectives*exchange.route.Objective, func() {
		mutex.Lock()
		defer mutex.Unlock()
		if !ended {
			counted = true
			exchange.relay.config.Pool.Slow(server.ID, 1)
		}
	})
	return func() {
		timer.Stop()
		mutex.Lock()
		defer mutex.Unlock()
		ended = true
		if counted {
			exchange.relay.config.Pool.Slow(server.ID, -1)
		}
	}
}

// slowFirstByteObjectives is how many objectives a stream's first byte may take before
// the server counts as slow.
const slowFirstByteObjectives = 2

// recordFailure takes in that an attempt got no answer.
func (exchange *exchange) recordFailure(ctx context.Context, server *pool.Server, err error) {
	exchange.cause = err
	exchange.tried = append(exchange.tried, server.ID)
	unsent := neverSent(err)
	if ctx.Err() != nil && !unsent && exchange.request.Context().Err() != nil {
		// The caller left; this says nothing of the server.
		return
	}
	until := exchange.relay.config.Pool.Failed(server.ID, unsent, exchange.now())
	if !until.IsZero() {
		exchange.logEjected(server, until, err)
	}
}

// neverSent tells whether a request certainly did not reach its server.
func neverSent(err error) bool {
	var unsentError *trunk.UnsentError
	return errors.As(err, &unsentError)
}

// applyServerState takes in what a server wants of this instance from now on.
func (exchange *exchange) applyServerState(server *pool.Server, responseInfo ResponseInfo, status int) {
	if responseInfo.Leaving && exchange.relay.config.Pool.Leaving(server, exchange.now()) {
		event.ServerLeaving.Log(exchange.relay.config.Log, logrus.Fields{"server": string(server.ID), "request": exchange.call.ID})
	}
	if status == http.StatusServiceUnavailable && responseInfo.Backoff > 0 {
		exchange.relay.config.Pool.Rest(server.ID, responseInfo.Backoff, exchange.now())
		event.ServerRests.Log(exchange.relay.config.Log, logrus.Fields{
			"server": string(server.ID), "request": exchange.call.ID, "seconds": responseInfo.Backoff.Seconds(),
		})
	}
}

// recordNotRun takes in that a server says it did not run the request.
func (exchange *exchange) recordNotRun(server *pool.Server, status int) {
	exchange.tried = append(exchange.tried, server.ID)
	exchange.cause = &trunk.StatusError{Status: status}
	if exchange.call.Model != "" && status == http.StatusMisdirectedRequest {
		exchange.relay.config.Pool.Lacks(server.ID, exchange.call.Model, exchange.now())
	}
}

// priority is the account's rank where it has one, else the route's.
func (exchange *exchange) priority() int {
	if exchange.account != nil && exchange.account.HasPriority {
		return exchange.account.Priority
	}
	return exchange.route.Priority
}
