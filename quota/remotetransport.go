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

// RemoteTransportConfig configures a [RemoteTransport].
type RemoteTransportConfig struct {
	// Options are the dial options of each connection, including credentials.
	Options []grpc.DialOption
}

// RemoteTransport is a [Transport] over gRPC with one connection per address.
type RemoteTransport struct {
	pool *conns.Pool
}

// NewRemoteTransport returns a transport without connections.
func NewRemoteTransport(config RemoteTransportConfig) *RemoteTransport {
	return &RemoteTransport{pool: conns.NewPool(conns.PoolConfig{Options: config.Options})}
}

// Exchange implements [Transport].
func (remoteTransport *RemoteTransport) Exchange(ctx context.Context, address string, exchange Exchange) (Answer, error) {
	connection, err := remoteTransport.pool.Get(address)
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
func (remoteTransport *RemoteTransport) Vote(ctx context.Context, address string, vote Vote) (bool, error) {
	connection, err := remoteTransport.pool.Get(address)
	if err != nil {
		return false, err
	}
	reply, err := wire.NewQuotaClient(connection).Vote(ctx, encodeVote(vote))
	if err != nil {
		return false, err
	}
	return reply.GetGranted(), nil
}

// ConnectionRefused implements [Transport].
func (remoteTransport *RemoteTransport) ConnectionRefused(ctx context.Context, address string) bool {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		connection.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Retain closes the connections to addresses that are not live.
func (remoteTransport *RemoteTransport) Retain(live []Peer) {
	addresses := make([]string, 0, len(live))
	for _, peer := range live {
		addresses = append(addresses, peer.Address)
	}
	remoteTransport.pool.Retain(addresses)
}

// Close closes all connections; none is opened afterwards.
func (remoteTransport *RemoteTransport) Close() { remoteTransport.pool.Close() }
