package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/engine"
)

// brokenRetryAfter is when to retry after a failure of a backend server.
const brokenRetryAfter = time.Second

// refusalOf converts an error of an attempt to the refusal sent to the entry. The
// outcome is [call.NotRun] only if the error proves it.
func refusalOf(err error) *call.Refusal {
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

// statusRefusal converts an error status of a model engine, which sent no output.
// Not found, too many requests and service unavailable prove that the engine did
// not run the request.
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
