package spread

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// ServiceConfig configures a [Service].
type ServiceConfig struct {
	Self       Peer
	Peers      Peers
	Repository *config.Repository
	Clock      *clock.Service
	Logger     logrus.FieldLogger
	// Dial returns a connection to peer. The service does not close it.
	Dial func(peer Peer) (grpc.ClientConnInterface, error)
	// Metrics is the registry for the service's metrics. If it is nil, they are
	// not exported.
	Metrics metrics.Registry
}

// Service runs a [Node]: it reads the platform's service, follows peers and
// serves followers. It is the [config.Source] of its instance. It is safe for
// concurrent use.
type Service struct {
	wire.UnimplementedSpreadServer

	config      ServiceConfig
	started     time.Time
	history     *history
	instruments instruments
	// goroutines waits for the goroutines of actions.
	goroutines sync.WaitGroup

	// mutex guards the fields below. The mutex of history may be locked while it
	// is held.
	mutex sync.Mutex
	// runContext is the context of the goroutines of actions; nil while the
	// service is not running.
	runContext context.Context //nolint:containedctx // It is the context of the goroutines that Run owns.
	node       *Node
	// live is the list of live instances that the node received last.
	live []Peer
	// fresh reports whether the configuration was fresh at the last tick.
	fresh bool
	// following holds the streams to followed peers, followers the streams from
	// followers.
	following map[names.Instance]*peerStream
	followers map[names.Instance]*peerStream
	// cancelWatch stops the watch of the root; nil while there is none.
	cancelWatch context.CancelFunc
}

// NewService returns a service that has no configuration until it runs.
func NewService(serviceConfig ServiceConfig) *Service {
	seed := maphash.String(maphash.MakeSeed(), string(serviceConfig.Self.Instance))
	return &Service{
		config:      serviceConfig,
		started:     serviceConfig.Clock.Now(),
		history:     newHistory(),
		instruments: newInstruments(serviceConfig.Metrics),
		node:        NewNode(NodeConfig{Self: serviceConfig.Self, Random: rand.New(rand.NewPCG(seed, seed))}), //nolint:gosec // It spreads load and needs no cryptographic strength.
		following:   map[names.Instance]*peerStream{},
		followers:   map[names.Instance]*peerStream{},
	}
}

// Register registers the service with server, for its peers to call.
func (service *Service) Register(server grpc.ServiceRegistrar) {
	wire.RegisterSpreadServer(server, service)
}

// Run keeps the configuration up to date until ctx ends, and returns when all
// its goroutines have ended.
func (service *Service) Run(ctx context.Context) {
	runContext, cancel := context.WithCancel(ctx)
	defer service.goroutines.Wait()
	defer cancel()
	service.mutex.Lock()
	service.runContext = runContext
	service.mutex.Unlock()
	service.tick()
	ticks := make(chan struct{}, 1)
	service.config.Clock.Subscribe(runContext, TickPeriod, func(context.Context, time.Time) {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})
	for {
		select {
		case <-ctx.Done():
			service.stop()
			return
		case <-ticks:
			service.tick()
		}
	}
}

// stop prevents new goroutines from starting and closes the streams from
// followers, so that a graceful stop of the server does not wait for them.
func (service *Service) stop() {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.runContext = nil
	for _, peerStream := range service.followers {
		peerStream.cancel()
	}
}

// tick passes a changed list of live instances and a tick to the node.
func (service *Service) tick() {
	live := service.config.Peers.Live()
	service.mutex.Lock()
	changed := !slices.Equal(live, service.live)
	service.live = live
	service.mutex.Unlock()
	if changed {
		service.step(PeersChanged{Live: live})
	}
	service.step(Tick{})
	service.reportFreshness()
}

// reportFreshness updates the gauges and logs when freshness is lost or regained.
func (service *Service) reportFreshness() {
	service.mutex.Lock()
	now := service.now()
	fresh, wasFresh := service.node.Fresh(now), service.fresh
	freshAt, _ := service.node.FreshAt()
	service.fresh = fresh
	service.instruments.version.Update(int64(service.node.InForce()))
	service.instruments.fresh.Update(gaugeValue(fresh))
	service.instruments.freshnessAge.Update((now - freshAt).Milliseconds())
	service.instruments.relay.Update(gaugeValue(service.cancelWatch != nil))
	service.mutex.Unlock()
	switch {
	case wasFresh && !fresh:
		event.FreshnessLost.Log(service.config.Logger, nil)
	case !wasFresh && fresh:
		event.FreshnessRegained.Log(service.config.Logger, nil)
	}
}

func gaugeValue(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

// now returns the time on the instance's monotonic clock.
func (service *Service) now() time.Duration { return service.config.Clock.Now().Sub(service.started) }

// step passes input to the node and starts the actions that it requests. It does
// nothing while the service is not running.
func (service *Service) step(input Input) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.runContext == nil {
		return
	}
	for _, action := range service.node.Step(service.now(), input) {
		service.perform(action)
	}
}

// Current implements [config.Source].
func (service *Service) Current() *config.Snapshot {
	snapshot, _ := service.history.current()
	return snapshot
}

// Changed returns a channel that is closed when a version other than the current
// one comes into force.
func (service *Service) Changed() <-chan struct{} {
	_, changed := service.history.current()
	return changed
}

// Fresh reports whether the version in force is known to have been the latest at
// most [FreshnessBound] ago.
func (service *Service) Fresh() bool {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.node.Fresh(service.now())
}

// Adopt puts a version in force that this instance has just stored.
func (service *Service) Adopt(bundle *config.Bundle) error {
	snapshot, err := bundle.Snapshot()
	if err != nil {
		return err
	}
	service.install(bundle, snapshot)
	return nil
}

// install puts a version in force, unless the one in force is at least as high,
// and reports the version in force to the node.
func (service *Service) install(bundle *config.Bundle, snapshot *config.Snapshot) {
	if service.history.install(bundle, snapshot) {
		event.ConfigurationInForce.Log(service.config.Logger, logrus.Fields{"version": snapshot.Version()})
	}
	service.step(Fetched{OK: true, Version: service.history.latest().Version()})
}

// peer returns the live peer called instance.
func (service *Service) peer(instance names.Instance) (Peer, bool) {
	for _, peer := range service.config.Peers.Live() {
		if peer.Instance == instance {
			return peer, true
		}
	}
	return Peer{}, false
}

// client returns a client of the live peer called instance.
func (service *Service) client(instance names.Instance) (wire.SpreadClient, error) {
	peer, ok := service.peer(instance)
	if !ok {
		return nil, &PeerError{Instance: instance}
	}
	connection, err := service.config.Dial(peer)
	if err != nil {
		return nil, err
	}
	return wire.NewSpreadClient(connection), nil
}
