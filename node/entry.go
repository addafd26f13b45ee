package node

import (
	"context"
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/accept"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/entry"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/reply"
	"github.com/basilkeel/basilkeel/route"
	"github.com/basilkeel/basilkeel/setup"
)

// RunEntry runs an entry until it receives a signal or ctx is done.
func RunEntry(ctx context.Context, settings *setup.Entry) error {
	nameInstance(&settings.Process)
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.DrainTimeout+stopMargin),
		fx.Supply(settings, &settings.Process),
		fx.Provide(
			newClock, newLogger, newMetrics, newProcessBudget, newProcessTable, newStore, newFleet, entrySelf, newConnections,
			newRepository, newSpread, newHasher, newKeyring, newGate, newSigner,
			newPeerSecurity, newPeerServer, newHealth, newRouter,
			newPlan, newSharedRouter, newPool, newQuota, newReserver, newClaimHost, newClaims,
			newRecorder, newObserver, newCrashes, newMeter, newKeeper, newEntryServer, newAdmin,
		),
		fx.Invoke(
			routeBurn, routeAdmin, serveOperators, servePeers, registerSpread, registerClaims, registerQuota,
			registerPlace, pollPlacement, followFleet, followPlacement, recheckKeys, serveCallers,
			registerMembers, unreadyWhenLeaving, announceLeaving,
		),
	)
	return run(ctx, app, settings.DrainTimeout)
}

// entryParts are the dependencies of an entry's server for callers.
type entryParts struct {
	fx.In

	Settings *setup.Entry
	Clock    *clock.Service
	Log      logrus.FieldLogger
	Metrics  metrics.Registry
	Source   config.Source
	Gate     entry.Gate
	Quota    entry.Quota
	Router   *entry.SharedRouter
	Signer   entry.Signer
	Pool     *entry.AgentPool
	Claims   entry.Claims
	Crashes  *poison.SharedTracker
	Plan     route.Plan
	Observer entry.Observer
}

func newEntryServer(parts entryParts) *entry.Server {
	settings := parts.Settings
	return entry.NewServer(entry.Config{
		Instance: settings.InstanceName(), Clock: parts.Clock, Log: parts.Log, Metrics: parts.Metrics,
		Source: parts.Source, Gate: parts.Gate, Quota: parts.Quota, Router: parts.Router,
		Signer: parts.Signer, Agents: parts.Pool, Claims: parts.Claims, Crashes: parts.Crashes, Plan: parts.Plan,
		Observer: parts.Observer,
		Limits: entry.Limits{
			BodyBytes: settings.BodyBytes, AnswerBytes: settings.AnswerBytes,
			OutputTokens: settings.OutputTokens, RequestsPerAccount: int(settings.RequestsPerAccount),
			Attempts: int(settings.Attempts), WriteTimeout: settings.WriteTimeout,
			RequestTimeout: settings.RequestTimeout,
		},
	})
}

func newCrashes(clock *clock.Service) *poison.SharedTracker {
	return poison.NewSharedTracker(poison.SharedTrackerConfig{Clock: clock})
}

func newSharedRouter(settings *setup.Entry, plan route.Plan) *entry.SharedRouter {
	return entry.NewSharedRouter(route.New(route.Config{
		Domain: names.FailureDomain(settings.Domain),
		Plan:   plan,
		Seed:   seedOf(settings.Instance),
	}))
}

func newPool(view fleet.Source, connections *conns.Pool) *entry.AgentPool {
	return entry.NewAgentPool(entry.AgentPoolConfig{Fleet: view, Connections: connections})
}

// serveCallers opens the callers' listener. At shutdown it closes the listener
// and waits for the requests in progress.
func serveCallers(lifecycle fx.Lifecycle, settings *setup.Entry, server *entry.Server, table *accept.Table, health *health, clock *clock.Service, log logrus.FieldLogger) {
	ctx, cancel := context.WithCancel(context.Background())
	httpServer := &http.Server{
		Handler:                      closeWhenNotReady(health, server.Handler()),
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            settings.HeaderTimeout,
		ReadTimeout:                  settings.ReadTimeout,
		IdleTimeout:                  settings.IdleTimeout,
		MaxHeaderBytes:               int(settings.HeaderBytes),
		ConnContext:                  reply.ConnContext,
		ConnState:                    accept.SetState,
		ErrorLog:                     newErrorLog(log),
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(startCtx context.Context) error {
			security, err := newSecurity(ctx, settings.CallerFiles, clock, log)
			if err != nil {
				return err
			}
			bounded, listener, err := listenSecurely(startCtx, settings.Listen, accept.ListenerConfig{
				Table: table, Shared: true, MaxConnections: int(settings.Connections), PerAddress: int(settings.ConnectionsPerAddress),
			}, security.serverTLS())
			if err != nil {
				return err
			}
			bounded.SetLimits(accept.Limits{HeadBytes: settings.HeaderBytes, HeadTimeout: settings.HeaderTimeout})
			serveHTTP(httpServer, listener, log)
			health.ready.Store(true)
			event.ProcessStarted.Log(log, logrus.Fields{"role": "entry", "address": listener.Addr().String()})
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			defer cancel()
			event.ProcessStopping.Log(log, nil)
			health.ready.Store(false)
			waitForBalancer(stopCtx, clock, settings.LeaveDelay)
			err := shutdown(stopCtx, httpServer, settings.DrainTimeout)
			event.ProcessStopped.Log(log, nil)
			return err
		},
	})
}

// waitForBalancer gives the load balancer time to notice that the instance is no
// longer ready. Requests that arrive meanwhile are served.
func waitForBalancer(ctx context.Context, clock *clock.Service, delay time.Duration) {
	select {
	case <-clock.After(delay):
	case <-ctx.Done():
	}
}

// closeWhenNotReady asks callers to close their connections once the instance is
// no longer ready, so that none is cut when the listener closes.
func closeWhenNotReady(health *health, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !health.ready.Load() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

// shutdown shuts the server down gracefully. If requests are still in progress
// after the timeout, it closes their connections.
func shutdown(ctx context.Context, server *http.Server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
		return err
	}
	return nil
}
