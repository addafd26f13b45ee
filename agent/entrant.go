package agent

import (
	"context"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/queue"
)

// entrant is one attempt that waits in, or was let through by, a [QueueAdmission].
type entrant struct {
	id     queue.ID
	queued *QueueAdmission
	// decided is closed once priority and refusal are final.
	decided  chan struct{}
	priority int
	refusal  *call.Refusal
	cancel   context.CancelFunc
	ctx      context.Context //nolint:containedctx // It is handed to the attempt that the permit lets run.
}

var _ Permit = (*entrant)(nil)

// decide ends the wait. The caller holds the lock of queued.
func (entrant *entrant) decide(refusal *call.Refusal) {
	entrant.refusal = refusal
	close(entrant.decided)
}

// Context implements [Permit].
func (entrant *entrant) Context() context.Context { return entrant.ctx }

// Priority implements [Permit].
func (entrant *entrant) Priority() int { return entrant.priority }

// Progress implements [Permit].
func (entrant *entrant) Progress(output call.Tokens) { entrant.queued.progress(entrant, output) }

// Release implements [Permit].
func (entrant *entrant) Release(output call.Tokens) {
	entrant.cancel()
	entrant.queued.finish(entrant, output)
}

// Abort implements [Permit].
func (entrant *entrant) Abort(output call.Tokens) {
	entrant.cancel()
	entrant.queued.abort(entrant, output)
}
