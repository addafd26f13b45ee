package node

import (
	"context"
	"fmt"
	stdlog "log"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/google/uuid"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/basilkeel/basilkeel/accept"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/spool"
	"github.com/basilkeel/basilkeel/trunk"
)

const (
	// gcPercent lets the heap grow to four times its live size between garbage
	// collections: processor time is scarcer than memory on entries.
	gcPercent = 300
	// heapLimitRatio is the fraction of the process's memory, and fixedBytes what is taken off it,
	// that is set as Go's soft memory limit, beyond which garbage is collected more often. It is
	// above what memory.LimitOf lets requests hold, so that collections don't follow each other when
	// the budget is used up. The rest is left for the program's pages and the kernel's connection
	// buffers. Below minHeapLimitRatio the program itself would be collected without pause.
	heapLimitRatio    = 0.8
	fixedBytes        = 32 << 20
	minHeapLimitRatio = 0.5
	maxHeapLimitRatio = 0.7
	// peerBufferBytes is the buffer size of a connection between entries, whose
	// messages are a few kilobytes long.
	peerBufferBytes = 8 << 10
	// maxCrashConfirmDelay is long enough for a running server to answer some
	// request, and shorter than the seconds that a crashed one takes to restart.
	maxCrashConfirmDelay = 1500 * time.Millisecond
	// redialBaseDelay and redialMaxDelay bound the backoff before an entry is dialled
	// again.
	redialBaseDelay = 50 * time.Millisecond
	redialMaxDelay  = 500 * time.Millisecond
)

// RunRelay runs an entry of a prepared deployment until it receives a signal or
// ctx is done. The settings are read from the file at path.
func RunRelay(ctx context.Context, path string) error {
	hangUps := catchHangUps()
	host, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if host.MemoryBytes > 0 {
		debug.SetMemoryLimit(heapLimit(host.MemoryBytes))
	}
	output := spool.NewWriter(os.Stdout, spool.DefaultBufferLines)
	defer output.Close()
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(host.Bounds.StopGrace+stopMargin),
		fx.Supply(host, output, hangUps, settingsPath(path)),
		fx.Provide(
			newClock, newMetrics, newRelayLog, newRelaySelf, newPlatformStore, newServerPool, newMemoryBudget, newConnectionTable, newTrunk, newLimiter, crash.NewTracker,
			newRelay, newPeerConnections, newCoordinator, newCoordClient, newElector, newSuspectStore, newOwnKeys, newEvacuationHandler, newMirror, newReadyJudge,
		),
		fx.Invoke(captureStandardLog, serveCoordination, followPlatform, runCoordination, serveReadiness, sweep, watchSettings, expireEvacuations, serveRelay, logLifecycle, resignOnStop),
	)
	return run(ctx, app, host.Bounds.StopGrace)
}

// heapLimit returns Go's soft memory limit for a process with memoryBytes.
func heapLimit(memoryBytes int64) int64 {
	bytes := float64(memoryBytes)
	return int64(min(max(heapLimitRatio*bytes-fixedBytes, minHeapLimitRatio*bytes), maxHeapLimitRatio*bytes))
}

// settingsPath is the path of the settings file.
type settingsPath string

// relaySelf identifies this process to other entries.
type relaySelf struct {
	instance names.Instance
	address  string
	identity coord.Identity
	value    string
}

// isPredecessor reports whether value identifies a coordinator that was a previous
// process of this instance, or no process: a coordinator whose value is overwritten
// ends its term.
func (relaySelf *relaySelf) isPredecessor(value string) bool {
	other, err := coord.DecodeIdentity(value)
	return err != nil || other == coord.Identity{} || relaySelf.identity.Replaces(other)
}

func newRelaySelf(host *setup.Host) *relaySelf {
	self := &relaySelf{
		instance: names.Instance(host.Instance),
		address:  net.JoinHostPort(host.IP, strconv.Itoa(host.FirstPort)),
	}
	self.identity = coord.Identity{Instance: host.Instance, Address: self.address, Process: uuid.NewString()}
	self.value = self.identity.Encode()
	return self
}

func newRelayLog(host *setup.Host, output *spool.Writer) logrus.FieldLogger {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	logger.SetOutput(output)
	logger.AddHook(ident.Redactor{})
	return logger.WithField("instance", host.Instance)
}

// captureStandardLog writes what net/http reports of clients' connections to log.
func captureStandardLog(log logrus.FieldLogger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(httpErrorWriter{log: log})
}

func newPlatformStore(host *setup.Host, registry metrics.Registry, log logrus.FieldLogger) *platform.Store {
	return platform.NewStore(platform.StoreConfig{
		Address:   host.StoreAddress,
		Transport: platform.NewTransport(trunk.NewDialer().DialContext),
		Metrics:   registry,
		Log:       log,
	})
}

func newServerPool(host *setup.Host) *pool.Pool {
	return pool.New(pool.Config{RegistryPeriod: host.RegistryPeriod, Random: rand.Float64})
}

func newTrunk(clock *clock.Service, registry metrics.Registry) *trunk.Trunk {
	return trunk.New(trunk.Config{Clock: clock, Metrics: registry})
}

func newMemoryBudget(host *setup.Host) *memory.Budget {
	return memory.NewBudget(memory.LimitOf(host.MemoryBytes))
}

func newConnectionTable(host *setup.Host, budget *memory.Budget, clock *clock.Service, registry metrics.Registry, log logrus.FieldLogger) *accept.Table {
	return accept.NewTable(accept.TableConfig{Memory: budget, Descriptors: host.Descriptors, Clock: clock, Metrics: registry, Log: log})
}

func newLimiter() *share.Limiter { return share.NewLimiter() }

// relayParts are the dependencies of a relay.
type relayParts struct {
	fx.In

	Host    *setup.Host
	Pool    *pool.Pool
	Trunk   *trunk.Trunk
	Limiter *share.Limiter
	Memory  *memory.Budget
	Tracker *crash.Tracker
	Clock   *clock.Service
	Log     logrus.FieldLogger
	Metrics metrics.Registry
}

func newRelay(parts relayParts) *relay.Relay {
	bounds := parts.Host.Bounds
	return relay.New(relay.Config{
		Codec: platform.HeaderCodec{}, Pool: parts.Pool, Trunk: parts.Trunk, Limiter: parts.Limiter, Crashes: parts.Tracker,
		Clock: parts.Clock, Log: parts.Log, Metrics: parts.Metrics, Domain: names.FailureDomain(parts.Host.Domain), Memory: parts.Memory,
		Regions:           regionsOf(parts.Host),
		CrashConfirmDelay: crashConfirmDelay(bounds.Contact), RetryRatio: bounds.RetryRatio, RetrySlack: bounds.RetrySlack, RetryWindow: bounds.RetryWindow,
	})
}

// regionsOf returns the geography that the settings describe.
func regionsOf(host *setup.Host) policy.Regions {
	regions := policy.Regions{Own: names.Region(host.Region), Domains: map[names.FailureDomain]names.Region{}}
	for domain, region := range host.Regions {
		regions.Domains[names.FailureDomain(domain)] = names.Region(region)
	}
	return regions
}

// crashConfirmDelay returns how long a server must stay silent to count as
// crashed. It uses at most half of contact, the time within which instances have
// to react, and leaves the rest for the exchange of reports.
func crashConfirmDelay(contact time.Duration) time.Duration {
	if contact <= 0 {
		return maxCrashConfirmDelay
	}
	return min(maxCrashConfirmDelay, contact/2)
}

func newPeerConnections() *conns.Pool {
	dialer := trunk.NewDialer()
	return conns.NewPool(conns.PoolConfig{Options: []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{
			BaseDelay: redialBaseDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: redialMaxDelay,
		}}),
		grpc.WithReadBufferSize(peerBufferBytes), grpc.WithWriteBufferSize(peerBufferBytes),
		grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
	}})
}

// serveCoordination serves the coordinator's gRPC service to other entries.
func serveCoordination(lifecycle fx.Lifecycle, self *relaySelf, coordinator *coord.Coordinator, table *accept.Table, budget *memory.Budget, clock *clock.Service, log logrus.FieldLogger) {
	options := append(append(guardOptions(log), coord.ServerOptions()...), boundPeers(table, budget, clock)...)
	server := grpc.NewServer(append(options, grpc.ReadBufferSize(peerBufferBytes), grpc.WriteBufferSize(peerBufferBytes))...)
	coord.NewServer(coordinator).Register(server)
	serveRPCAt(lifecycle, self.address, table, server, log)
}

// logLifecycle logs the start of the process and the beginning of its shutdown.
func logLifecycle(lifecycle fx.Lifecycle, host *setup.Host, log logrus.FieldLogger) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			event.ProcessStarted.Log(log, logrus.Fields{
				"version": Version(), "callers": host.CallerAddress, "store": host.StoreAddress,
				"settings": fmt.Sprintf("%+v", host.Bounds), "cores": host.Cores, "linkMbps": host.LinkMbps,
			})
			return nil
		},
		OnStop: func(context.Context) error {
			event.ProcessStopping.Log(log, logrus.Fields{})
			return nil
		},
	})
}
