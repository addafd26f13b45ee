package route

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

const (
	// baseRetryDelay is the mean delay of the second retry; it doubles with each
	// later one.
	baseRetryDelay = 20 * time.Millisecond
	// maxRetryDelay bounds the mean delay of a retry.
	maxRetryDelay = 500 * time.Millisecond
	// maxRefusedShare is the share of refused attempts above which the other
	// servers are assumed to be overloaded too.
	maxRefusedShare = 0.5
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
)

// FailedAttempt describes an attempt that ended without a complete answer.
type FailedAttempt struct {
	Kind       call.Kind
	Outcome    call.Outcome
	Idempotent bool
	// Code is the reason for the refusal or failure.
	Code call.Code
	// Attempts counts the attempts so far, including this one.
	Attempts int
}

// MayRetry returns the delay before a request is retried, and reports whether it
// may be. A retry after a refusal by a server that is draining or lacks the
// model is immediate and doesn't spend budget: such a refusal is no sign of
// overload, and the server isn't picked again for a while.
func (router *Router) MayRetry(_ time.Time, failedAttempt FailedAttempt) (time.Duration, bool) {
	if !repeatable(failedAttempt) || failedAttempt.Attempts >= maxAttempts {
		return 0, false
	}
	if failedAttempt.Code == call.CodeDraining || failedAttempt.Code == call.CodeLoading {
		return 0, true
	}
	if !router.config.Policy.NoBudget {
		if failedAttempt.Code == call.CodeOverloaded && router.refusedShare > maxRefusedShare {
			return 0, false
		}
		if !router.retries.spend() {
			return 0, false
		}
	}
	return router.retryDelay(failedAttempt.Attempts), true
}

// repeatable reports whether another attempt may succeed and can't run a request
// twice that is not idempotent.
func repeatable(failedAttempt FailedAttempt) bool {
	switch failedAttempt.Code {
	case call.CodeOverloaded, call.CodeDraining, call.CodeLoading, call.CodeUnavailable, call.CodeBroken:
	default:
		return false
	}
	switch failedAttempt.Outcome.(type) {
	case call.NotRun:
		return true
	case call.Run, call.Unknown:
		return failedAttempt.Idempotent
	default:
		return failedAttempt.Idempotent
	}
}

// MayHedge reports whether a second attempt may start while the first still
// runs. The caller asks when the first has run for [Router.HedgeAfter].
func (router *Router) MayHedge(_ time.Time, idempotent bool) bool {
	if !idempotent || router.refusedShare > maxRefusedShare {
		return false
	}
	return router.config.Policy.NoBudget || router.hedges.spend()
}

// HedgeAfter returns how long an attempt may take to its first token before a
// hedge is worthwhile; zero means that no answer of the target was measured.
func (router *Router) HedgeAfter(target Target) time.Duration {
	view, ok := router.views[target]
	if !ok {
		return 0
	}
	return time.Duration(slowRatio * view.firstToken * float64(time.Second))
}

// retryDelay returns the delay before the retry that follows the given number of
// attempts. The first retry, which goes to another server, has none; later ones
// have a random delay whose mean doubles each time.
func (router *Router) retryDelay(attempts int) time.Duration {
	if attempts <= 1 {
		return 0
	}
	delay := min(baseRetryDelay<<(attempts-2), maxRetryDelay)
	return time.Duration(router.random.Int64N(int64(2 * delay)))
}
