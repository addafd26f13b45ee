package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/engine"
)

// brokenRetryAfter is when to come back after a backend server failed.
const brokenRetryAfter = time.Second

// asRefusal maps an error of an attempt to the refusal that entries see. An
// outcome is [call.NotRun] only where the error proves it.
func asRefusal(err error) *call.Refusal {
	var refusal *call.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var sendError *engine.SendError
	if errors.As(err, &sendError) && !sendError.MaybeSent {
		return &call.Refusal{
			Code: call.CodeUnavailable, Message: "the backend server cannot be reached",
			Outcome: call.NotRun{}, RetryAfter: brokenRetryAfter,
		}
	}
	var statusError *engine.StatusError
	if errors.As(err, &statusError) {
		return statusRefusal(statusError)
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return &call.Refusal{Code: call.CodeDeadline, Message: "the deadline passed while the request ran", Outcome: call.Unknown{}}
	case errors.Is(err, context.Canceled):
		return &call.Refusal{Code: call.CodeCancelled, Message: "the caller gave up", Outcome: call.Unknown{}}
	default:
		return &call.Refusal{
			Code: call.CodeBroken, Message: "the backend server failed while the request ran",
			Outcome: call.Unknown{}, RetryAfter: brokenRetryAfter,
		}
	}
}

// statusRefusal maps the answer of a model engine that did not begin an output.
// The statuses by which an engine refuses work prove that it did not run.
func statusRefusal(statusError *engine.StatusError) *call.Refusal {
	switch statusError.Status {
	case http.StatusNotFound:
		return &call.Refusal{
			Code: call.CodeLoading, Message: "the model is not resident",
			Outcome: call.NotRun{}, RetryAfter: loadingRetryAfter,
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &call.Refusal{
			Code: call.CodeOverloaded, Message: "the model engine has no room",
			Outcome: call.NotRun{}, RetryAfter: brokenRetryAfter,
		}
	default:
		return &call.Refusal{
			Code: call.CodeBroken, Message: statusError.Error(),
			Outcome: call.Unknown{}, RetryAfter: brokenRetryAfter,
		}
	}
}
