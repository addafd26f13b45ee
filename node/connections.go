package node

import (
	"context"
	"time"

	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/fleet"
)

// newConnections returns the connections to other instances. Those to instances
// that have left the view are closed periodically.
func newConnections(lifecycle fx.Lifecycle, security security, view fleet.Source, clock *clock.Service) *conns.Pool {
	pool := conns.NewPool(conns.PoolConfig{Options: peerDialOptions(security)})
	background(lifecycle, func(ctx context.Context) {
		clock.Subscribe(ctx, prunePeriod, func(context.Context, time.Time) { pool.Retain(addresses(view.Current())) })
	})
	lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

// addresses returns the addresses of the members of view.
func addresses(view *fleet.View) []string {
	found := make([]string, 0, len(view.Members()))
	for _, member := range view.Members() {
		found = append(found, member.Address())
	}
	return found
}
