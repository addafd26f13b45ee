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
	// Sent notes an attempt under way.
	Sent(now time.Time, server names.BackendServer)
	// Answered notes a whole answer.
	Answered(now time.Time, server names.BackendServer, observation route.Observation)
	// Failed notes an attempt without a whole answer.
	Failed(now time.Time, server names.BackendServer, observation route.Observation)
	// MayRetry tells whether another attempt is allowed, and after which wait.
	MayRetry(now time.Time, failedAttempt route.FailedAttempt) (time.Duration, bool)
}
