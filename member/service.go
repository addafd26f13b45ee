package member

import (
	"context"
	"hash/maphash"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/wire"
)

const (
	// workerCount and workQueueSize bound the calls that run and those that wait.
	workerCount   = 16
	workQueueSize = 256
	// callTimeout bounds a probe. A late reply is useful until the relays have
	// timed out too.
	callTimeout = probeTimeout + relayTimeout
	pushTimeout = time.Second
	prunePeriod = 10 * time.Second
)

// Service runs a [Node] over gRPC and provides its view as a [fleet.Source]. It is
// safe for concurrent use.
type Service struct {
	wire.UnimplementedMembersServer

	config  ServiceConfig
	holder  *fleet.AtomicSource
	links   *links
	gauges  *gauges
	work    chan func(ctx context.Context)
	leaving chan struct{}
	running sync.WaitGroup

	// mu guards node and changed.
	mu      sync.Mutex
	node    *Node
	changed chan struct{}
}

var (
	_ fleet.Source       = (*Service)(nil)
	_ wire.MembersServer = (*Service)(nil)
)

// NewService returns a service whose view is empty until it is started.
func NewService(config ServiceConfig) *Service {
	birth := uint64(config.Clock.Now().UnixMilli())
	seed := maphash.String(maphash.MakeSeed(), string(config.Self.Instance()))
	return &Service{
		config: config, holder: fleet.NewAtomicSource(), links: newLinks(config.Options), gauges: newGauges(config.Metrics),
		work: make(chan func(ctx context.Context), workQueueSize), leaving: make(chan struct{}),
		node: NewNode(Config{Self: config.Self, Birth: birth, Seed: seed}), changed: make(chan struct{}),
	}
}

// Current implements [fleet.Source].
func (service *Service) Current() *fleet.View { return service.holder.Current() }

// Changed returns a channel that is closed at the next change of the view. Take
// it before reading the view.
func (service *Service) Changed() <-chan struct{} {
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.changed
}

// Leaving returns a channel that is closed once this instance must accept no new
// work, because it is stopping or the platform's list marks it as leaving.
func (service *Service) Leaving() <-chan struct{} { return service.leaving }

// Register registers the service on server.
func (service *Service) Register(server grpc.ServiceRegistrar) {
	wire.RegisterMembersServer(server, service)
}

// Start reads the platform's list once, then runs the service in the background
// until ctx ends.
func (service *Service) Start(ctx context.Context) {
	for range workerCount {
		service.running.Go(func() { service.runWorker(ctx) })
	}
	service.readList(ctx)
	service.config.Clock.Subscribe(ctx, TickPeriod, func(context.Context, time.Time) { service.step(Tick{}) })
	service.config.Clock.Subscribe(ctx, prunePeriod, func(_ context.Context, now time.Time) {
		service.links.prune(now.Add(-linkIdleTimeout))
	})
}

// Close waits for the workers to end and closes the connections to peers. Call it
// after the context of Start has ended.
func (service *Service) Close() {
	service.running.Wait()
	service.links.close()
}

// runWorker runs queued work until ctx ends.
func (service *Service) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-service.work:
			work(ctx)
		}
	}
}

// enqueue queues work for the workers and drops it if the queue is full: later
// probes and replies carry the same changes.
func (service *Service) enqueue(work func(ctx context.Context)) {
	select {
	case service.work <- work:
	default:
		service.gauges.dropped.Inc(1)
	}
}

// step passes an input to the node and carries out the resulting actions. It
// returns the reply to a [ProbeReceived].
func (service *Service) step(input Input) Reply {
	service.mu.Lock()
	defer service.mu.Unlock()
	var reply Reply
	for _, action := range service.node.Step(service.config.Clock.Now(), input) {
		switch action := action.(type) {
		case SendProbe:
			service.enqueue(func(ctx context.Context) { service.probe(ctx, action) })
		case SendRelay:
			service.enqueue(func(ctx context.Context) { service.relay(ctx, action) })
		case SendPush:
			service.enqueue(func(ctx context.Context) { service.push(ctx, action.Address, action.Records) })
		case SendReply:
			reply = action.Reply
		case ReadList:
			service.enqueue(service.readList)
		case ViewChanged:
			service.publish()
		case SelfLeaving:
			event.MemberLeaving.Log(service.config.Logger, nil)
			close(service.leaving)
		case HealthChanged:
			service.logHealth(action.Record)
		}
	}
	return reply
}

// publish replaces the view. The caller must hold mu, so that views are published
// in order.
func (service *Service) publish() {
	view := fleet.NewView(service.node.Members())
	service.holder.Replace(view)
	service.gauges.update(view)
	close(service.changed)
	service.changed = make(chan struct{})
}

func (service *Service) logHealth(record Record) {
	fields := logrus.Fields{
		"member": record.Member.Instance(), "failureDomain": record.Member.Domain(), "region": record.Member.Region(),
	}
	switch record.Health {
	case Alive:
		event.MemberReturned.Log(service.config.Logger, fields)
	case Suspect:
	case Failed:
		event.MemberFailed.Log(service.config.Logger, fields)
	case Gone:
		event.MemberGone.Log(service.config.Logger, fields)
	}
}

func (service *Service) readList(ctx context.Context) {
	members, err := service.config.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			event.EntryListFailed.Log(service.config.Logger, logrus.Fields{"cause": err.Error()})
		}
		return
	}
	service.step(ListReceived{Members: members})
}
