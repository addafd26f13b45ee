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

// unusedParts stand for what crashes do not touch: engines' orders, the record of
// shares and the copy of the platform's keys.
type unusedParts struct{}

func (unusedParts) Order(context.Context, copies.Sending) (copies.Verdict, error) {
	return copies.VerdictTaken, nil
}

func (unusedParts) Report(context.Context, string, names.BackendServer) (copies.Report, error) {
	return copies.Report{}, nil
}
func (unusedParts) Recorded() share.Record                   { return share.Record{} }
func (unusedParts) Keep(context.Context, share.Record) error { return nil }
func (unusedParts) Revision() store.Revision                 { return 1 }
func (unusedParts) ExpectRevision(store.Revision)                    {}
func (unusedParts) Confirm(store.Revision)                   {}
func (unusedParts) Since(store.Revision) ([]store.Entry, store.Revision, bool, bool) {
	return nil, 1, false, false
}
func (unusedParts) Apply([]store.Entry, store.Revision, bool) {}
func (unusedParts) Detach()                                  {}
func (unusedParts) ClearConfirmation()                                   {}

// entry is an entry that takes part in coordination.
type entry struct {
	*world
	desk   *coord.Desk
	client *coord.Client
	value  string
	stop   func()
	// started is when the entry was last started anew.
	started time.Time
}

// entries are a few that coordinate, in front of the same backend servers.
type entries struct {
	t      *testing.T
	routes []*policy.Route
	// mutex guards all below.
	mutex   sync.Mutex
	all     []*entry
	servers map[names.BackendServer]*pool.Server
	// record is what the coordinator wrote to the platform's service.
	record   crash.Record
	term     int64
	leader   *entry
	born     int
	arrivals []time.Time
	ends     []time.Time
}

func newEntries(t *testing.T, count int, routes ...*policy.Route) *entries {
	t.Helper()
	fleet := &entries{t: t, routes: routes, servers: map[names.BackendServer]*pool.Server{}}
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

// KeepCrashes implements [coord.CrashKeeper].
func (fleet *entries) KeepCrashes(_ context.Context, record crash.Record) error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.record = record
	return nil
}

func (fleet *entries) at(index int) *entry {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.all[index%len(fleet.all)]
}

// restart kills an entry, elects another one if it coordinated, and starts it anew.
func (fleet *entries) restart(index int) {
	former := fleet.at(index)
	former.stop()
	former.front.CloseClientConnections()
	started := fleet.start(index)
	started.started = time.Now()
	fleet.mutex.Lock()
	fleet.all[index] = started
	led := fleet.leader == former
	leader := fleet.leader
	fleet.mutex.Unlock()
	if led {
		fleet.elect((index + 1) % len(fleet.all))
		return
	}
	started.client.Follow(leader.value)
}

// start starts an entry that knows the registry and what the platform's service
// keeps.
func (fleet *entries) start(index int) *entry {
	world := newWorld(fleet.t, fleet.routes...)
	made := fleet.entry(names.Instance(fmt.Sprintf("edge-%d", index)), world)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, server := range fleet.servers {
		world.pool.Put(server)
	}
	world.crashes.Learn(fleet.record.Sightings()...)
	return made
}

func (fleet *entries) entry(instance names.Instance, world *world) *entry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fleet.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	times := clock.NewService(clock.ServiceConfig{})
	made := &entry{world: world, value: coord.Identity{Instance: string(instance), Address: listener.Addr().String(), Process: "1"}.Encode()}
	term := func() int64 {
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		if fleet.leader != made {
			return 0
		}
		return fleet.term
	}
	made.desk = coord.NewDesk(coord.DeskConfig{
		Engine: unusedParts{}, Clock: times, Log: log, Instance: instance, Policy: world.relay.Policy, Servers: world.pool.Servers,
		Term: term, Doubtful: term, Shares: unusedParts{}, Crashes: fleet, Mirror: unusedParts{}, LoadWindow: time.Second,
		Head: func(context.Context) (store.Revision, error) { return 0, errors.New("no answer") },
	})
	connections := conns.NewPool(conns.PoolConfig{Options: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}})
	made.client = coord.NewClient(coord.ClientConfig{
		Instance: instance, Self: made.value, Desk: made.desk, Pool: world.pool, Shares: share.NewLimiter(), Crashes: world.crashes,
		Policy: world.relay.Policy, Mirror: unusedParts{}, Connections: connections, Clock: times, Log: log,
	})
	world.relay.Use(made.client)
	server := grpc.NewServer()
	coord.NewServer(made.desk).Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { made.client.Run(ctx) })
	made.stop = func() {
		cancel()
		made.desk.Ended()
		server.Stop()
		connections.Close()
		running.Wait()
	}
	return made
}

// elect has another entry coordinate.
func (fleet *entries) elect(index int) {
	fleet.mutex.Lock()
	former := fleet.leader
	fleet.term++
	fleet.leader = fleet.all[index]
	leader, all, term := fleet.leader, slices.Clone(fleet.all), fleet.term
	fleet.mutex.Unlock()
	if former != nil {
		former.desk.Ended()
	}
	leader.desk.Elected(context.Background(), term)
	for _, each := range all {
		each.client.Follow(leader.value)
	}
}

// engine starts a backend server that streams an event each 20 ms. A request with
// the deadly body ends it, after begin; another one starts a second later.
func (fleet *entries) engine(begin string) {
	fleet.mutex.Lock()
	fleet.born++
	born := fleet.born
	fleet.mutex.Unlock()
	id := names.BackendServer(fmt.Sprintf("engine-%d", born))
	var backend *httptest.Server
	var once sync.Once
	backend = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		writer.Header().Set("Id", request.Header.Get("Id"))
		if string(body) != "deadly" {
			trickle("id: 1\ndata: piece\n\n", 50)(writer, request)
			return
		}
		fleet.note(&fleet.arrivals)
		if begin != "" {
			_, _ = fmt.Fprint(writer, begin)
			_ = http.NewResponseController(writer).Flush()
		}
		once.Do(func() {
			fleet.note(&fleet.ends)
			go fleet.crash(id, backend, begin)
		})
		<-request.Context().Done()
	}))
	fleet.t.Cleanup(backend.Close)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.servers[id] = &pool.Server{ID: id, Service: "notes", Address: backend.Listener.Addr().String(), Domain: "a", Slots: 40, Born: int64(born)}
	for _, each := range fleet.all {
		each.pool.Put(fleet.servers[id])
	}
}

// crash ends a server and starts another one a second later.
func (fleet *entries) crash(id names.BackendServer, backend *httptest.Server, begin string) {
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

func (fleet *entries) note(times *[]time.Time) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	*times = append(*times, time.Now())
}

// arrived counts the deadly requests that have reached a server, and returns when
// the third server ended; zero before that.
func (fleet *entries) arrived() (int, time.Time) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if len(fleet.ends) < 3 {
		return len(fleet.arrivals), time.Time{}
	}
	return len(fleet.arrivals), fleet.ends[2]
}

// TestCrashingRequestStopsAfterThirdServer sends a request that ends each server
// which runs it again and again, to all entries, among streams of others.
func TestCrashingRequestStopsAfterThirdServer(t *testing.T) {
	const (
		// contact is how long the platform allows from the third end on, and from an entry's
		// start on; allowed is how many times the request may reach a server later.
		contact = 3 * time.Second
		allowed = 3
		watched = 6 * time.Second
	)
	cases := []struct {
		name  string
		begin string
		// disturb is called every two seconds, with how often it was before.
		disturb func(fleet *entries, times int)
	}{
		{name: "before its first event"},
		{name: "after its first event", begin: events(1, 1)},
		{name: "around changes of coordinators", begin: events(1, 1), disturb: func(fleet *entries, times int) { fleet.elect(times % 3) }},
		{name: "while entries are killed in turn", begin: events(1, 1), disturb: func(fleet *entries, times int) { fleet.restart(times % 3) }},
		{name: "while all entries are killed at once", disturb: func(fleet *entries, times int) {
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
				before, _ := fleet.arrived()
				front.call(http.MethodPost, "/draft/1", "deadly", nil)
				after, third := fleet.arrived()
				if !third.IsZero() && sent.After(third.Add(contact)) && sent.After(front.started.Add(contact)) {
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
