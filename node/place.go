package node

import (
	"context"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/place"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/store"
)

func newMeter(clock *clock.Service) *place.Meter { return place.NewMeter(clock.Now()) }

// keeperParts are the dependencies of an entry's part in placement planning.
type keeperParts struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  *setup.Entry
	View      fleet.Source
	Store     *store.Client
	Source    config.Source
	Clock     *clock.Service
	Log       logrus.FieldLogger
	Metrics   metrics.Registry
}

// newKeeper returns the component that plans placement whenever this entry is
// the planner.
func newKeeper(parts keeperParts) *place.Controller {
	settings := parts.Settings
	controller := place.NewController(place.ControllerConfig{
		Self: settings.InstanceName(), Fleet: parts.View, Store: parts.Store, Source: parts.Source,
		Clock: parts.Clock, Logger: parts.Log, Metrics: parts.Metrics,
		Planner: place.Config{
			LoadsPerSecond: settings.LoadsPerSecond, LoadsAtOnce: int(settings.LoadsAtOnce),
			AdaptersAtOnce: int(settings.AdaptersAtOnce), MovesPerHour: settings.MovesPerHour,
		},
	})
	background(parts.Lifecycle, func(ctx context.Context) { controller.Start(ctx) })
	parts.Lifecycle.Append(fx.StopHook(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, flushTimeout)
		defer cancel()
		controller.Close(ctx)
	}))
	return controller
}

func registerPlace(server *grpc.Server, controller *place.Controller) { controller.Register(server) }

// followParts are the dependencies of a process that follows the placement plan.
type followParts struct {
	fx.In

	Lifecycle   fx.Lifecycle
	Process     *setup.Process
	View        fleet.Source
	Connections *conns.Pool
	Meter       *place.Meter
	Clock       *clock.Service
	Log         logrus.FieldLogger
}

func (parts followParts) source() place.ClientConfig {
	return place.ClientConfig{
		Self: parts.Process.InstanceName(), Fleet: parts.View, Clock: parts.Clock, Meter: parts.Meter, Logger: parts.Log,
		Dial: func(address string) (grpc.ClientConnInterface, error) { return parts.Connections.Get(address) },
	}
}

func (parts followParts) start(client *place.Client) {
	background(parts.Lifecycle, func(ctx context.Context) {
		go client.Exchange(ctx)
		client.Start(ctx)
	})
}

// followPlacement makes an entry route by the plan.
func followPlacement(parts followParts, placement *placement) {
	settings := parts.source()
	settings.OnPlan = placement.setPlan
	parts.start(place.NewClient(settings))
}

// applyPlacement makes an agent load and unload weights as the plan requires of
// its engine.
func applyPlacement(parts followParts, settings *setup.Agent, backend *backend) {
	if backend.loader == nil {
		return
	}
	server := names.BackendServer(settings.Server)
	wanted := parts.source()
	wanted.Report = func() place.Server { return backend.report(server, parts.Clock) }
	var client *place.Client
	wanted.OnPlan = func(plan *place.Plan) {
		target, _ := plan.Target(server)
		backend.applier.Apply(plan.Version(), target)
		client.MarkApplied(plan.Version())
	}
	client = place.NewClient(wanted)
	parts.start(client)
}

// report returns the state of the engine for the planner.
func (backend *backend) report(server names.BackendServer, clock *clock.Service) place.Server {
	reserved := backend.loader.Reserved()
	var usable []ledger.Item
	for _, weights := range reserved {
		if backend.loader.Usable(weights.Item) {
			usable = append(usable, weights.Item)
		}
	}
	return place.Server{
		Name: server, ReportedAt: clock.Now(), MemoryBytes: backend.memory, Reserved: reserved, Usable: usable,
	}
}
