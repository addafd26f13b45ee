package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
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
	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/store"
)

// noopParts stands in for dependencies of the coordinator that the tests don't need:
// engines, the record of shares and the mirror of the platform's keys.
type noopParts struct{}

func (noopParts) Order(context.Context, copies.OrderRequest) (copies.Outcome, error) {
	return copies.OutcomeAccepted, nil
}

func (noopParts) Report(context.Context, string, names.BackendServer) (copies.EngineReport, error) {
	return copies.EngineReport{}, nil
}
func (noopParts) LastRecord() share.Record                        { return share.Record{} }
func (noopParts) StoreShares(context.Context, share.Record) error { return nil }
func (noopParts) Revision() store.Revision                        { return 1 }
func (noopParts) ExpectRevision(store.Revision)                   {}
func (noopParts) Confirm(store.Revision)                          {}
func (noopParts) Since(store.Revision) ([]store.Entry, store.Revision, bool, bool) {
	return nil, 1, false, false
}
func (noopParts) Apply([]store.Entry, store.Revision, bool) {}
func (noopParts) Detach()                                   {}
func (noopParts) ClearConfirmation()                        {}

// entry is an entry that may be elected coordinator.
type entry struct {
	*fixture
	desk     *coord.Coordinator
	client   *coord.Client
	identity string
	stop     func()
	// startedAt is when the entry was last restarted.
	startedAt time.Time
}

// fleet is a few entries in front of the same backend servers, one of which is elected
// coordinator.
type fleet struct {
	t      *testing.T
	routes []*policy.Route
	// deadly reports whether a request ends the server that runs it.
	deadly func(request *http.Request, body string) bool
	// mutex guards the fields below.
	mutex   sync.Mutex
	all     []*entry
	servers map[names.BackendServer]*pool.Server
	// backends are the servers that have not ended, and slowStart is the time before their
	// first event.
	backends  map[names.BackendServer]*httptest.Server
	slowStart time.Duration
	// record is what the coordinator last stored.
	record   crash.Record
	term     int64
	leader   *entry
	lastBorn int
	arrivals []time.Time
	ends     []time.Time
}

func newEntries(t *testing.T, count int, routes ...*policy.Route) *fleet {
	t.Helper()
	fleet := &fleet{t: t, routes: routes, servers: map[names.BackendServer]*pool.Server{}, backends: map[names.BackendServer]*httptest.Server{}}
	fleet.deadly = func(_ *http.Request, body string) bool { return body == "deadly" }
	for index := range count {
		fleet.all = append(fleet.all, fleet.start(index))
	}
	t.Cleanup(func() {
		for index := range count {
			fleet.at(index).stop()
		}
	})
	fleet.elect(0)
	return fleet
}

// StoreCrashes implements [coord.CrashStore].
func (fleet *fleet) StoreCrashes(_ context.Context, record crash.Record) error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.record = record
	return nil
}

func (fleet *fleet) at(index int) *entry {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.all[index%len(fleet.all)]
}

// restart kills an entry and starts it again. If it was the coordinator, another one is
// elected.
func (fleet *fleet) restart(index int) {
	former := fleet.at(index)
	former.stop()
	former.front.CloseClientConnections()
	started := fleet.start(index)
	started.startedAt = time.Now()
	fleet.mutex.Lock()
	fleet.all[index] = started
	led := fleet.leader == former
	leader := fleet.leader
	fleet.mutex.Unlock()
	if led {
		fleet.elect((index + 1) % len(fleet.all))
		return
	}
	started.client.SetCoordinator(leader.identity)
}

// start returns a running entry that knows the registry and the stored record.
func (fleet *fleet) start(index int) *entry {
	fixture := newFixture(fleet.t, fleet.routes...)
	entry := fleet.newEntry(names.Instance(fmt.Sprintf("edge-%d", index)), fixture)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, server := range fleet.servers {
		fixture.pool.Put(server)
	}
	fixture.crashes.Add(fleet.record.Suspicions()...)
	return entry
}

// newEntry returns a running entry that uses the relay of fixture.
func (fleet *fleet) newEntry(instance names.Instance, fixture *fixture) *entry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fleet.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	clockService := clock.NewService(clock.ServiceConfig{})
	entry := &entry{fixture: fixture, identity: coord.Identity{Instance: string(instance), Address: listener.Addr().String(), Process: "1"}.Encode()}
	term := func() int64 {
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		if fleet.leader != entry {
			return 0
		}
		return fleet.term
	}
	entry.desk = coord.NewCoordinator(coord.CoordinatorConfig{
		Engine: noopParts{}, Clock: clockService, Log: log, Instance: instance, Policy: fixture.relay.Policy, Servers: fixture.pool.Servers,
		Term: term, UnconfirmedTerm: term, ShareStore: noopParts{}, CrashStore: fleet, Mirror: noopParts{}, LoadWindow: time.Second,
		LatestRevision: func(context.Context) (store.Revision, error) { return 0, errors.New("no answer") },
	})
	connections := conns.NewPool(conns.PoolConfig{Options: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}})
	entry.client = coord.NewClient(coord.ClientConfig{
		Instance: instance, Self: entry.identity, Coordinator: entry.desk, Pool: fixture.pool, Shares: share.NewLimiter(), Crashes: fixture.crashes,
		Policy: fixture.relay.Policy, Mirror: noopParts{}, Connections: connections, Clock: clockService, Log: log,
		Metrics: metrics.NewRegistry(),
	})
	fixture.relay.SetCoordinator(entry.client)
	server := grpc.NewServer()
	coord.NewServer(entry.desk).Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { entry.client.Run(ctx) })
	entry.stop = func() {
		cancel()
		entry.desk.EndTerm()
		server.Stop()
		connections.Close()
		running.Wait()
	}
	return entry
}

// elect makes another entry the coordinator.
func (fleet *fleet) elect(index int) {
	fleet.mutex.Lock()
	former := fleet.leader
	fleet.term++
	fleet.leader = fleet.all[index]
	leader, all, term := fleet.leader, slices.Clone(fleet.all), fleet.term
	fleet.mutex.Unlock()
	if former != nil {
		former.desk.EndTerm()
	}
	leader.desk.BeginTerm(context.Background(), term)
	for _, each := range all {
		each.client.SetCoordinator(leader.identity)
	}
}

// engine starts a backend server that streams an event each 20 ms. A request that is
// deadly ends it after it has sent begin; another server starts a second later.
func (fleet *fleet) engine(begin string) {
	fleet.mutex.Lock()
	fleet.lastBorn++
	born := fleet.lastBorn
	fleet.mutex.Unlock()
	id := names.BackendServer(fmt.Sprintf("engine-%d", born))
	var backend *httptest.Server
	var once sync.Once
	backend = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		writer.Header().Set("Id", request.Header.Get("Id"))
		writer.Header().Set("Stamp", "s")
		if !fleet.deadly(request, string(body)) {
			time.Sleep(fleet.slowStart)
			trickle("id: 1\ndata: piece\n\n", 50)(writer, request)
			return
		}
		fleet.recordTime(&fleet.arrivals)
		if begin != "" {
			_, _ = fmt.Fprint(writer, begin)
			_ = http.NewResponseController(writer).Flush()
		}
		once.Do(func() {
			fleet.recordTime(&fleet.ends)
			go fleet.crash(id, backend, begin)
		})
		<-request.Context().Done()
	}))
	fleet.t.Cleanup(backend.Close)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.backends[id] = backend
	fleet.servers[id] = &pool.Server{ID: id, Service: "notes", Address: backend.Listener.Addr().String(), Domain: "a", Slots: 40, Incarnation: int64(born)}
	for _, each := range fleet.all {
		each.pool.Put(fleet.servers[id])
	}
}

// crashNow ends a server for a reason of its own and starts another one a second later.
func (fleet *fleet) crashNow(id names.BackendServer) {
	fleet.mutex.Lock()
	backend := fleet.backends[id]
	fleet.mutex.Unlock()
	fleet.crash(id, backend, "")
}

// crash ends a server and starts another one a second later.
func (fleet *fleet) crash(id names.BackendServer, backend *httptest.Server, begin string) {
	_ = backend.Config.Close()
	time.Sleep(time.Second)
	fleet.mutex.Lock()
	delete(fleet.servers, id)
	for _, each := range fleet.all {
		each.pool.Remove(id, time.Now())
	}
	fleet.mutex.Unlock()
	fleet.engine(begin)
}

func (fleet *fleet) recordTime(times *[]time.Time) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	*times = append(*times, time.Now())
}

// arrivalCount returns how many crashing requests have reached a server, and when the third
// server ended, or zero if it has not.
func (fleet *fleet) arrivalCount() (int, time.Time) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if len(fleet.ends) < 3 {
		return len(fleet.arrivals), time.Time{}
	}
	return len(fleet.arrivals), fleet.ends[2]
}

// TestCrashingRequestStopsAfterThirdServer repeatedly sends a request that crashes each
// server that runs it to all entries, among other callers' streams. It checks that the
// request is quarantined soon after the third crash, also while entries restart.
func TestCrashingRequestStopsAfterThirdServer(t *testing.T) {
	const (
		// contact is the time within which a request must be quarantined after the third
		// server ended or an entry restarted; allowed is how many times the request may still
		// reach a server after that.
		contact = 3 * time.Second
		allowed = 3
		watched = 6 * time.Second
	)
	cases := []struct {
		name  string
		begin string
		// disturb is called every two seconds, with the number of former calls.
		disturb func(fleet *fleet, times int)
	}{
		{name: "before its first event"},
		{name: "after its first event", begin: events(1, 1)},
		{name: "around changes of coordinators", begin: events(1, 1), disturb: func(fleet *fleet, times int) { fleet.elect(times % 3) }},
		{name: "while entries are killed in turn", begin: events(1, 1), disturb: func(fleet *fleet, times int) { fleet.restart(times % 3) }},
		{name: "while all entries are killed at once", disturb: func(fleet *fleet, times int) {
			for index := range 3 * (times % 2) {
				fleet.restart(index)
			}
		}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			draft := route("draft", policy.KindStream, "notes")
			draft.MaxAttempts = 1
			fleet := newEntries(t, 3, draft)
			for range 5 {
				fleet.engine(each.begin)
			}
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for index := range 18 {
				callers.Go(func() {
					for number := 0; ; number++ {
						select {
						case <-stop:
							return
						default:
							fleet.at(index).call(http.MethodPost, fmt.Sprintf("/draft/%d-%d", index, number), "calm", nil)
							time.Sleep(10 * time.Millisecond)
						}
					}
				})
			}
			late := 0
			for number := 0; ; number++ {
				time.Sleep(250 * time.Millisecond)
				front, sent := fleet.at(number), time.Now()
				before, _ := fleet.arrivalCount()
				front.call(http.MethodPost, "/draft/1", "deadly", nil)
				after, third := fleet.arrivalCount()
				if !third.IsZero() && sent.After(third.Add(contact)) && sent.After(front.startedAt.Add(contact)) {
					late += after - before
				}
				if !third.IsZero() && sent.After(third.Add(contact+watched)) {
					break
				}
				if each.disturb != nil && number%8 == 7 {
					each.disturb(fleet, number/8)
				}
			}
			g.Expect(late).To(BeNumerically("<=", allowed))
			close(stop)
			callers.Wait()
		})
	}
}
