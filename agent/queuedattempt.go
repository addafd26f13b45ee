package agent

import (
	"context"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/queue"
)

// queuedAttempt is an attempt that waits in a [QueueAdmission] or was admitted by
// it.
type queuedAttempt struct {
	id        queue.ID
	admission *QueueAdmission
	// decided is closed once priority and refusal are final.
	decided  chan struct{}
	priority int
	refusal  *call.Refusal
	cancel   context.CancelFunc
	ctx      context.Context //nolint:containedctx // The attempt that holds the permit runs with it.
}

var _ Permit = (*queuedAttempt)(nil)

// decide ends the wait, with refusal if it is not nil. The caller holds the mu of
// admission.
func (queuedAttempt *queuedAttempt) decide(refusal *call.Refusal) {
	queuedAttempt.refusal = refusal
	close(queuedAttempt.decided)
}

// Context implements [Permit].
func (queuedAttempt *queuedAttempt) Context() context.Context { return queuedAttempt.ctx }

// Priority implements [Permit].
func (queuedAttempt *queuedAttempt) Priority() int { return queuedAttempt.priority }

// Progress implements [Permit].
func (queuedAttempt *queuedAttempt) Progress(output call.Tokens) {
	queuedAttempt.admission.progress(queuedAttempt, output)
}

// Complete implements [Permit].
func (queuedAttempt *queuedAttempt) Complete(output call.Tokens) {
	queuedAttempt.cancel()
	queuedAttempt.admission.finish(queuedAttempt, output)
}

// Abort implements [Permit].
func (queuedAttempt *queuedAttempt) Abort(output call.Tokens) {
	queuedAttempt.cancel()
	queuedAttempt.admission.abort(queuedAttempt, output)
}
