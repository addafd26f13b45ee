package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	metrics "github.com/rcrowley/go-metrics"
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
	// for slow replies of the platform's key-value service, short enough that
	// loading of adapters resumes soon after a coordinator is lost.
	coordinatorLease = 2 * time.Second
	// campaignSpread is the range over which entries of equal strength spread their
	// candidacies. weakCampaignDelay is the additional delay of the weakest. All
	// entries start within 0.3 s of each other.
	campaignSpread    = 200 * time.Millisecond
	weakCampaignDelay = 600 * time.Millisecond
	// sufficientCores and sufficientLinkMbps let a coordinator of two dozen entries
	// answer without delay. It uses a tenth of a core and 5 Mbit/s, in bursts.
	sufficientCores    = 0.3
	sufficientLinkMbps = 50
	// resignTimeout limits the time to release the lease at shutdown.
	resignTimeout = time.Second
)

// coordinatorParts are the dependencies of the coordinator.
type coordinatorParts struct {
	fx.In

	Host    *setup.Host
	Self    *relaySelf
	Store   *platform.Store
	Mirror  *mirror.Mirror
	Trunk   *trunk.Trunk
	Pool    *pool.Pool
	Relay   *relay.Relay
	OwnKeys *ownKeys
	// SuspectStore stores the record of requests that crash backend servers.
	SuspectStore *suspectStore
	Clock        *clock.Service
	Log          logrus.FieldLogger
	Metrics      metrics.Registry
}

func newCoordinator(parts coordinatorParts) *coord.Coordinator {
	return coord.NewCoordinator(coord.CoordinatorConfig{
		Engine: platform.NewEngines(parts.Trunk), Clock: parts.Clock, Log: parts.Log, Instance: parts.Self.instance,
		Policy: parts.Relay.Policy, Servers: parts.Pool.Servers, Evacuated: parts.Pool.Evacuated, ColdRate: parts.Pool.ColdRate,
		ShareStore: parts.OwnKeys, CrashStore: parts.SuspectStore, Fenced: parts.Host.Bounds.Fenced,
		Term:            func() int64 { return int64(parts.OwnKeys.elector.Term()) },
		UnconfirmedTerm: func() int64 { return int64(parts.OwnKeys.elector.UnconfirmedTerm()) },
		Mirror:          parts.Mirror,
		LatestRevision:  latestRevision(parts.Store),
		LoadWindow:      parts.Host.Bounds.LoadWindow,
		Cores:           parts.Host.Cores,
		Metrics:         parts.Metrics,
	})
}

// latestRevision returns a function that asks the platform's key-value service
// for its latest revision.
func latestRevision(platformStore *platform.Store) func(ctx context.Context) (store.Revision, error) {
	return func(ctx context.Context) (store.Revision, error) { return platformStore.Head(ctx, coordinatorKey) }
}

// coordClientParts are the dependencies of an entry's client of the coordinator.
type coordClientParts struct {
	fx.In

	Self        *relaySelf
	Store       *platform.Store
	Mirror      *mirror.Mirror
	Coordinator *coord.Coordinator
	Pool        *pool.Pool
	Limiter     *share.Limiter
	Tracker     *crash.Tracker
	Relay       *relay.Relay
	Connections *conns.Pool
	Clock       *clock.Service
	Log         logrus.FieldLogger
	Metrics     metrics.Registry
}

func newCoordClient(parts coordClientParts) *coord.Client {
	client := coord.NewClient(coord.ClientConfig{
		Instance: parts.Self.instance, Self: parts.Self.value, Coordinator: parts.Coordinator, Pool: parts.Pool, Shares: parts.Limiter, Crashes: parts.Tracker,
		Policy: parts.Relay.Policy, Connections: parts.Connections, Clock: parts.Clock, Log: parts.Log,
		Mirror: parts.Mirror, Metrics: parts.Metrics,
	})
	parts.Relay.SetCoordinator(client)
	return client
}

func newElector(host *setup.Host, self *relaySelf, platformStore *platform.Store, coordinator *coord.Coordinator, client *coord.Client, clock *clock.Service, log logrus.FieldLogger) *elect.Elector {
	return elect.New(elect.Config{
		Store: platformStore, Key: coordinatorKey, Value: self.value, TTL: max(coordinatorLease, host.MinLeaseTTL),
		CampaignDelay: campaignDelay(host),
		Clock:         clock, Log: log,
		IsPredecessor: self.isPredecessor,
		Elected:       func(term store.Revision) { coordinator.BeginTerm(context.Background(), int64(term)) },
		Ended:         coordinator.EndTerm,
		Drain:         coordinator.WaitForOrders,
		LeaderChanged: func(leader elect.Leader) { client.SetCoordinator(leader.Value) },
	})
}

// campaignDelay returns how long an entry waits before it becomes a candidate for
// coordinator. Strong instances become candidates first, and instances of equal
// strength at different times.
func campaignDelay(host *setup.Host) time.Duration {
	strength := 1.0
	if host.Cores > 0 {
		strength = min(strength, host.Cores/sufficientCores)
	}
	if host.LinkMbps > 0 {
		strength = min(strength, host.LinkMbps/sufficientLinkMbps)
	}
	return time.Duration((1-strength)*float64(weakCampaignDelay)) + time.Duration(xxhash.Sum64String(host.Instance)%uint64(campaignSpread))
}

// coordinationParts are the dependencies of runCoordination.
type coordinationParts struct {
	fx.In

	Client      *coord.Client
	Elector     *elect.Elector
	Coordinator *coord.Coordinator
}

// runCoordination takes part in elections and exchanges reports with the
// coordinator while the process runs.
func runCoordination(lifecycle fx.Lifecycle, parts coordinationParts) {
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
			parts.Coordinator.EndTerm()
			return nil
		},
	})
}

// resignOnStop resigns as coordinator as soon as shutdown begins, so that another
// entry takes over. Its hook is registered last, so that it runs first, and runs
// in the background, so that it does not delay draining.
func resignOnStop(lifecycle fx.Lifecycle, elector *elect.Elector) {
	lifecycle.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		go func() {
			resignCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTimeout)
			defer cancel()
			elector.Resign(resignCtx)
		}()
		return nil
	}})
}
