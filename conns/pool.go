package conns

import (
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
)

// errClosed reports that a connection was asked for after [Pool.Close].
var errClosed = merry.New("the connections of this process are closed")

// PoolConfig carries what a [Pool] is built from.
type PoolConfig struct {
	// Options are used for each connection; they name the credentials.
	Options []grpc.DialOption
}

// Pool keeps one connection an address. All methods are safe for concurrent use.
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

// Get returns the connection to address, host:port. It connects when it is first
// used, and again after a failure.
func (pool *Pool) Get(address string) (*grpc.ClientConn, error) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.closed {
		return nil, errClosed
	}
	if connection, known := pool.connections[address]; known {
		return connection, nil
	}
	// Addresses are IP numbers, which need no resolver.
	connection, err := grpc.NewClient("passthrough:///"+address, pool.options...)
	if err != nil {
		return nil, merry.Prependf(err, "connection to %s", address)
	}
	pool.connections[address] = connection
	return connection, nil
}

// Retain closes the connections to all addresses but those given.
func (pool *Pool) Retain(addresses []string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.keep(addresses)
}

// Close closes every connection; none is made afterwards.
func (pool *Pool) Close() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.closed = true
	pool.keep(nil)
}

// keep is [Pool.Retain] with mu held.
func (pool *Pool) keep(addresses []string) {
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
