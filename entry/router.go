package entry

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/route"
)

// Router chooses the server of each attempt. It is safe for concurrent use.
type Router interface {
	// Pick returns where to send the next attempt, or a *route.UnavailableError.
	Pick(now time.Time, query route.Query) (route.Choice, error)
	// Sent records the start of an attempt.
	Sent(now time.Time, server names.BackendServer)
	// Answered records an attempt with a complete response.
	Answered(now time.Time, server names.BackendServer, observation route.Observation)
	// Failed records an attempt without a complete response.
	Failed(now time.Time, server names.BackendServer, observation route.Observation)
	// MayRetry reports whether another attempt is allowed, and after which delay.
	MayRetry(now time.Time, failedAttempt route.FailedAttempt) (time.Duration, bool)
}
