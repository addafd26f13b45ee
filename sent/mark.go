package sent

import (
	"context"
	"sync/atomic"
)

// markKey finds the [Tracker] of a call in its context.
type markKey struct{}

// Tracker tells of one call whether any part of it left.
type Tracker struct {
	// watched tells that a [Handler] looks at the call.
	watched atomic.Bool
	left    atomic.Bool
}

// WithTracker returns a context for one call, and the call's mark.
func WithTracker(ctx context.Context) (context.Context, *Tracker) {
	tracker := &Tracker{}
	return context.WithValue(ctx, markKey{}, tracker), tracker
}

// NeverSent tells, after the call has returned, that it certainly had no
// effect at the other side. False proves nothing.
func (tracker *Tracker) NeverSent() bool { return tracker.watched.Load() && !tracker.left.Load() }
