package queue

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Item is one attempt to run a request on the backend server.
type Item struct {
	ID      ID
	Account names.ClientAccount
	// Weight is the account's weight under contention; values below one count as
	// one.
	Weight int
	Kind   call.Kind
	// Objective is the latency objective of the request, counted from Arrived.
	Objective call.Objective
	// Arrived is when the request reached the system; zero means when offered.
	Arrived time.Time
	// Deadline is when a waiting request is refused; zero means none.
	Deadline time.Time
	// Model is the model that runs the request; empty for a plain service.
	Model names.Model
	// PromptTokens counts the tokens of the prompt that are not in the prefix cache.
	PromptTokens call.Tokens
	// MaxTokens bounds the output.
	MaxTokens call.Tokens
	// CacheTokens is the KV cache to reserve while the request runs.
	CacheTokens call.Tokens
	// Bytes is the memory that the request takes while it waits.
	Bytes int64
}
