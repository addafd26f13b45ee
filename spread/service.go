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

// ServiceConfig carries what a [Service] is built from.
type ServiceConfig struct {
	Self       Peer
	Peers      Peers
	Repository *config.Repository
	Clock      *clock.Service
	Logger     logrus.FieldLogger
	// Dial returns a connection to a peer, which the service does not close.
	Dial func(peer Peer) (grpc.ClientConnInterface, error)
	// Metrics takes the service's metrics; nil keeps them to itself.
	Metrics metrics.Registry
}

// Service runs a [Node]: it reads the platform's service, follows peers and
// serves those that follow. It is the [config.Source] of its instance. It is
// safe for concurrent use.
type Service struct {
	wire.UnimplementedSpreadServer

	config  ServiceConfig
	started time.Time
	holder  *holder
	gauges  gauges
	// running counts the goroutines of actions.
	running sync.WaitGroup

	// mutex guards the fields below. The holder's lock may be taken under it.
	mutex sync.Mutex
	// run ends the goroutines of actions; nil while the service does not run.
	run       context.Context //nolint:containedctx // It spans the goroutines that Run owns.
	node      *Node
	live      []Peer
	fresh     bool
	following map[names.Instance]*following
	followers map[names.Instance]*following
	stopWatch context.CancelFunc
}

// NewService returns a service that holds nothing until it runs.
func NewService(serviceConfig ServiceConfig) *Service {
	seed := maphash.String(maphash.MakeSeed(), string(serviceConfig.Self.Instance))
	return &Service{
		config:    serviceConfig,
		started:   serviceConfig.Clock.Now(),
		holder:    newHolder(),
		gauges:    newGauges(serviceConfig.Metrics),
		node:      NewNode(NodeConfig{Self: serviceConfig.Self, Random: rand.New(rand.NewPCG(seed, seed))}), //nolint:gosec // It spreads load and guards nothing.
		following: map[names.Instance]*following{},
		followers: map[names.Instance]*following{},
	}
}

// Register offers the service to peers on server.
func (service *Service) Register(server grpc.ServiceRegistrar) {
	wire.RegisterSpreadServer(server, service)
}

// Run keeps the configuration up to date until ctx ends.
func (service *Service) Run(ctx context.Context) {
	run, cancel := context.WithCancel(ctx)
	defer service.running.Wait()
	defer cancel()
	service.mutex.Lock()
	service.run = run
	service.mutex.Unlock()
	service.tick()
	ticks := make(chan struct{}, 1)
	service.config.Clock.Subscribe(run, TickPeriod, func(context.Context, time.Time) {
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

// stop keeps new goroutines from starting and sends the followers elsewhere, so
// that a graceful stop of the server does not wait for them.
func (service *Service) stop() {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.run = nil
	for _, stream := range service.followers {
		stream.cancel()
	}
}

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
	service.noteFreshness()
}

// noteFreshness logs when freshness is lost or regained.
func (service *Service) noteFreshness() {
	service.mutex.Lock()
	now := service.now()
	fresh, before := service.node.Fresh(now), service.fresh
	freshAt, _ := service.node.FreshAt()
	service.fresh = fresh
	service.gauges.version.Update(int64(service.node.InForce()))
	service.gauges.fresh.Update(asNumber(fresh))
	service.gauges.freshness.Update((now - freshAt).Milliseconds())
	service.gauges.relay.Update(asNumber(service.stopWatch != nil))
	service.mutex.Unlock()
	switch {
	case before && !fresh:
		event.FreshnessLost.Log(service.config.Logger, nil)
	case !before && fresh:
		event.FreshnessRegained.Log(service.config.Logger, nil)
	}
}

func asNumber(truth bool) int64 {
	if truth {
		return 1
	}
	return 0
}

// now is the time on the instance's monotonic clock.
func (service *Service) now() time.Duration { return service.config.Clock.Now().Sub(service.started) }

// step gives the node an input and starts what it wants done.
func (service *Service) step(input Input) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.run == nil {
		return
	}
	for _, action := range service.node.Step(service.now(), input) {
		service.perform(action)
	}
}

// Current implements [config.Source].
func (service *Service) Current() *config.Snapshot {
	snapshot, _ := service.holder.current()
	return snapshot
}

// Changed returns a channel that is closed when another version than the
// present one comes into force.
func (service *Service) Changed() <-chan struct{} {
	_, changed := service.holder.current()
	return changed
}

// Fresh tells whether the version in force was the latest within
// [FreshnessBound].
func (service *Service) Fresh() bool {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.node.Fresh(service.now())
}

// Adopt brings a version into force that this instance has just stored.
func (service *Service) Adopt(holding *config.Holding) error {
	snapshot, err := holding.Snapshot()
	if err != nil {
		return err
	}
	service.bring(holding, snapshot)
	return nil
}

// bring brings a version into force and tells the node.
func (service *Service) bring(holding *config.Holding, snapshot *config.Snapshot) {
	if service.holder.adopt(holding, snapshot) {
		event.ConfigurationInForce.Log(service.config.Logger, logrus.Fields{"version": snapshot.Version()})
	}
	service.step(Fetched{OK: true, Version: service.holder.holding().Version()})
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
