package quota

import (
	"context"
	"errors"
	"net"
	"syscall"

	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/wire"
)

// RemoteConfig carries what a [Remote] is built from.
type RemoteConfig struct {
	// Options are used for each connection, credentials among them.
	Options []grpc.DialOption
}

// Remote is the [Transport] over gRPC, with one connection an address.
type Remote struct {
	pool *conns.Pool
}

// NewRemote returns a transport without connections.
func NewRemote(config RemoteConfig) *Remote {
	return &Remote{pool: conns.NewPool(conns.PoolConfig{Options: config.Options})}
}

// Exchange implements [Transport].
func (remote *Remote) Exchange(ctx context.Context, address string, exchange Exchange) (Answer, error) {
	connection, err := remote.pool.Get(address)
	if err != nil {
		return Answer{}, err
	}
	reply, err := wire.NewQuotaClient(connection).Exchange(ctx, encodeExchange(exchange))
	if err != nil {
		return Answer{}, err
	}
	return decodeAnswer(reply), nil
}

// Vote implements [Transport].
func (remote *Remote) Vote(ctx context.Context, address string, vote Vote) (bool, error) {
	connection, err := remote.pool.Get(address)
	if err != nil {
		return false, err
	}
	reply, err := wire.NewQuotaClient(connection).Vote(ctx, encodeVote(vote))
	if err != nil {
		return false, err
	}
	return reply.GetGranted(), nil
}

// Refused implements [Transport].
func (remote *Remote) Refused(ctx context.Context, address string) bool {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		connection.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Retain closes the connections to addresses that are not live.
func (remote *Remote) Retain(live []Peer) {
	addresses := make([]string, 0, len(live))
	for _, peer := range live {
		addresses = append(addresses, peer.Address)
	}
	remote.pool.Retain(addresses)
}

// Close closes every connection; none is made afterwards.
func (remote *Remote) Close() { remote.pool.Close() }
