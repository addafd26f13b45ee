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
	// retryAfterFailure is the retry delay sent to callers after a failure.
	retryAfterFailure = time.Second
	// loadingRetryAfter is the retry delay for a model that no server has loaded.
	loadingRetryAfter = 2 * time.Second
)

// dispatcher runs each job as a sequence of numbered attempts at agents.
type dispatcher struct {
	config       Config
	confinement  *confinement
	attemptMeter metrics.Meter
	retryMeter   metrics.Meter
	resumeMeter  metrics.Meter
}

func newDispatcher(config Config) *dispatcher {
	return &dispatcher{
		config:       config,
		confinement:  newConfinement(config.Crashes, config.Plan),
		attemptMeter: metrics.GetOrRegisterMeter("entry.attempts", config.Metrics),
		retryMeter:   metrics.GetOrRegisterMeter("entry.retries", config.Metrics),
		resumeMeter:  metrics.GetOrRegisterMeter("entry.resumes", config.Metrics),
	}
}

// run makes attempts until one completes or no further one is allowed. The
// error is a *call.Refusal whose outcome covers all attempts.
func (dispatcher *dispatcher) run(ctx context.Context, job job, sink sink) (*wire.End, error) {
	if refusal := dispatcher.confinement.refusal(job, dispatcher.config.Clock.Now()); refusal != nil {
		return nil, refusal
	}
	progress := &progress{sink: sink, needsHead: job.query.Target.Service != ""}
	attemptHistory := &attemptHistory{}
	var excluded []names.BackendServer
	for number := 1; number <= dispatcher.config.Limits.Attempts; number++ {
		job.query.Allowed = dispatcher.confinement.allowedServers(job, excluded)
		choice, err := dispatcher.config.Router.Pick(dispatcher.config.Clock.Now(), job.query)
		if err != nil {
			return nil, attemptHistory.finalRefusal(routingRefusal(err))
		}
		job.query.Tried = append(job.query.Tried, choice.Server)
		end, refusal, allowOther := dispatcher.runAttempt(ctx, job, choice.Server, number, progress)
		if refusal == nil {
			return end, nil
		}
		attemptHistory.add(refusal)
		if allowOther {
			excluded = append(excluded, choice.Server)
		}
		if !dispatcher.waitForRetry(ctx, job, refusal, number) {
			break
		}
	}
	return nil, attemptHistory.finalRefusal(nil)
}

// waitForRetry asks the router whether a failed attempt may be retried, and
// waits for the delay that it returns. It reports whether to make another
// attempt.
func (dispatcher *dispatcher) waitForRetry(ctx context.Context, job job, refusal *call.Refusal, number int) bool {
	wait, allowed := dispatcher.config.Router.MayRetry(dispatcher.config.Clock.Now(), route.FailedAttempt{
		Kind: job.kind, Outcome: refusal.OutcomeOrUnknown(), Idempotent: job.idempotent, Code: refusal.Code, Attempts: number,
	})
	if !allowed || ctx.Err() != nil {
		event.EntryNotRetried.Log(dispatcher.config.Log, map[string]any{
			"request": job.request, "code": refusal.Code, "outcome": refusal.OutcomeOrUnknown().String(), "attempts": number,
		})
		return false
	}
	dispatcher.retryMeter.Mark(1)
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

// routingRefusal returns the refusal for an error of [Router.Pick].
func routingRefusal(err error) *call.Refusal {
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

// contextRefusal returns a refusal that says why ctx ended.
func contextRefusal(ctx context.Context) *call.Refusal {
	var refusal *call.Refusal
	if errors.As(context.Cause(ctx), &refusal) {
		return refusal
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &call.Refusal{Code: call.CodeDeadline, Message: "the deadline passed", Outcome: call.NotRun{}}
	}
	return &call.Refusal{Code: call.CodeCancelled, Message: "the caller gave up", Outcome: call.NotRun{}}
}

// asRefusal returns the refusal in err, or a generic one with an unknown
// outcome if there is none.
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
