package agent

import (
	"context"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/wire"
)

// Admission delays work until the backend server has room for it.
type Admission interface {
	// Enter blocks until work may run, or returns a *call.Refusal. Its outcome is
	// [call.NotRun], or [call.Unknown] if the same attempt already waits or runs.
	// The permit must be ended with Complete or Abort.
	Enter(ctx context.Context, work Work) (Permit, error)
	// Load returns the load of the queue, as reported to entries.
	Load() *wire.Load
}

// Permit allows one attempt to run.
type Permit interface {
	// Context returns a context that is cancelled when the attempt must stop.
	Context() context.Context
	// Priority returns the attempt's priority in the engine.
	Priority() int
	// Progress reports the number of output tokens so far.
	Progress(output call.Tokens)
	// Complete ends an attempt that completed, with output tokens in total.
	Complete(output call.Tokens)
	// Abort ends an attempt that did not complete, after output tokens.
	Abort(output call.Tokens)
}
