package trunk

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/basilkeel/basilkeel/clock"
)

const (
	// defaultIdleLimit is how long an idle connection is kept if the server states no
	// limit.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is how long before the server's limit a connection is given up, so
	// that the server does not close it while a request is on its way.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the idle connections to one server.
	maxIdle = 32
	// inlineBodyBytes is the largest body that is written before the response is read;
	// it fits into the smallest send buffer, so that the write does not block.
	inlineBodyBytes = 8 << 10
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a [Trunk].
type Config struct {
	Clock *clock.Service
	// Dial opens connections; nil means the dialer of [NewDialer].
	Dial Dial
	// Metrics registers the counter of opened connections; nil means a new registry.
	Metrics metrics.Registry
}

// Trunk sends requests to backend servers over pooled connections. It is safe for
// concurrent use.
type Trunk struct {
	config Config
	opened metrics.Counter
	// mutex guards idle.
	mutex sync.Mutex
	idle  map[string][]*connection
}

// New returns a trunk without connections.
func New(config Config) *Trunk {
	if config.Dial == nil {
		config.Dial = NewDialer().DialContext
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	return &Trunk{
		config: config,
		idle:   map[string][]*connection{},
		opened: metrics.NewRegisteredCounter("trunk.connectionsOpened", config.Metrics),
	}
}

// Do sends request to address and returns when the header of the response has been
// read. It returns an *[UnsentError] or a *[BrokenError]. When ctx ends, the connection
// is closed.
func (trunk *Trunk) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	connection, err := trunk.connect(ctx, address, request)
	if err != nil {
		return nil, &UnsentError{Address: address, Cause: err}
	}
	if request.StillWanted != nil && !request.StillWanted() {
		trunk.putIdle(connection)
		return nil, &UnsentError{Address: address, Cause: &CanceledError{}}
	}
	stopCancel := context.AfterFunc(ctx, func() { connection.conn.Close() })
	written := make(chan error, 1)
	if request.Body.Len() > inlineBodyBytes {
		go func() { written <- request.write(connection.writer) }()
	} else {
		written <- request.write(connection.writer)
	}
	response, err := connection.readResponse(request) //nolint:bodyclose // closed with the connection, or read to its end by Response
	if err != nil {
		stopCancel()
		connection.conn.Close()
		return nil, &BrokenError{Address: address, Cause: err}
	}
	connection.readIdleLimit(response.Header)
	return &Response{
		Status:     response.StatusCode,
		Header:     response.Header,
		Length:     response.ContentLength,
		trunk:      trunk,
		connection: connection,
		body:       response.Body,
		stopCancel: stopCancel,
		written:    written,
		// A late second response to HEAD would be read with a body that it does not have.
		keepAlive: !response.Close && request.Method != http.MethodHead,

		EndsWithConnection: EndsWithConnection(response),
	}, nil
}

// connect returns an idle connection that is still usable, or a new one. A request whose
// response cannot be identified gets a new one.
func (trunk *Trunk) connect(ctx context.Context, address string, request *Request) (*connection, error) {
	for request.Matches != nil {
		connection := trunk.takeIdle(address)
		if connection == nil {
			break
		}
		if connection.reusable() {
			return connection, nil
		}
		connection.conn.Close()
	}
	return trunk.open(ctx, address)
}

// open opens a connection.
func (trunk *Trunk) open(ctx context.Context, address string) (*connection, error) {
	conn, err := trunk.config.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	trunk.opened.Inc(1)
	return newConnection(address, conn, trunk.config.Clock.Now()), nil
}

// Connect opens a connection to address, which the next request uses. It returns an
// *[UnsentError] if the server doesn't accept it.
func (trunk *Trunk) Connect(ctx context.Context, address string) error {
	connection, err := trunk.open(ctx, address)
	if err != nil {
		return &UnsentError{Address: address, Cause: err}
	}
	trunk.putIdle(connection)
	return nil
}

// takeIdle removes and returns the last of the idle connections to address, or nil if
// there is none. It closes those behind it that have passed their idle limit.
func (trunk *Trunk) takeIdle(address string) *connection {
	trunk.mutex.Lock()
	defer trunk.mutex.Unlock()
	connections := trunk.idle[address]
	now := trunk.config.Clock.Now()
	for len(connections) > 0 {
		last := connections[len(connections)-1]
		connections = connections[:len(connections)-1]
		trunk.idle[address] = connections
		if now.Sub(last.idleSince) <= last.idleLimit {
			return last
		}
		last.conn.Close()
	}
	return nil
}

// putIdle adds a connection to the idle ones in the order of idleSince, or closes it if
// there are too many.
func (trunk *Trunk) putIdle(connection *connection) {
	trunk.mutex.Lock()
	connections := trunk.idle[connection.address]
	full := len(connections) >= maxIdle
	if !full {
		index := len(connections)
		for index > 0 && connections[index-1].idleSince.After(connection.idleSince) {
			index--
		}
		trunk.idle[connection.address] = slices.Insert(connections, index, connection)
	}
	trunk.mutex.Unlock()
	if full {
		connection.conn.Close()
	}
}

// CloseIdle closes the idle connections to the addresses for which keep returns false.
func (trunk *Trunk) CloseIdle(keep func(address string) bool) {
	trunk.mutex.Lock()
	defer trunk.mutex.Unlock()
	for address, connections := range trunk.idle {
		if keep(address) {
			continue
		}
		for _, connection := range connections {
			connection.conn.Close()
		}
		delete(trunk.idle, address)
	}
}
