package node

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/spread"
	"github.com/basilkeel/basilkeel/store"
)

// self describes this instance to the others.
type self fleet.Member

// spreadPeers provides the fleet's members to package spread, which distributes
// configuration.
type spreadPeers struct {
	view fleet.Source
	self spread.Peer

	// cached contains the peers of the view of the last call of Live.
	cached atomic.Pointer[viewPeers]
}

// viewPeers are the peers of one view.
type viewPeers struct {
	view  *fleet.View
	peers []spread.Peer
}

// Live implements spread.Peers. Its result is shared and must not be changed.
func (spreadPeers *spreadPeers) Live() []spread.Peer {
	view := spreadPeers.view.Current()
	cached := spreadPeers.cached.Load()
	if cached == nil || cached.view != view {
		cached = &viewPeers{view: view, peers: spreadPeers.convert(view)}
		spreadPeers.cached.Store(cached)
	}
	return cached.peers
}

func (spreadPeers *spreadPeers) convert(view *fleet.View) []spread.Peer {
	members := view.Members()
	peers := make([]spread.Peer, 0, len(members)+1)
	listed := false
	for _, member := range members {
		listed = listed || member.Instance() == spreadPeers.self.Instance
		peers = append(peers, spreadPeer(member))
	}
	if !listed {
		peers = append(peers, spreadPeers.self)
	}
	return peers
}

func spreadPeer(member fleet.Member) spread.Peer {
	return spread.Peer{
		Instance: member.Instance(), Address: member.Address(), Domain: member.Domain(), Region: member.Region(),
	}
}

// spreadParts are the dependencies of the distribution of configuration.
type spreadParts struct {
	fx.In

	Lifecycle   fx.Lifecycle
	Self        self
	View        fleet.Source
	Repository  *config.Repository
	Connections *conns.Pool
	Clock       *clock.Service
	Log         logrus.FieldLogger
}

func newRepository(client *store.Client, clock *clock.Service) *config.Repository {
	return config.NewRepository(config.RepositoryConfig{Store: client, Clock: clock})
}

// newSpread returns the service that distributes configuration, which is also the
// source of the current one.
func newSpread(parts spreadParts) (*spread.Service, config.Source) {
	own := spreadPeer(fleet.Member(parts.Self))
	service := spread.NewService(spread.ServiceConfig{
		Self: own, Peers: &spreadPeers{view: parts.View, self: own}, Repository: parts.Repository,
		Clock: parts.Clock, Logger: parts.Log,
		Dial: func(peer spread.Peer) (grpc.ClientConnInterface, error) { return parts.Connections.Get(peer.Address) },
	})
	var running sync.WaitGroup
	// Stop hooks run in reverse order: the context is cancelled before the wait.
	parts.Lifecycle.Append(fx.StopHook(running.Wait))
	background(parts.Lifecycle, func(ctx context.Context) {
		running.Go(func() { service.Run(ctx) })
	})
	return service, service
}

func registerSpread(server *grpc.Server, service *spread.Service) { service.Register(server) }

func entrySelf(settings *setup.Entry) self {
	return self(fleet.NewMember(memberConfig(&settings.Process, fleet.RoleEntry, settings.PeerListen)))
}

func agentSelf(settings *setup.Agent) self {
	member := memberConfig(&settings.Process, fleet.RoleAgent, settings.Listen)
	member.Server = names.BackendServer(settings.Server)
	member.Service = names.Service(settings.Service)
	return self(fleet.NewMember(member))
}

func memberConfig(process *setup.Process, role fleet.Role, address string) fleet.MemberConfig {
	return fleet.MemberConfig{
		Instance: process.InstanceName(), Role: role, State: fleet.StateLive, Address: address,
		Domain: names.FailureDomain(process.Domain), Region: names.Region(process.Region),
	}
}
