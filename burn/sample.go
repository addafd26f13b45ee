package burn

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Sample describes one request as its caller saw it.
type Sample struct {
	Account names.ClientAccount
	Kind    call.Kind
	// At is when the request ended.
	At time.Time
	// FirstToken is the time to the first output token; zero if there was none.
	FirstToken time.Duration
	// LargestGap is the longest time between two output tokens.
	LargestGap time.Duration
	// Whole is the time to the end of the response.
	Whole time.Duration
	// Tokens is the number of tokens charged to the account.
	Tokens call.Tokens
	// Refusal is nil if the response was complete.
	Refusal *call.Refusal
}
