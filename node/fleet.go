package node

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/agent"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/member"
	"github.com/basilkeel/basilkeel/setup"
)

// announceTimeout limits the wait for peers to acknowledge that this instance is
// leaving.
const announceTimeout = 2 * time.Second

// fleetParts are the dependencies of an instance's membership service.
type fleetParts struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  *setup.Process
	Self      self
	Security  security
	Clock     *clock.Service
	Log       logrus.FieldLogger
	Metrics   metrics.Registry
}

// newFleet returns the membership service, which is also the source of the
// current view of the fleet.
func newFleet(parts fleetParts) (*member.Service, fleet.Source) {
	service := member.NewService(member.ServiceConfig{
		Self: fleet.Member(parts.Self), List: newLister(parts.Settings.InstancesURL).read,
		Options: peerDialOptions(parts.Security), Clock: parts.Clock, Logger: parts.Log, Metrics: parts.Metrics,
	})
	parts.Lifecycle.Append(fx.StopHook(service.Close))
	background(parts.Lifecycle, service.Start)
	return service, service
}

func registerMembers(server *grpc.Server, service *member.Service) { service.Register(server) }

// announceLeaving announces to peers that this instance is about to stop. Its
// hook has to be registered last, so that it runs first at shutdown.
func announceLeaving(lifecycle fx.Lifecycle, service *member.Service) {
	lifecycle.Append(fx.StopHook(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		service.Leave(ctx)
	}))
}

// drainWhenLeaving drains the agent's server once the instance is leaving.
func drainWhenLeaving(lifecycle fx.Lifecycle, service *member.Service, server *agent.Server) {
	onLeaving(lifecycle, service, server.Drain)
}

// unreadyWhenLeaving makes an entry not ready once it is leaving, so that the
// load balancer removes it.
func unreadyWhenLeaving(lifecycle fx.Lifecycle, service *member.Service, health *health) {
	onLeaving(lifecycle, service, func() { health.ready.Store(false) })
}

// onLeaving calls act when the instance starts to leave.
func onLeaving(lifecycle fx.Lifecycle, service *member.Service, act func()) {
	background(lifecycle, func(ctx context.Context) {
		go func() {
			select {
			case <-service.Leaving():
				act()
			case <-ctx.Done():
			}
		}()
	})
}

// background calls begin when the process starts, with a context that is
// cancelled at shutdown.
func background(lifecycle fx.Lifecycle, begin func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			begin(ctx)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}
