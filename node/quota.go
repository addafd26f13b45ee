package node

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/entry"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/quota"
	"github.com/basilkeel/basilkeel/store"
	"github.com/basilkeel/basilkeel/wire"
)

// maxQuotaWait is the maximum time that a request waits for tokens of its client
// account before it is refused.
const maxQuotaWait = 250 * time.Millisecond

// quotaPeers provides the live entries to package quota.
type quotaPeers struct {
	view fleet.Source
	self fleet.Member
}

var _ quota.LivenessChecker = quotaPeers{}

// Live implements quota.Peers.
func (quotaPeers quotaPeers) Live() []quota.Peer {
	var peers []quota.Peer
	listed := false
	for _, member := range quotaPeers.view.Current().ByRole(fleet.RoleEntry) {
		listed = listed || member.Instance() == quotaPeers.self.Instance()
		if member.State() == fleet.StateLive {
			peers = append(peers, quotaPeer(member))
		}
	}
	if !listed {
		peers = append(peers, quotaPeer(quotaPeers.self))
	}
	return peers
}

// MayBeRunning implements [quota.LivenessChecker]. A failed entry may still run
// until the platform's instance list drops it.
func (quotaPeers quotaPeers) MayBeRunning(instance names.Instance) bool {
	for _, member := range quotaPeers.view.Current().ByRole(fleet.RoleEntry) {
		if member.Instance() == instance {
			return member.State() != fleet.StateLeaving
		}
	}
	return false
}

func quotaPeer(member fleet.Member) quota.Peer {
	return quota.Peer{Instance: member.Instance(), Address: member.Address(), Domain: member.Domain()}
}

// quotaParts are the dependencies of an entry's part in quota enforcement.
type quotaParts struct {
	fx.In

	Lifecycle fx.Lifecycle
	Self      self
	View      fleet.Source
	Store     *store.Client
	Source    config.Source
	Security  security
	Clock     *clock.Service
	Log       logrus.FieldLogger
	Metrics   metrics.Registry
}

// newQuota returns the keeper of this entry's quota seats, and the quota client.
func newQuota(parts quotaParts) (*quota.Keeper, *quota.Client) {
	own := fleet.Member(parts.Self)
	peers := quotaPeers{view: parts.View, self: own}
	transport := quota.NewRemoteTransport(quota.RemoteTransportConfig{Options: peerDialOptions(parts.Security)})
	limits := quota.NewConfigLimits(parts.Source)
	keeper := quota.NewKeeper(quota.KeeperConfig{
		Self: quotaPeer(own), Peers: peers, Store: parts.Store, Transport: transport, Limits: limits,
		Clock: parts.Clock, Logger: parts.Log,
	})
	client := quota.NewClient(quota.ClientConfig{
		Self: quotaPeer(own), Peers: peers, Transport: transport, Keeper: keeper, Limits: limits,
		Clock: parts.Clock, Metrics: parts.Metrics, MaxPause: maxQuotaWait,
	})
	metrics.NewRegisteredFunctionalGauge("quota.seats", parts.Metrics, func() int64 { return int64(keeper.HeldSeats()) })
	background(parts.Lifecycle, func(ctx context.Context) {
		keeper.Start(ctx)
		// Claims unowned seats without waiting for the first tick.
		go keeper.Tick(ctx, parts.Clock.Now())
		client.Start(ctx)
		parts.Clock.Subscribe(ctx, prunePeriod, func(context.Context, time.Time) { transport.Retain(peers.Live()) })
	})
	parts.Lifecycle.Append(fx.StopHook(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, flushTimeout)
		defer cancel()
		defer transport.Close()
		// Seats and tokens not returned in time are reclaimed as after a crash.
		_ = client.Close(ctx)
		_ = keeper.Close(ctx)
		return nil
	}))
	return keeper, client
}

func registerQuota(server *grpc.Server, keeper *quota.Keeper) {
	wire.RegisterQuotaServer(server, quota.NewServer(quota.ServerConfig{Keeper: keeper}))
}

// reserver implements [entry.Quota] with a quota client.
type reserver struct{ client *quota.Client }

func newReserver(client *quota.Client) entry.Quota { return reserver{client: client} }

// Reserve implements entry.Quota.
func (reserver reserver) Reserve(ctx context.Context, account names.ClientAccount, tokens call.Tokens) (entry.Reservation, error) {
	reservation, err := reserver.client.Reserve(ctx, account, tokens)
	if err != nil {
		return nil, err
	}
	return reservation, nil
}
