package claim

import (
	"context"
	"slices"

	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/sent"
	"github.com/basilkeel/basilkeel/wire"
)

// PeersConfig configures [Peers].
type PeersConfig struct {
	// Options are the dial options for connections to other entries; they must
	// include the transport credentials.
	Options []grpc.DialOption
}

// Peers submits operations to the hosts of other entries. All methods are safe
// for concurrent use.
type Peers struct {
	pool *conns.Pool
}

// NewPeers returns peers without connections; they are made on demand.
func NewPeers(config PeersConfig) *Peers {
	options := append(slices.Clone(config.Options), grpc.WithStatsHandler(sent.Handler{}), grpc.WithDisableRetry())
	return &Peers{pool: conns.NewPool(conns.PoolConfig{Options: options})}
}

// Submit runs an operation on the host at address. An error that it returns is
// a *[NoReplyError].
func (peers *Peers) Submit(ctx context.Context, address string, operation Operation) (Reply, error) {
	conn, err := peers.pool.Get(address)
	if err != nil {
		return nil, &NoReplyError{Cause: err}
	}
	ctx, tracker := sent.WithTracker(ctx)
	reply, err := wire.NewClaimsClient(conn).Submit(ctx, operationToWire(operation))
	if err != nil {
		return nil, &NoReplyError{Delivered: !tracker.NeverSent(), Cause: err}
	}
	return replyFromWire(reply), nil
}

// Keep closes the connections to addresses that no member has.
func (peers *Peers) Keep(members []Member) {
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	peers.pool.Retain(addresses)
}

// Close closes all connections. None is made afterwards.
func (peers *Peers) Close() { peers.pool.Close() }
