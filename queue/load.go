package queue

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// Load is the state of the queue that is reported to entries.
type Load struct {
	Queued  int
	Running int
	// QueuedTokens is the expected cost of the waiting requests, in output tokens.
	QueuedTokens call.Tokens
	// FirstToken is the expected time to the first token of a new interactive
	// request of an account without waiting requests.
	FirstToken time.Duration
	Draining   bool
}
