package route

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

const (
	// retryDelay is the mean wait before the second retry; it doubles from there.
	retryDelay = 20 * time.Millisecond
	// mostRetryDelay bounds the wait before a retry.
	mostRetryDelay = 500 * time.Millisecond
	// refusedLimit is the share of refused attempts above which another server
	// is not expected to have room either.
	refusedLimit = 0.5
	// maxTries bounds the attempts of one request.
	maxTries = 4
)

// FailedAttempt describes an attempt that ended without an answer.
type FailedAttempt struct {
	Kind       call.Kind
	Outcome    call.Outcome
	Idempotent bool
	// Code is the reason of the refusal or failure.
	Code call.Code
	// Attempts counts the attempts so far, this one included.
	Attempts int
}

// MayRetry tells whether a request may be tried again, and after which wait. A
// refusal by a server that is leaving, or that lacks the model, costs nothing:
// it is no sign of load, and the server is left alone for a while.
func (router *Router) MayRetry(_ time.Time, failedAttempt FailedAttempt) (time.Duration, bool) {
	if !repeatable(failedAttempt) || failedAttempt.Attempts >= maxTries {
		return 0, false
	}
	if failedAttempt.Code == call.CodeDraining || failedAttempt.Code == call.CodeLoading {
		return 0, true
	}
	if !router.config.Policy.NoBudget {
		if failedAttempt.Code == call.CodeOverloaded && router.refused > refusedLimit {
			return 0, false
		}
		if !router.retries.spend() {
			return 0, false
		}
	}
	return router.retryDelay(failedAttempt.Attempts), true
}

// repeatable tells whether a further attempt could run a request twice that
// must not be, or would not help.
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

// MayHedge tells whether a second attempt may start while the first still runs.
// The shell asks once the first has taken unusually long.
func (router *Router) MayHedge(_ time.Time, idempotent bool) bool {
	if !idempotent || router.refused > refusedLimit {
		return false
	}
	return router.config.Policy.NoBudget || router.hedges.spend()
}

// HedgeAfter is how long an attempt may take to its first token before a second
// is worth it; zero means that too little is known.
func (router *Router) HedgeAfter(target Target) time.Duration {
	view, ok := router.views[target]
	if !ok {
		return 0
	}
	return time.Duration(slowRatio * view.firstToken * float64(time.Second))
}

// retryDelay is none for the first retry, which goes to another server, and a
// random one that doubles from there.
func (router *Router) retryDelay(tries int) time.Duration {
	if tries <= 1 {
		return 0
	}
	delay := min(retryDelay<<(tries-2), mostRetryDelay)
	return time.Duration(router.random.Int64N(int64(2 * delay)))
}
