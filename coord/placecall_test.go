package coord_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/sched"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/store"
	"github.com/basilkeel/basilkeel/wire"
)

// scheduledCoordinator returns a coordinator of a service whose requests are scheduled, with
// one engine that holds the model "m".
func scheduledCoordinator(t *testing.T, lease *lease, cores float64) *coord.Coordinator {
	t.Helper()
	snapshot := scheduledPolicy(0)
	return scheduledCoordinatorBy(t, lease, cores, func() *policy.Snapshot { return snapshot })
}

// scheduledPolicy returns a policy with a service whose requests are scheduled and an account with
// a rate.
func scheduledPolicy(rate float64) *policy.Snapshot {
	var routes []*policy.Route
	for _, objective := range []time.Duration{400 * time.Millisecond, 5 * time.Second} {
		routes = append(routes, &policy.Route{
			Name: objective.String(), Kind: policy.KindStream, Objective: objective, GapObjective: 250 * time.Millisecond,
			Targets: []policy.Target{{Service: "notes", Weight: 1}},
		})
	}
	accounts := []*policy.Account{{Name: "a", Rate: rate}}
	return policy.NewSnapshot(policy.SnapshotConfig{Version: 1, Routes: routes, Accounts: accounts, Services: []*policy.Service{{Name: "notes", Engine: &policy.Engine{
		Slots: 8, WeightsMB: 100, AdapterSlots: 4, Models: map[names.Model]policy.Model{"m": {Name: "m", WeightsMB: 50, LoadTime: time.Second}},
	}}}})
}

func scheduledCoordinatorBy(t *testing.T, lease *lease, cores float64, current func() *policy.Snapshot) *coord.Coordinator {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := &pool.Server{ID: "engine-1", Service: "notes", Address: "10.0.0.1:80", Slots: 8, Models: []names.Model{"m"}, Incarnation: 7}
	coordinator := coord.NewCoordinator(coord.CoordinatorConfig{
		Engine: &acceptingEngine{}, Clock: clock.NewService(clock.ServiceConfig{}), Log: log, Instance: "edge-1", Cores: cores, Metrics: metrics.NewRegistry(),
		Policy: current, Servers: func(time.Time) []*pool.Server { return []*pool.Server{server} },
		Term: lease.term, UnconfirmedTerm: lease.term, Fenced: true, ShareStore: emptyShareStore{}, CrashStore: &crashStore{}, Mirror: emptyMirror{},
		LatestRevision: func(context.Context) (store.Revision, error) { return 0, errors.New("no answer") }, LoadWindow: 5 * time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		coordinator.EndTerm()
		cancel()
	})
	coordinator.BeginTerm(ctx, term)
	return coordinator
}

// gate is a coordinator's process that can be frozen.
type gate struct {
	wire.CoordinationServer
	// mutex guards the fields below.
	mutex  sync.Mutex
	frozen bool
	// calls counts the calls to schedule a request.
	calls int
}

func (gate *gate) freeze(frozen bool) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.frozen = frozen
}

func (gate *gate) callCount() int {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.calls
}

// pass waits for the end of the call if the process is frozen.
func (gate *gate) pass(ctx context.Context, calls int) error {
	gate.mutex.Lock()
	gate.calls += calls
	frozen := gate.frozen
	gate.mutex.Unlock()
	if !frozen {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// Exchange implements [wire.CoordinationServer].
func (gate *gate) Exchange(ctx context.Context, message *wire.CoordExchangeRequest) (*wire.CoordExchangeReply, error) {
	if err := gate.pass(ctx, 0); err != nil {
		return nil, err
	}
	return gate.CoordinationServer.Exchange(ctx, message)
}

// Place implements [wire.CoordinationServer].
func (gate *gate) Place(ctx context.Context, message *wire.CoordPlaceRequest) (*wire.CoordPlaceReply, error) {
	if err := gate.pass(ctx, 1); err != nil {
		return nil, err
	}
	return gate.CoordinationServer.Place(ctx, message)
}

// start serves a gate before a coordinator and returns its encoded identity.
func (gate *gate) start(t *testing.T, coordinator *coord.Coordinator) (identity string, stop func()) {
	t.Helper()
	gate.CoordinationServer = coord.NewServer(coordinator)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	wire.RegisterCoordinationServer(server, gate)
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	stop = func() {
		server.Stop()
		running.Wait()
	}
	t.Cleanup(stop)
	return coord.Identity{Instance: "edge-1", Address: listener.Addr().String(), Process: "1"}.Encode(), stop
}

// newClient returns the client of an entry, which reports nothing before it runs.
func newClient(t *testing.T) *coord.Client {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	snapshot := policy.NewSnapshot(policy.SnapshotConfig{Version: 1})
	connections := conns.NewPool(conns.PoolConfig{Options: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}})
	t.Cleanup(connections.Close)
	return coord.NewClient(coord.ClientConfig{
		Instance: "edge-2", Self: "edge-2", Pool: pool.New(pool.Config{RegistryPeriod: time.Second}), Shares: share.NewLimiter(), Crashes: crash.NewTracker(),
		Coordinator: newCoordinator(t, &lease{}), Policy: func() *policy.Snapshot { return snapshot }, Mirror: emptyMirror{}, Connections: connections,
		Clock: clock.NewService(clock.ServiceConfig{}), Log: log, Metrics: metrics.NewRegistry(),
	})
}

// startClient returns the running client of an entry.
func startClient(t *testing.T) *coord.Client {
	t.Helper()
	client := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { client.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return client
}

func urgentRequest() sched.Request {
	return sched.Request{Model: "m", PromptTokens: 100, OutputTokens: 100, Objective: 400 * time.Millisecond, Left: 20 * time.Second}
}

// place asks the client for a decision.
func place(client *coord.Client, request sched.Request) (sched.Decision, error) {
	return client.Place(context.Background(), "notes", request)
}

// placesEventually waits until the coordinator schedules requests.
func placesEventually(g *WithT, client *coord.Client) {
	g.Eventually(client.Reachable, 5*time.Second).Should(BeTrue())
	g.Eventually(func() (sched.Decision, error) { return place(client, urgentRequest()) }, 5*time.Second).
		Should(BeAssignableToTypeOf(sched.Placed{}))
}

// TestFrozenCoordinatorIsNotWaitedFor guards against requests that each wait for a
// coordinator that does not answer: after the first one none asks it until it has answered a
// report.
func TestFrozenCoordinatorIsNotWaitedFor(t *testing.T) {
	g := NewWithT(t)
	gate := &gate{}
	identity, _ := gate.start(t, scheduledCoordinator(t, &lease{}, 100))
	client := startClient(t)
	client.SetCoordinator(identity)
	placesEventually(g, client)
	gate.freeze(true)
	_, err := place(client, urgentRequest())
	g.Expect(err).To(HaveOccurred())
	asked := gate.callCount()
	for range 40 {
		_, err := place(client, urgentRequest())
		g.Expect(err).To(BeAssignableToTypeOf(&coord.NoAnswerError{}))
		time.Sleep(10 * time.Millisecond)
	}
	g.Expect(gate.callCount()).To(Equal(asked))
	g.Eventually(client.Reachable, 5*time.Second).Should(BeFalse())
	gate.freeze(false)
	placesEventually(g, client)
}

// TestLostCoordinators guards against requests that wait for a coordinator that is gone, and
// against entries that stay unscheduled after it was replaced.
func TestLostCoordinators(t *testing.T) {
	cases := []struct {
		name string
		lose func(client *coord.Client, stop func(), lease *lease)
	}{
		{name: "killed", lose: func(_ *coord.Client, stop func(), _ *lease) { stop() }},
		{name: "without its lease", lose: func(_ *coord.Client, _ func(), lease *lease) { lease.lose() }},
		{name: "unknown", lose: func(client *coord.Client, _ func(), _ *lease) { client.SetCoordinator("") }},
		{name: "at an address that cannot be read", lose: func(client *coord.Client, _ func(), _ *lease) { client.SetCoordinator("odd") }},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			held := &lease{}
			identity, stop := (&gate{}).start(t, scheduledCoordinator(t, held, 100))
			client := startClient(t)
			client.SetCoordinator(identity)
			placesEventually(g, client)
			each.lose(client, stop, held)
			g.Eventually(func() error {
				_, err := place(client, urgentRequest())
				return err
			}, 5*time.Second).Should(HaveOccurred())
			next, _ := (&gate{}).start(t, scheduledCoordinator(t, &lease{}, 100))
			client.SetCoordinator(next)
			placesEventually(g, client)
		})
	}
}

// TestOverloadedCoordinator guards against a coordinator that has no time left for its other
// work, and against one that schedules nothing as soon as it is asked too often.
func TestOverloadedCoordinator(t *testing.T) {
	cases := []struct {
		name  string
		cores float64
		// placed are the least and the most decisions of 400.
		least, most int
	}{
		{name: "time for all", cores: 100, least: 400, most: 400},
		{name: "time for some", cores: 0.002, least: 5, most: 350},
		{name: "unknown processor limit", cores: 0, least: 400, most: 400},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			coordinator := scheduledCoordinator(t, &lease{}, each.cores)
			decided := 0
			for range 400 {
				decision, err := coordinator.Place("notes", urgentRequest())
				g.Expect(err).NotTo(HaveOccurred())
				if _, unscheduled := decision.(sched.Unscheduled); !unscheduled {
					decided++
				}
			}
			g.Expect(decided).To(And(BeNumerically(">=", each.least), BeNumerically("<=", each.most)))
		})
	}
}

// TestUnreadableNamesDoNotStopScheduling guards against a caller whose model name makes its
// entry take the coordinator for unresponsive.
func TestUnreadableNamesDoNotStopScheduling(t *testing.T) {
	g := NewWithT(t)
	identity, _ := (&gate{}).start(t, scheduledCoordinator(t, &lease{}, 100))
	client := startClient(t)
	client.SetCoordinator(identity)
	placesEventually(g, client)
	for _, edit := range []func(*sched.Request){
		func(request *sched.Request) { request.Model = "m\xff" },
		func(request *sched.Request) { request.Adapter = "\xc3\x28" },
	} {
		odd := urgentRequest()
		edit(&odd)
		g.Expect(place(client, odd)).To(Equal(sched.Unscheduled{}))
		_, err := place(client, urgentRequest())
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// TestSchedulersFollowThePolicy guards against a scheduler that keeps to the limits of a former
// policy: an account beyond its new rate gets only what others leave.
func TestSchedulersFollowThePolicy(t *testing.T) {
	g := NewWithT(t)
	var snapshot atomic.Pointer[policy.Snapshot]
	snapshot.Store(scheduledPolicy(0))
	coordinator := scheduledCoordinatorBy(t, &lease{}, 100, snapshot.Load)
	request := urgentRequest()
	request.Account, request.Tokens = "a", 200
	placeTwice := func() (decision sched.Decision) {
		for range 2 {
			var err error
			decision, err = coordinator.Place("notes", request)
			g.Expect(err).NotTo(HaveOccurred())
		}
		return decision
	}
	g.Expect(placeTwice()).To(BeAssignableToTypeOf(sched.Placed{}))
	snapshot.Store(scheduledPolicy(1))
	g.Eventually(placeTwice, time.Second, 150*time.Millisecond).Should(BeAssignableToTypeOf(sched.Later{}))
	snapshot.Store(scheduledPolicy(0))
	g.Eventually(placeTwice, 5*time.Second, 150*time.Millisecond).Should(BeAssignableToTypeOf(sched.Placed{}))
}

// TestExplanationsStateWhenModelsAreLoaded guards against an explanation that a request waits for
// its model where the request itself is refused, as the load takes longer than it has left.
func TestExplanationsStateWhenModelsAreLoaded(t *testing.T) {
	g := NewWithT(t)
	snapshot := scheduledPolicy(0)
	snapshot.Service("notes").Engine.Models["n"] = policy.Model{Name: "n", WeightsMB: 50, LoadTime: time.Minute}
	coordinator := scheduledCoordinatorBy(t, &lease{}, 100, func() *policy.Snapshot { return snapshot })
	request := urgentRequest()
	request.Model = "n"
	loadedLate := HaveField("Ready", BeNumerically(">", 30*time.Second))
	g.Eventually(func() (sched.Decision, error) { return coordinator.Place("notes", request) }, 5*time.Second).Should(loadedLate)
	explanation, err := coordinator.Explain("notes", request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(explanation.Decision).To(loadedLate)
}

// TestExplanationsKnowWhoIsAsked guards against explanations by a coordinator that requests do not
// ask: one that has not answered the last of them, or that cannot read the name of their model.
func TestExplanationsKnowWhoIsAsked(t *testing.T) {
	g := NewWithT(t)
	gate := &gate{}
	identity, _ := gate.start(t, scheduledCoordinator(t, &lease{}, 100))
	client := startClient(t)
	client.SetCoordinator(identity)
	placesEventually(g, client)
	explain := func(request sched.Request) (sched.Decision, error) {
		explanation, err := client.Explain(context.Background(), "notes", request)
		return explanation.Decision, err
	}
	g.Expect(explain(urgentRequest())).To(BeAssignableToTypeOf(sched.Placed{}))
	odd := urgentRequest()
	odd.Model = "m\xff"
	g.Expect(explain(odd)).To(Equal(sched.Unscheduled{}))
	gate.freeze(true)
	_, err := place(client, urgentRequest())
	g.Expect(err).To(HaveOccurred())
	asked := gate.callCount()
	for range 40 {
		_, err := explain(urgentRequest())
		g.Expect(err).To(BeAssignableToTypeOf(&coord.NoAnswerError{}))
		time.Sleep(10 * time.Millisecond)
	}
	g.Expect(gate.callCount()).To(Equal(asked))
}
