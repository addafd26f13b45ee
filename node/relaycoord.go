package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/elect"
	"github.com/basilkeel/basilkeel/mirror"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/store"
	"github.com/basilkeel/basilkeel/trunk"
)

const (
	// coordinatorLease is the time to live of the coordinator's lease: long enough
	// for a slow answer of the platform's service, short enough that adapters are
	// loaded again soon after a coordinator is lost.
	coordinatorLease = 2 * time.Second
	// standSpread is the span over which entries that are alike stand for election,
	// weakWait how much longer the weakest wait: all start within 0.3 s.
	standSpread = 200 * time.Millisecond
	weakWait    = 600 * time.Millisecond
	// ampleCores and ampleLinkMbps are what a coordinator of two dozen entries needs
	// to answer without delay: a tenth of a core and 5 Mbit/s, in bursts.
	ampleCores    = 0.3
	ampleLinkMbps = 50
	// retireTimeout bounds giving up the lease at a stop.
	retireTimeout = time.Second
)

// deskParts is what a desk is built from.
type deskParts struct {
	fx.In

	Host    *setup.Host
	Self    *relaySelf
	Store   *platform.Store
	Mirror  *mirror.Mirror
	Trunk   *trunk.Trunk
	Pool    *pool.Pool
	Relay   *relay.Relay
	Members *members
	// Suspects keeps the record of requests that crash backend servers.
	Suspects *suspects
	Clock    *clock.Service
	Log      logrus.FieldLogger
}

func newDesk(parts deskParts) *coord.Coordinator {
	return coord.NewCoordinator(coord.CoordinatorConfig{
		Engine: platform.NewEngines(parts.Trunk), Clock: parts.Clock, Log: parts.Log, Instance: parts.Self.instance,
		Policy: parts.Relay.Policy, Servers: parts.Pool.Servers, ShareStore: parts.Members, CrashStore: parts.Suspects, Fenced: parts.Host.Bounds.Fenced,
		Term:            func() int64 { return int64(parts.Members.elector.Term()) },
		UnconfirmedTerm: func() int64 { return int64(parts.Members.elector.UnconfirmedTerm()) },
		Mirror:          parts.Mirror,
		LatestRevision:  headOf(parts.Store),
		LoadWindow:      parts.Host.Bounds.LoadWindow,
	})
}

func headOf(platformStore *platform.Store) func(ctx context.Context) (store.Revision, error) {
	return func(ctx context.Context) (store.Revision, error) { return platformStore.Head(ctx, coordinatorKey) }
}

// clientParts is what a client of the coordinator is built from.
type clientParts struct {
	fx.In

	Self        *relaySelf
	Store       *platform.Store
	Mirror      *mirror.Mirror
	Desk        *coord.Coordinator
	Pool        *pool.Pool
	Shares      *share.Limiter
	Crashes     *crash.Tracker
	Relay       *relay.Relay
	Connections *conns.Pool
	Clock       *clock.Service
	Log         logrus.FieldLogger
}

func newCoordClient(parts clientParts) *coord.Client {
	client := coord.NewClient(coord.ClientConfig{
		Instance: parts.Self.instance, Self: parts.Self.value, Coordinator: parts.Desk, Pool: parts.Pool, Shares: parts.Shares, Crashes: parts.Crashes,
		Policy: parts.Relay.Policy, Connections: parts.Connections, Clock: parts.Clock, Log: parts.Log,
		Mirror: parts.Mirror,
	})
	parts.Relay.SetCoordinator(client)
	return client
}

func newElector(host *setup.Host, self *relaySelf, platformStore *platform.Store, coordinator *coord.Coordinator, client *coord.Client, clock *clock.Service, log logrus.FieldLogger) *elect.Elector {
	return elect.New(elect.Config{
		Store: platformStore, Key: coordinatorKey, Value: self.value, TTL: max(coordinatorLease, host.ShortestLease),
		CampaignDelay: standDelay(host),
		Clock:         clock, Log: log,
		IsPredecessor: self.replaces,
		Elected:       func(term store.Revision) { coordinator.BeginTerm(context.Background(), int64(term)) },
		Ended:         coordinator.EndTerm,
		Drain:         coordinator.WaitForOrders,
		LeaderChanged: func(leader elect.Leader) { client.SetCoordinator(leader.Value) },
	})
}

// standDelay is how long an entry waits before it stands for election: strong
// instances stand first, and those that are alike not at once.
func standDelay(host *setup.Host) time.Duration {
	strength := 1.0
	if host.Cores > 0 {
		strength = min(strength, host.Cores/ampleCores)
	}
	if host.LinkMbps > 0 {
		strength = min(strength, host.LinkMbps/ampleLinkMbps)
	}
	return time.Duration((1-strength)*float64(weakWait)) + time.Duration(xxhash.Sum64String(host.Instance)%uint64(standSpread))
}

// coordinateParts is what taking part in coordination needs.
type coordinateParts struct {
	fx.In

	Client  *coord.Client
	Elector *elect.Elector
	Desk    *coord.Coordinator
}

// coordinate stands for election and exchanges reports.
func coordinate(lifecycle fx.Lifecycle, parts coordinateParts) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				parts.Elector.Run(ctx)
				parts.Client.Run(ctx)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			<-done
			parts.Desk.EndTerm()
			return nil
		},
	})
}

// retire has another entry coordinate as soon as a stop begins. It is registered
// last, so that it is stopped first, and takes none of the time to drain.
func retire(lifecycle fx.Lifecycle, elector *elect.Elector) {
	lifecycle.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		go func() {
			retireCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), retireTimeout)
			defer cancel()
			elector.Resign(retireCtx)
		}()
		return nil
	}})
}
