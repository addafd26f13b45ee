package sent

import (
	"context"

	"google.golang.org/grpc/stats"
)

// Handler updates the [Tracker] of a call when its headers are sent. gRPC sends them
// before the message and in the caller's goroutine. A connection needs a Handler as
// its grpc.WithStatsHandler option; without one, trackers of its calls never report
// that nothing was sent.
type Handler struct{}

var _ stats.Handler = Handler{}

// TagRPC implements [stats.Handler].
func (Handler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	if tracker, ok := ctx.Value(trackerKey{}).(*Tracker); ok {
		tracker.observed.Store(true)
	}
	return ctx
}

// HandleRPC implements [stats.Handler].
func (Handler) HandleRPC(ctx context.Context, rpcStats stats.RPCStats) {
	switch rpcStats.(type) {
	case *stats.OutHeader, *stats.OutPayload:
		if tracker, ok := ctx.Value(trackerKey{}).(*Tracker); ok {
			tracker.sent.Store(true)
		}
	}
}

// TagConn implements [stats.Handler].
func (Handler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements [stats.Handler].
func (Handler) HandleConn(context.Context, stats.ConnStats) {}
