package entry

import (
	"context"
	"errors"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/route"
	"github.com/basilkeel/basilkeel/wire"
)

const (
	// retryAfterFailure is when to come back after every server has failed.
	retryAfterFailure = time.Second
	// loadingRetryAfter is when to come back for a model that no server has.
	loadingRetryAfter = 2 * time.Second
)

// dispatcher runs jobs as numbered attempts at agents.
type dispatcher struct {
	config   Config
	confined *confinement
	attempts metrics.Meter
	retries  metrics.Meter
	resumes  metrics.Meter
}

func newDispatcher(config Config) *dispatcher {
	return &dispatcher{
		config:   config,
		confined: newConfinement(config.Crashes, config.Plan),
		attempts: metrics.GetOrRegisterMeter("entry.attempts", config.Metrics),
		retries:  metrics.GetOrRegisterMeter("entry.retries", config.Metrics),
		resumes:  metrics.GetOrRegisterMeter("entry.resumes", config.Metrics),
	}
}

// run sends attempts until one is whole. The error is a *call.Refusal whose
// outcome covers all attempts together.
func (dispatcher *dispatcher) run(ctx context.Context, job job, sink sink) (*wire.End, error) {
	if refusal := dispatcher.confined.refuse(job, dispatcher.config.Clock.Now()); refusal != nil {
		return nil, refusal
	}
	progress := &progress{sink: sink}
	ended := &attempts{}
	var passers []names.BackendServer
	for number := 1; number <= dispatcher.config.Limits.Attempts; number++ {
		job.query.Allowed = dispatcher.confined.allowed(job, passers)
		choice, err := dispatcher.config.Router.Pick(dispatcher.config.Clock.Now(), job.query)
		if err != nil {
			return nil, ended.conclude(unroutable(err))
		}
		job.query.Tried = append(job.query.Tried, choice.Server)
		end, refusal, passed := dispatcher.attempt(ctx, job, choice.Server, number, progress)
		if refusal == nil {
			return end, nil
		}
		ended.add(refusal)
		if passed {
			passers = append(passers, choice.Server)
		}
		if !dispatcher.pause(ctx, job, refusal, number) {
			break
		}
	}
	return nil, ended.conclude(nil)
}

// pause asks the retry budget after an attempt that was not whole, and waits as
// long as it says. It returns false where there is to be no other attempt.
func (dispatcher *dispatcher) pause(ctx context.Context, job job, refusal *call.Refusal, number int) bool {
	wait, allowed := dispatcher.config.Router.MayRetry(dispatcher.config.Clock.Now(), route.FailedAttempt{
		Kind: job.kind, Outcome: refusal.Result(), Idempotent: job.idempotent, Code: refusal.Code, Attempts: number,
	})
	if !allowed || ctx.Err() != nil {
		event.EntryNotRetried.Log(dispatcher.config.Log, map[string]any{
			"request": job.request, "code": refusal.Code, "outcome": refusal.Result().String(), "attempts": number,
		})
		return false
	}
	dispatcher.retries.Mark(1)
	if wait <= 0 {
		return true
	}
	select {
	case <-dispatcher.config.Clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (dispatcher *dispatcher) ticket(job job, server names.BackendServer, number int) ([]byte, error) {
	return dispatcher.config.Signer.Sign(ident.Ticket{
		Account:  job.account,
		Request:  job.request,
		Kind:     job.kind,
		Server:   server,
		Attempt:  uint32(number),
		Deadline: job.deadline,
		Once:     !job.idempotent,
	})
}

// unroutable maps the want of a server to a refusal.
func unroutable(err error) *call.Refusal {
	var unavailableError *route.UnavailableError
	if errors.As(err, &unavailableError) && unavailableError.Replicas == 0 {
		return &call.Refusal{
			Code: call.CodeLoading, Message: "no server has the model or service yet",
			Outcome: call.NotRun{}, RetryAfter: loadingRetryAfter,
		}
	}
	return &call.Refusal{
		Code: call.CodeUnavailable, Message: "no server is left to try",
		Outcome: call.NotRun{}, RetryAfter: retryAfterFailure,
	}
}

// abandonment tells why ctx ended.
func abandonment(ctx context.Context) *call.Refusal {
	var refusal *call.Refusal
	if errors.As(context.Cause(ctx), &refusal) {
		return refusal
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &call.Refusal{Code: call.CodeDeadline, Message: "the deadline passed", Outcome: call.NotRun{}}
	}
	return &call.Refusal{Code: call.CodeCancelled, Message: "the caller gave up", Outcome: call.NotRun{}}
}

// asRefusal returns err as a refusal; one that is not becomes a plain failure.
func asRefusal(err error) *call.Refusal {
	var refusal *call.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &call.Refusal{
		Code: call.CodeUnavailable, Message: "the request cannot be served now",
		Outcome: call.Unknown{}, RetryAfter: retryAfterFailure,
	}
}
