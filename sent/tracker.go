package sent

import (
	"context"
	"sync/atomic"
)

// trackerKey is the context key of a call's [Tracker].
type trackerKey struct{}

// Tracker records whether any part of one call was sent.
type Tracker struct {
	// observed reports whether a [Handler] sees the call's events.
	observed atomic.Bool
	sent     atomic.Bool
}

// WithTracker returns a context for one call, and the call's tracker.
func WithTracker(ctx context.Context) (context.Context, *Tracker) {
	tracker := &Tracker{}
	return context.WithValue(ctx, trackerKey{}, tracker), tracker
}

// NeverSent reports whether the call certainly had no effect at the server, as no part
// of it was sent. False doesn't show that it was sent. NeverSent is meaningful only after
// the call has returned.
func (tracker *Tracker) NeverSent() bool { return tracker.observed.Load() && !tracker.sent.Load() }
