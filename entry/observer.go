package entry

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Observer is notified of each request that has ended, for the report on
// objectives.
type Observer interface {
	Observe(observation Observation)
}

// Observation describes one request as its caller saw it.
type Observation struct {
	Account names.ClientAccount
	Kind    call.Kind
	// Model and Adapter are empty for calls on plain services.
	Model   names.Model
	Adapter names.Adapter
	// MaxTokens is the most that a completion could be charged; zero for calls
	// on plain services.
	MaxTokens call.Tokens
	// At is when the request ended.
	At time.Time
	// FirstToken is the time to the first output; zero if there was none.
	FirstToken time.Duration
	// LargestGap is the longest time between two tokens.
	LargestGap time.Duration
	// Duration is the time from the arrival of the request to its end.
	Duration time.Duration
	// ChargedTokens is the number of tokens that a completion was charged, or
	// the fixed price of a call on a plain service.
	ChargedTokens call.Tokens
	// Refusal is nil if the response was complete.
	Refusal *call.Refusal
}
