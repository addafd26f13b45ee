package node

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/claim"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/entry"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/wire"
)

const (
	// flushTimeout limits the time to write final records at shutdown.
	flushTimeout = 5 * time.Second
	// claimCallTimeout is the timeout of a call to the platform's key-value service
	// for a claim.
	claimCallTimeout = 500 * time.Millisecond
)

// claimMembers provides the live entries to package claim.
type claimMembers struct{ view fleet.Source }

// Members implements claim.Members.
func (claimMembers claimMembers) Members() []claim.Member {
	var members []claim.Member
	for _, member := range claimMembers.view.Current().ByRole(fleet.RoleEntry) {
		if member.State() == fleet.StateLive {
			members = append(members, claim.Member{Instance: member.Instance(), Address: member.Address()})
		}
	}
	return members
}

// newClaimHost returns a host with its own store client, whose timeout is shorter
// than that of other writes because a caller waits for a claim.
func newClaimHost(lifecycle fx.Lifecycle, process *setup.Process, clock *clock.Service, log logrus.FieldLogger) (*claim.Host, error) {
	client, err := openStore(lifecycle, process, clock, log, claimCallTimeout)
	if err != nil {
		return nil, err
	}
	host := claim.NewHost(claim.HostConfig{Store: client, Clock: clock, Logger: log})
	lifecycle.Append(fx.StopHook(func() error {
		host.Close()
		return client.Close()
	}))
	return host, nil
}

// claimParts are the dependencies of an entry's claims.
type claimParts struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  *setup.Entry
	View      fleet.Source
	Host      *claim.Host
	Security  security
	Clock     *clock.Service
	Log       logrus.FieldLogger
	Metrics   metrics.Registry
}

func newClaims(parts claimParts) entry.Claims {
	members := claimMembers{view: parts.View}
	peers := claim.NewPeers(claim.PeersConfig{Options: []grpc.DialOption{parts.Security.dialOption()}})
	client := claim.NewClient(claim.ClientConfig{
		Self: parts.Settings.InstanceName(), Members: members, Host: parts.Host, Peers: peers,
		Clock: parts.Clock, Logger: parts.Log, Metrics: parts.Metrics,
	})
	background(parts.Lifecycle, func(ctx context.Context) {
		parts.Clock.Subscribe(ctx, prunePeriod, func(context.Context, time.Time) { peers.Keep(members.Members()) })
	})
	parts.Lifecycle.Append(fx.StopHook(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, flushTimeout)
		defer cancel()
		err := client.Flush(ctx)
		client.Close()
		peers.Close()
		return err
	}))
	return client
}

func registerClaims(server *grpc.Server, host *claim.Host) {
	wire.RegisterClaimsServer(server, claim.NewServer(claim.ServerConfig{Host: host}))
}
