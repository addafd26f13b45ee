package member

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"github.com/basilkeel/basilkeel/wire"
)

const (
	// linkIdleTimeout is how long an unused connection is kept open.
	linkIdleTimeout = time.Minute
	// maxLinkBackoff bounds the delay between two attempts to connect. It is also
	// the minimum timeout of an attempt.
	maxLinkBackoff = 2 * time.Second
)

// link is a connection to a peer.
type link struct {
	connection *grpc.ClientConn
	usedAt     time.Time
}

// links caches the connections to the peers that were called recently.
type links struct {
	options []grpc.DialOption

	// mu guards byAddress.
	mu        sync.Mutex
	byAddress map[string]*link
}

func newLinks(options []grpc.DialOption) *links {
	connect := grpc.WithConnectParams(grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay: probePeriod, Multiplier: backoff.DefaultConfig.Multiplier,
			Jitter: backoff.DefaultConfig.Jitter, MaxDelay: maxLinkBackoff,
		},
		MinConnectTimeout: maxLinkBackoff,
	})
	return &links{options: append([]grpc.DialOption{connect}, options...), byAddress: make(map[string]*link)}
}

// client returns a client of the peer at address, and opens a connection if
// there is none.
func (links *links) client(address string, now time.Time) (wire.MembersClient, error) {
	links.mu.Lock()
	defer links.mu.Unlock()
	current := links.byAddress[address]
	if current == nil {
		connection, err := grpc.NewClient("passthrough:///"+address, links.options...)
		if err != nil {
			return nil, err
		}
		current = &link{connection: connection}
		links.byAddress[address] = current
	}
	current.usedAt = now
	return wire.NewMembersClient(current.connection), nil
}

// prune closes the connections that were last used before since.
func (links *links) prune(since time.Time) {
	links.mu.Lock()
	defer links.mu.Unlock()
	for address, link := range links.byAddress {
		if link.usedAt.Before(since) {
			link.connection.Close()
			delete(links.byAddress, address)
		}
	}
}

// close closes every connection.
func (links *links) close() {
	links.mu.Lock()
	defer links.mu.Unlock()
	for address, link := range links.byAddress {
		link.connection.Close()
		delete(links.byAddress, address)
	}
}
