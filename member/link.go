package member

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"github.com/basilkeel/basilkeel/wire"
)

const (
	// linkIdleTimeout is for how long an unused connection is kept.
	linkIdleTimeout = time.Minute
	// maxLinkBackoff bounds the time between two attempts to connect.
	maxLinkBackoff = 2 * time.Second
)

// link is a connection to a peer.
type link struct {
	connection *grpc.ClientConn
	usedAt     time.Time
}

// links keeps the connections to the peers that were lately talked to.
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

// client returns a client of the peer at address.
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

// prune closes the connections that were not used since a time.
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
