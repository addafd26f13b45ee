package conns

import (
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
)

// errClosed is returned by [Pool.Get] after [Pool.Close].
var errClosed = merry.New("connection pool is closed")

// PoolConfig configures a [Pool].
type PoolConfig struct {
	// Options are the dial options of every connection; they have to include
	// transport credentials.
	Options []grpc.DialOption
}

// Pool maintains one connection per address. It is safe for concurrent use.
type Pool struct {
	options []grpc.DialOption

	// mu guards connections and closed.
	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
	closed      bool
}

// NewPool returns a pool without connections.
func NewPool(config PoolConfig) *Pool {
	return &Pool{options: slices.Clone(config.Options), connections: make(map[string]*grpc.ClientConn)}
}

// Get returns the connection to address, which is a host:port. The connection is
// established when it is first used, and again after a failure.
func (pool *Pool) Get(address string) (*grpc.ClientConn, error) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.closed {
		return nil, errClosed
	}
	if connection, known := pool.connections[address]; known {
		return connection, nil
	}
	// The host is an IP address and needs no name resolution.
	connection, err := grpc.NewClient("passthrough:///"+address, pool.options...)
	if err != nil {
		return nil, merry.Prependf(err, "connection to %s", address)
	}
	pool.connections[address] = connection
	return connection, nil
}

// Retain closes all connections except those to the given addresses.
func (pool *Pool) Retain(addresses []string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.retainLocked(addresses)
}

// Close closes all connections and makes later calls of Get fail.
func (pool *Pool) Close() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.closed = true
	pool.retainLocked(nil)
}

// retainLocked is [Pool.Retain] for callers that hold mu.
func (pool *Pool) retainLocked(addresses []string) {
	live := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		live[address] = true
	}
	for address, connection := range pool.connections {
		if !live[address] {
			connection.Close()
			delete(pool.connections, address)
		}
	}
}
