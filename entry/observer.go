package entry

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Observer learns how each request ended, for the report on objectives.
type Observer interface {
	Observe(observation Observation)
}

// Observation is one request as its caller saw it.
type Observation struct {
	Account names.ClientAccount
	Kind    call.Kind
	// Model and Adapter are empty for calls on plain services.
	Model   names.Model
	Adapter names.Adapter
	// MaxTokens is what the account would have been charged at most.
	MaxTokens call.Tokens
	// At is when the request ended.
	At time.Time
	// FirstToken is the time to the first output; zero where there was none.
	FirstToken time.Duration
	// LargestGap is the longest time between two tokens.
	LargestGap time.Duration
	// Duration is the time to the end.
	Duration time.Duration
	// ChargedTokens is what the account was charged.
	ChargedTokens call.Tokens
	// Refusal is nil where the answer was whole.
	Refusal *call.Refusal
}
