package agent

import (
	"context"
	"time"

	"github.com/basilkeel/basilkeel/ident"
)

// attempt is an attempt that waits for admission or runs.
type attempt struct {
	ticket ident.Ticket
	cancel context.CancelFunc
}

// withDeadline returns ctx with deadline, or without one if deadline is zero.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}
