package sent

import (
	"context"

	"google.golang.org/grpc/stats"
)

// Handler sets the [Tracker] of a call when its headers go out, which gRPC does
// before the message and in the goroutine of the caller. Give it to
// grpc.WithStatsHandler; marks of calls on other connections prove nothing.
type Handler struct{}

var _ stats.Handler = Handler{}

// TagRPC implements [stats.Handler].
func (Handler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	if tracker, ok := ctx.Value(markKey{}).(*Tracker); ok {
		tracker.watched.Store(true)
	}
	return ctx
}

// HandleRPC implements [stats.Handler].
func (Handler) HandleRPC(ctx context.Context, rpcStats stats.RPCStats) {
	switch rpcStats.(type) {
	case *stats.OutHeader, *stats.OutPayload:
		if tracker, ok := ctx.Value(markKey{}).(*Tracker); ok {
			tracker.left.Store(true)
		}
	}
}

// TagConn implements [stats.Handler].
func (Handler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements [stats.Handler].
func (Handler) HandleConn(context.Context, stats.ConnStats) {}
