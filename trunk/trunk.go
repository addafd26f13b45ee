package trunk

import (
	"context"
	"net"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/basilkeel/basilkeel/clock"
)

const (
	// defaultIdleLimit is how long a connection is kept where the server does not
	// tell.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is how much sooner than the server's limit a connection is given
	// up, so that a request does not cross the server's close.
	idleMargin = 700 * time.Millisecond
	// mostIdle bounds the idle connections to one server.
	mostIdle = 32
	// inlineBody is the largest body that is written before the answer is read; it
	// fits into the smallest send buffer.
	inlineBody = 8 << 10
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Config carries what a [Trunk] is built from.
type Config struct {
	Clock *clock.Service
	// Dial opens connections; nil means that of [NewDialer].
	Dial Dial
	// Metrics receives counters of connections.
	Metrics metrics.Registry
}

// Trunk holds the connections of one process to backend servers. It is safe
// for concurrent use.
type Trunk struct {
	config Config
	opened metrics.Counter
	// mutex guards idle.
	mutex sync.Mutex
	idle  map[string][]*line
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
		idle:   map[string][]*line{},
		opened: metrics.NewRegisteredCounter("trunk.connectionsOpened", config.Metrics),
	}
}

// Do sends request to address and returns once the head of the answer is
// there. It fails with an *[UnsentError] or a *[BrokenError]. When ctx ends, the
// connection is closed.
func (trunk *Trunk) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	line, err := trunk.line(ctx, address)
	if err != nil {
		return nil, &UnsentError{Address: address, Cause: err}
	}
	if request.StillWanted != nil && !request.StillWanted() {
		trunk.park(line)
		return nil, &UnsentError{Address: address, Cause: &CanceledError{}}
	}
	release := context.AfterFunc(ctx, func() { line.conn.Close() })
	written := make(chan error, 1)
	if len(request.Body) > inlineBody {
		go func() { written <- request.write(line.writer) }()
	} else {
		written <- request.write(line.writer)
	}
	answer, err := line.receive(request) //nolint:bodyclose // closed with the connection, or read to its end by Response
	if err != nil {
		release()
		line.conn.Close()
		return nil, &BrokenError{Address: address, Cause: err}
	}
	line.keepFor(answer.Header)
	return &Response{
		Status:  answer.StatusCode,
		Header:  answer.Header,
		trunk:   trunk,
		line:    line,
		body:    answer.Body,
		release: release,
		written: written,
		keep:    !answer.Close,

		EndsWithConnection: answer.ContentLength < 0 && len(answer.TransferEncoding) == 0,
	}, nil
}

// line returns an idle connection that is still good, or a new one.
func (trunk *Trunk) line(ctx context.Context, address string) (*line, error) {
	for {
		line := trunk.take(address)
		if line == nil {
			break
		}
		if line.clean() {
			return line, nil
		}
		line.conn.Close()
	}
	conn, err := trunk.config.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	trunk.opened.Inc(1)
	return newLine(address, conn), nil
}

// take removes the connection to address that was used last.
func (trunk *Trunk) take(address string) *line {
	trunk.mutex.Lock()
	defer trunk.mutex.Unlock()
	lines := trunk.idle[address]
	if len(lines) == 0 {
		return nil
	}
	last := lines[len(lines)-1]
	trunk.idle[address] = lines[:len(lines)-1]
	if trunk.config.Clock.Now().Sub(last.idleSince) > last.idleLimit {
		// Those below have been idle for longer.
		for _, each := range trunk.idle[address] {
			each.conn.Close()
		}
		trunk.idle[address] = nil
		last.conn.Close()
		return nil
	}
	return last
}

func (trunk *Trunk) park(line *line) {
	line.idleSince = trunk.config.Clock.Now()
	trunk.mutex.Lock()
	lines := trunk.idle[line.address]
	full := len(lines) >= mostIdle
	if !full {
		trunk.idle[line.address] = append(lines, line)
	}
	trunk.mutex.Unlock()
	if full {
		line.conn.Close()
	}
}

// CloseIdle closes the idle connections to addresses that keep does not want.
func (trunk *Trunk) CloseIdle(keep func(address string) bool) {
	trunk.mutex.Lock()
	defer trunk.mutex.Unlock()
	for address, lines := range trunk.idle {
		if keep(address) {
			continue
		}
		for _, line := range lines {
			line.conn.Close()
		}
		delete(trunk.idle, address)
	}
}
