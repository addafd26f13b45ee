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
	// mostSends bounds the servers that one request is offered to.
	mostSends = 3
	// firstByteObjectives is how many objectives a repeatable request waits for an
	// answer before it is sent elsewhere.
	firstByteObjectives = 3
	// plainTokens and plainOutput stand for requests that do not tell their size.
	plainTokens = 600
	plainOutput = 200
)

// passage is one request on its way.
type passage struct {
	relay   *Relay
	writer  http.ResponseWriter
	request *http.Request
	call    Call
	body    []byte
	started time.Time
	limit   time.Time
	version int64
	route   *policy.Route
	service names.Service
	account *policy.Account
	cost    float64
	tried   []names.BackendServer
	// sends counts the servers that were sent to, runs those that may have run the
	// request.
	sends int
	runs  int
	// server is the last one; lastLoad is its load when it was picked.
	server   *pool.Server
	lastLoad float64
	waited   time.Duration
	cause    error
	// resume is the last event that the caller has been sent.
	resume string
	begun  bool
	// firstAt is when a stream's first byte went to the caller.
	firstAt time.Time
	// longestGap is the longest pause between two reads of a stream.
	longestGap time.Duration
}

func (passage *passage) readBody(most int64) *refusal {
	var reader io.Reader = passage.request.Body
	if most > 0 {
		if passage.request.ContentLength > most {
			return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodySize}
		}
		reader = http.MaxBytesReader(passage.writer, passage.request.Body, most)
	}
	if passage.request.ContentLength == 0 {
		return nil
	}
	if passage.request.ContentLength > 0 {
		passage.body = make([]byte, passage.request.ContentLength)
		_, passage.cause = io.ReadFull(reader, passage.body)
	} else {
		passage.body, passage.cause = io.ReadAll(reader)
	}
	var sizeError *http.MaxBytesError
	switch {
	case errors.As(passage.cause, &sizeError):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodySize}
	case passage.cause != nil:
		return &refusal{status: http.StatusBadRequest, reason: ReasonBody}
	default:
		return nil
	}
}

func (passage *passage) now() time.Time { return passage.relay.config.Clock.Now() }

// run sends the request until there is a final answer.
func (passage *passage) run(ctx context.Context) {
	relay := passage.relay
	relay.budget.among(relay.config.Coordinator.Entries())
	relay.budget.earn(passage.service, passage.now())
	if passage.call.Model != "" {
		relay.config.Coordinator.Demand(passage.service, passage.call.Model, passage.work())
	}
	for {
		server, refusal := passage.place(ctx)
		if refusal != nil {
			passage.giveUp(ctx, refusal)
			return
		}
		if passage.attempt(ctx, server) {
			return
		}
		refusal = passage.again(ctx)
		if refusal != nil {
			passage.giveUp(ctx, refusal)
			return
		}
	}
}

// work estimates the time that an engine spends on the request alone.
func (passage *passage) work() float64 {
	prompt, output := passage.call.PromptTokens, passage.call.OutputTokens
	if prompt < 0 || output < 0 {
		prompt, output = plainTokens, plainOutput
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

// again tells why the request cannot be sent to another server, or nil.
func (passage *passage) again(ctx context.Context) *refusal {
	relay := passage.relay
	mayRepeat := passage.runs == 0 || (passage.route.Repeatable() && passage.runs < passage.route.MaxAttempts)
	switch {
	case ctx.Err() != nil:
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonTimeUp, after: fullPause}
	case !mayRepeat:
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonBroken}
	case passage.sends >= mostSends:
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonNotRun, after: fullPause}
	case !neverSent(passage.cause) && !relay.budget.spend(passage.service, passage.now()):
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonNotRun, after: fullPause}
	}
	passage.resent()
	return nil
}

// attempt sends the request to a server. It returns true where the caller has
// its final answer.
func (passage *passage) attempt(ctx context.Context, server *pool.Server) bool {
	relay := passage.relay
	passage.server = server
	passage.sends++
	prompt := max(passage.call.PromptTokens, 0)
	sent := passage.now()
	relay.config.Pool.StartRequest(server.ID, prompt, sent)
	defer relay.config.Pool.EndRequest(server.ID)
	attemptCtx, cancel := passage.attemptContext(ctx)
	defer cancel()
	response, err := passage.send(attemptCtx, server)
	relay.config.Pool.FinishPrompt(server.ID, prompt)
	if err != nil {
		if !neverSent(err) {
			passage.runs++
			if ctx.Err() == nil {
				passage.suspect(server)
			} else {
				passage.suspectSilent(server, sent)
			}
		}
		passage.note(ctx, server, err)
		return false
	}
	defer response.Close()
	answer := relay.config.Codec.ReadAnswer(response.Header)
	// Another server that has taken over the address answers so, too.
	if response.Status != http.StatusMisdirectedRequest {
		relay.config.Pool.RecordBytes(server.ID, sent, passage.now())
	}
	passage.heed(server, answer, response.Status)
	if answer.NotRun {
		passage.notRun(server, response.Status)
		return false
	}
	passage.runs++
	failed := response.Status >= http.StatusInternalServerError
	if relay.config.Pool.RecordResponse(server.ID, failed) {
		passage.returned(server)
	}
	if failed && passage.route.Kind == policy.KindSafe && passage.runs < passage.route.MaxAttempts &&
		relay.budget.spend(passage.service, passage.now()) {
		passage.tried = append(passage.tried, server.ID)
		if passage.attemptElsewhere(ctx) {
			return true
		}
	}
	reader := &answerReader{Response: response, passage: passage, server: server, sent: sent, last: passage.now(), over: ctx.Err}
	switch {
	case passage.route.Kind == policy.KindStream && response.Status < http.StatusMultipleChoices:
		return passage.streamOut(ctx, server, reader)
	case passage.begun:
		// The caller has the beginning of a stream, with which this does not go on.
		passage.tried = append(passage.tried, server.ID)
		passage.cause = &trunk.StatusError{Status: response.Status}
		return false
	default:
		return passage.wholeOut(ctx, server, reader)
	}
}

// attemptElsewhere offers a safe request that a server failed to another one,
// and tells whether that gave the final answer. The first answer is still there
// where it did not.
func (passage *passage) attemptElsewhere(ctx context.Context) bool {
	choice, chosen := passage.pick().(pool.Chosen)
	if !chosen || passage.quarantined() {
		return false
	}
	first := passage.server
	passage.resent()
	if passage.attempt(ctx, choice.Server) {
		return true
	}
	passage.server = first
	return false
}

// attemptContext bounds an attempt that may be repeated elsewhere.
func (passage *passage) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if passage.route.Kind != policy.KindSafe || passage.runs+1 >= passage.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, firstByteObjectives*passage.route.Objective)
}

func (passage *passage) send(ctx context.Context, server *pool.Server) (*trunk.Response, error) {
	relay := passage.relay
	now := passage.now()
	attempt := Attempt{Server: server.ID, Left: passage.limit.Sub(now), Resume: passage.resume}
	attempt.Prioritized, attempt.Priority = passage.call.Model != "", passage.priority()
	if passage.account != nil {
		attempt.Account = passage.account.Name
	}
	wanted := passage.call.ID
	if passage.route.Kind == policy.KindStream {
		stop := passage.watchFirstByte(server)
		defer stop()
	}
	return relay.config.Trunk.Do(ctx, server.Address, &trunk.Request{
		Method: passage.request.Method,
		Target: passage.request.RequestURI,
		Host:   passage.request.Host,
		Header: relay.config.Codec.ServerHeader(passage.request, attempt),
		Body:   passage.body,
		Matches: func(header http.Header) bool {
			echoed := relay.config.Codec.ReadAnswer(header).Call
			return echoed == "" || echoed == wanted
		},
	})
}

// watchFirstByte counts the request against the server while it waits too long
// for its first byte. The result ends that.
func (passage *passage) watchFirstByte(server *pool.Server) func() {
	var mutex sync.Mutex
	ended, counted := false, false
	timer := time.AfterFunc(slowFirstByte*passage.route.Objective, func() {
		mutex.Lock()
		defer mutex.Unlock()
		if !ended {
			counted = true
			passage.relay.config.Pool.AddSlow(server.ID, 1)
		}
	})
	return func() {
		timer.Stop()
		mutex.Lock()
		defer mutex.Unlock()
		ended = true
		if counted {
			passage.relay.config.Pool.AddSlow(server.ID, -1)
		}
	}
}

// slowFirstByte is how many objectives a stream's first byte may take before
// the server counts as slow.
const slowFirstByte = 2

// note takes in that an attempt got no answer.
func (passage *passage) note(ctx context.Context, server *pool.Server, err error) {
	passage.cause = err
	passage.tried = append(passage.tried, server.ID)
	unsent := neverSent(err)
	if ctx.Err() != nil && !unsent && passage.request.Context().Err() != nil {
		// The caller left; this says nothing of the server.
		return
	}
	until := passage.relay.config.Pool.RecordFailure(server.ID, unsent, passage.now())
	if !until.IsZero() {
		passage.ejected(server, until, err)
	}
}

// neverSent tells whether a request certainly did not reach its server.
func neverSent(err error) bool {
	var unsentError *trunk.UnsentError
	return errors.As(err, &unsentError)
}

// heed takes in what a server wants of this instance from now on.
func (passage *passage) heed(server *pool.Server, answer Answer, status int) {
	if answer.Leaving && passage.relay.config.Pool.RecordDeparture(server, passage.now()) {
		event.ServerLeaving.Log(passage.relay.config.Log, logrus.Fields{"server": string(server.ID), "request": passage.call.ID})
	}
	if status == http.StatusServiceUnavailable && answer.Rest > 0 {
		passage.relay.config.Pool.Pause(server.ID, answer.Rest, passage.now())
		event.ServerRests.Log(passage.relay.config.Log, logrus.Fields{
			"server": string(server.ID), "request": passage.call.ID, "seconds": answer.Rest.Seconds(),
		})
	}
}

// notRun takes in that a server says it did not run the request.
func (passage *passage) notRun(server *pool.Server, status int) {
	passage.tried = append(passage.tried, server.ID)
	passage.cause = &trunk.StatusError{Status: status}
	if passage.call.Model != "" && status == http.StatusMisdirectedRequest {
		passage.relay.config.Pool.RecordMissingModel(server.ID, passage.call.Model, passage.now())
	}
}

// priority is the account's rank where it has one, else the route's.
func (passage *passage) priority() int {
	if passage.account != nil && passage.account.HasPriority {
		return passage.account.Priority
	}
	return passage.route.Priority
}
