package node

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/accept"
	"github.com/basilkeel/basilkeel/agent"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/place"
	"github.com/basilkeel/basilkeel/queue"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/wire"
)

// queueCheckPeriod is the interval at which the queue refuses requests that can
// no longer meet their objective.
const queueCheckPeriod = 5 * time.Millisecond

// noPreemption disables preemption: running batch requests are left to the
// engine's own priorities.
const noPreemption = -1

// RunAgent runs an agent until it receives a signal or ctx is done.
func RunAgent(ctx context.Context, settings *setup.Agent) error {
	nameInstance(&settings.Process)
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.DrainTimeout+stopMargin),
		fx.Supply(settings, &settings.Process),
		fx.Provide(
			newClock, newLogger, newMetrics, newProcessBudget, newProcessTable, newStore, newFleet, agentSelf, newConnections,
			newRepository, newSpread, newKeyring, newVerifier,
			newPeerSecurity, newPeerServer, newHealth, newRouter,
			newAdmission, newBackend, newMeter, newAgentServer,
		),
		fx.Invoke(
			serveOperators, registerSpread, applyPlacement, registerMembers, serveEntries, drainWhenLeaving, announceLeaving,
		),
	)
	return run(ctx, app, settings.DrainTimeout)
}

func newAdmission(lifecycle fx.Lifecycle, settings *setup.Agent, clock *clock.Service, source config.Source) *agent.QueueAdmission {
	queueAdmission := agent.NewQueueAdmission(agent.QueueAdmissionConfig{
		Clock: clock, Source: source,
		Queue: queue.Config{
			Slots: int(settings.Slots), MaxItems: int(settings.QueueLength), MaxPreemptions: noPreemption,
		},
	})
	background(lifecycle, func(ctx context.Context) {
		clock.Subscribe(ctx, queueCheckPeriod, func(context.Context, time.Time) { queueAdmission.Tick() })
	})
	return queueAdmission
}

// agentParts are the dependencies of an agent's server.
type agentParts struct {
	fx.In

	Settings  *setup.Agent
	Clock     *clock.Service
	Log       logrus.FieldLogger
	Metrics   metrics.Registry
	Verifier  agent.Verifier
	Admission *agent.QueueAdmission
	Backend   *backend
	Meter     *place.Meter
}

func newAgentServer(parts agentParts) *agent.Server {
	settings := agent.Config{
		Instance: parts.Settings.InstanceName(), Server: names.BackendServer(parts.Settings.Server),
		Clock: parts.Clock, Log: parts.Log, Metrics: parts.Metrics, Verifier: parts.Verifier,
		Admission: parts.Admission, Plain: parts.Backend.plain,
		Service: names.Service(parts.Settings.Service),
		Meter:   parts.Meter,
	}
	if parts.Backend.loader != nil {
		settings.Engine, settings.Crashes = parts.Backend.guard, parts.Backend.guard
		settings.Residency = parts.Backend.loader
	}
	return agent.NewServer(settings)
}

// agentListenerParts are the dependencies of an agent's listener for entries.
type agentListenerParts struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  *setup.Agent
	Server    *agent.Server
	RPC       *grpc.Server
	Table     *accept.Table
	Backend   *backend
	Health    *health
	Clock     *clock.Service
	Log       logrus.FieldLogger
	Shutdown  fx.Shutdowner
}

// serveEntries opens the listener for entries and then starts the loader, which
// takes over the engine. At shutdown it refuses new attempts as not executed,
// waits for queued and running ones, and releases the engine.
func serveEntries(parts agentListenerParts) {
	wire.RegisterAgentServer(parts.RPC, parts.Server)
	ctx, cancel := context.WithCancel(context.Background())
	parts.Lifecycle.Append(fx.Hook{
		OnStart: func(startCtx context.Context) error {
			if err := parts.waitForTicketSkew(startCtx); err != nil {
				return err
			}
			listener, err := listenWithin(startCtx, parts.Settings.Listen, accept.ListenerConfig{Table: parts.Table, Opaque: true})
			if err != nil {
				return err
			}
			serveRPC(parts.RPC, listener, parts.Log)
			parts.startLoader(ctx)
			parts.Health.ready.Store(true)
			event.ProcessStarted.Log(parts.Log, logrus.Fields{"role": "agent", "address": listener.Addr().String()})
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			defer cancel()
			event.ProcessStopping.Log(parts.Log, nil)
			parts.Health.ready.Store(false)
			parts.Server.Drain()
			stopCtx, cancelStop := context.WithTimeout(stopCtx, parts.Settings.DrainTimeout)
			defer cancelStop()
			err := parts.Server.Wait(stopCtx)
			parts.releaseEngine(stopCtx)
			parts.RPC.Stop()
			event.ProcessStopped.Log(parts.Log, nil)
			return err
		},
	})
}

// waitForTicketSkew waits until the verifier accepts new tickets. Entries that
// sent attempts earlier would use up their retries on refusals.
func (parts agentListenerParts) waitForTicketSkew(ctx context.Context) error {
	select {
	case <-parts.Clock.After(ident.MaxClockSkew):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startLoader starts the loader. If the agent loses its engine to another agent,
// the process shuts down, since it can serve nothing.
func (parts agentListenerParts) startLoader(ctx context.Context) {
	if parts.Backend.loader == nil {
		return
	}
	parts.Backend.loader.Start(ctx)
	go func() {
		select {
		case <-parts.Backend.loader.Ended():
			if parts.Backend.loader.Lost() {
				// An error means that the process is already shutting down.
				_ = parts.Shutdown.Shutdown(fx.ExitCode(1))
			}
		case <-ctx.Done():
		}
	}()
}

// releaseEngine records that the engine is free, so that a successor does not
// have to wait.
func (parts agentListenerParts) releaseEngine(ctx context.Context) {
	if parts.Backend.loader == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	// If this fails, a successor waits as it does after a crash.
	_ = parts.Backend.loader.Stop(ctx)
}
