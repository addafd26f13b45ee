package claim

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// DefaultShards is the number of shards if none is configured.
	DefaultShards = 64

	defaultWritesPerSecond = 200
	defaultIdleTimeout     = 5 * time.Minute
)

// HostConfig configures a [Host].
type HostConfig struct {
	Store  store.Store
	Clock  *clock.Service
	Logger logrus.FieldLogger
	// Shards is the number of shards. It has to be the same for all entries and
	// can't be changed later; zero means [DefaultShards].
	Shards int
	// WritesPerSecond bounds the writes of the whole fleet as long as each shard
	// has one writer; zero means 200.
	WritesPerSecond float64
	// Writer configures the writers; the host sets its shard and interval.
	Writer WriterConfig
	// IdleTimeout is how long a writer without operations is kept; zero means
	// five minutes.
	IdleTimeout time.Duration
}

// Host runs the writers of the shards for which this entry receives operations.
// All methods are safe for concurrent use.
type Host struct {
	config HostConfig
	layout *layout
	// spawn runs a runner in a goroutine, with a context that ends when the host
	// closes.
	spawn       func(runner *runner)
	cancel      context.CancelFunc
	done        <-chan struct{}
	runnerGroup sync.WaitGroup

	// mu guards runners, closed, and the users of each runner.
	mu      sync.Mutex
	runners map[int]*runner
	closed  bool
}

// NewHost returns a host without writers; they are started on demand.
func NewHost(config HostConfig) *Host {
	if config.Shards <= 0 {
		config.Shards = DefaultShards
	}
	if config.WritesPerSecond <= 0 {
		config.WritesPerSecond = defaultWritesPerSecond
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	host := &Host{
		config:  config,
		layout:  &layout{store: config.Store, shards: config.Shards},
		cancel:  cancel,
		done:    ctx.Done(),
		runners: map[int]*runner{},
	}
	host.spawn = func(runner *runner) {
		host.runnerGroup.Go(func() { runner.run(ctx) })
	}
	return host
}

// Shards returns the number of shards.
func (host *Host) Shards() int { return host.config.Shards }

// Close stops the writers. Operations that wait get the reply [Failed].
func (host *Host) Close() {
	host.mu.Lock()
	host.closed = true
	host.mu.Unlock()
	host.cancel()
	host.runnerGroup.Wait()
}

// Submit passes an operation to the writer of its shard and returns the reply.
func (host *Host) Submit(ctx context.Context, operation Operation) Reply {
	runner := host.acquire(operation.Target().id.Shard(host.config.Shards))
	if runner == nil {
		return Failed{}
	}
	defer host.release(runner)
	replies := make(chan Reply, 1)
	select {
	case runner.requests <- request{operation: operation, replies: replies}:
	case <-ctx.Done():
		return Failed{}
	case <-host.done:
		return Failed{}
	}
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return Failed{MayApply: true}
	case <-host.done:
		return Failed{MayApply: true}
	}
}

// acquire returns the runner of a shard, which doesn't end before it is
// released. It returns nil if the host is closed.
func (host *Host) acquire(shard int) *runner {
	host.mu.Lock()
	defer host.mu.Unlock()
	if host.closed {
		return nil
	}
	existing, ok := host.runners[shard]
	if !ok {
		existing = newRunner(host, shard)
		host.runners[shard] = existing
		host.spawn(existing)
	}
	existing.users++
	return existing
}

func (host *Host) release(runner *runner) {
	host.mu.Lock()
	defer host.mu.Unlock()
	runner.users--
}

// retire removes a runner unless it is in use, and reports whether it did.
func (host *Host) retire(runner *runner) bool {
	host.mu.Lock()
	defer host.mu.Unlock()
	if runner.users > 0 {
		return false
	}
	delete(host.runners, runner.shard)
	return true
}

// writerConfig returns the configuration of a shard's writer. Each shard has an
// equal part of WritesPerSecond.
func (host *Host) writerConfig(shard int) WriterConfig {
	config := host.config.Writer
	config.Shard = shard
	perShard := float64(host.config.Shards) / host.config.WritesPerSecond
	config.Interval = time.Duration(perShard * float64(time.Second))
	return config
}
