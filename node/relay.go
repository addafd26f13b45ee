package node

import (
	"context"
	"fmt"
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

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/spool"
	"github.com/basilkeel/basilkeel/trunk"
)

const (
	// collectPercent lets the heap grow to four times what is in use before it is
	// collected: processor time is scarcer than memory on entries.
	collectPercent = 300
	// heapPart is the part of the memory limit beyond which the heap is collected
	// more often; the rest is for stacks and buffers of connections.
	heapPart = 0.6
	// peerBuffer is the buffer of a connection between entries; messages are a few
	// kilobytes.
	peerBuffer = 8 << 10
	// longestCrashSilence is enough for a server that lives to answer somebody, and less
	// than the seconds after which crashed ones are back.
	longestCrashSilence = 1500 * time.Millisecond
	// firstRedial and lastRedial bound the pause before an entry is dialled again.
	firstRedial = 50 * time.Millisecond
	lastRedial  = 500 * time.Millisecond
)

// RunRelay runs an entry of a prepared deployment until a signal or the end of
// ctx. The settings are read from the file at path.
func RunRelay(ctx context.Context, path string) error {
	host, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(heapPart * float64(host.MemoryBytes)))
	output := spool.NewWriter(os.Stdout, spool.DefaultLines)
	defer output.Close()
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(host.Bounds.StopGrace+stopMargin),
		fx.Supply(host, output, settingsPath(path)),
		fx.Provide(
			newClock, newMetrics, newRelayLog, newRelaySelf, newPlatformStore, newServerPool, newTrunk, newShares, crash.NewTracker,
			newRelay, newPeerConnections, newDesk, newCoordClient, newElector, newSuspects, newMembers, newMirror,
		),
		fx.Invoke(serveCoordination, followPlatform, coordinate, serveReadiness, serveRelay, sweep, watchSettings, tellStart, retire),
	)
	return run(ctx, app, host.Bounds.StopGrace)
}

type settingsPath string

// relaySelf names this process to others.
type relaySelf struct {
	instance names.Instance
	address  string
	identity coord.Identity
	value    string
}

// replaces tells whether a coordinator's value is that of a former process of
// this instance.
func (relaySelf *relaySelf) replaces(value string) bool {
	other, err := coord.DecodeIdentity(value)
	return err == nil && relaySelf.identity.Replaces(other)
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

func newPlatformStore(host *setup.Host, registry metrics.Registry) *platform.Store {
	return platform.NewStore(platform.StoreConfig{
		Address:   host.StoreAddress,
		Transport: platform.NewTransport(trunk.NewDialer().DialContext),
		Metrics:   registry,
	})
}

func newServerPool(host *setup.Host) *pool.Pool {
	return pool.New(pool.Config{RegistryPeriod: host.RegistryPeriod, Random: rand.Float64})
}

func newTrunk(clock *clock.Service, registry metrics.Registry) *trunk.Trunk {
	return trunk.New(trunk.Config{Clock: clock, Metrics: registry})
}

func newShares() *share.Limiter { return share.NewLimiter() }

// relayParts is what a relay is built from.
type relayParts struct {
	fx.In

	Host    *setup.Host
	Pool    *pool.Pool
	Trunk   *trunk.Trunk
	Shares  *share.Limiter
	Crashes *crash.Tracker
	Clock   *clock.Service
	Log     logrus.FieldLogger
	Metrics metrics.Registry
}

func newRelay(parts relayParts) *relay.Relay {
	bounds := parts.Host.Bounds
	return relay.New(relay.Config{
		Codec: platform.HeaderCodec{}, Pool: parts.Pool, Trunk: parts.Trunk, Limiter: parts.Shares, Crashes: parts.Crashes,
		Clock: parts.Clock, Log: parts.Log, Metrics: parts.Metrics, Domain: names.FailureDomain(parts.Host.Domain),
		CrashConfirmDelay: crashSilence(bounds.Contact), RetryRatio: bounds.RetryRatio, RetrySlack: bounds.RetrySlack, RetryWindow: bounds.RetryWindow,
	})
}

// crashSilence leaves half of the time in which instances have to act to the
// exchange of reports.
func crashSilence(contact time.Duration) time.Duration {
	if contact <= 0 {
		return longestCrashSilence
	}
	return min(longestCrashSilence, contact/2)
}

func newPeerConnections() *conns.Pool {
	dialer := trunk.NewDialer()
	return conns.NewPool(conns.PoolConfig{Options: []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{
			BaseDelay: firstRedial, Multiplier: 2, Jitter: 0.2, MaxDelay: lastRedial,
		}}),
		grpc.WithReadBufferSize(peerBuffer), grpc.WithWriteBufferSize(peerBuffer),
		grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
	}})
}

// serveCoordination offers the desk to other entries.
func serveCoordination(lifecycle fx.Lifecycle, self *relaySelf, coordinator *coord.Coordinator, log logrus.FieldLogger) {
	server := grpc.NewServer(grpc.ReadBufferSize(peerBuffer), grpc.WriteBufferSize(peerBuffer))
	coord.NewServer(coordinator).Register(server)
	serveRPCAt(lifecycle, self.address, server, log)
}

func tellStart(lifecycle fx.Lifecycle, host *setup.Host, log logrus.FieldLogger) {
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
