package coord_test

import (
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/store"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

const term = 7

// acceptingEngine accepts every order, once frozen, if it is set, is closed.
type acceptingEngine struct {
	frozen chan struct{}
	// mutex guards accepted.
	mutex    sync.Mutex
	accepted int64
}

// Order implements [copies.EngineClient].
func (acceptingEngine *acceptingEngine) Order(context.Context, copies.OrderRequest) (copies.Outcome, error) {
	if acceptingEngine.frozen != nil {
		<-acceptingEngine.frozen
	}
	acceptingEngine.mutex.Lock()
	defer acceptingEngine.mutex.Unlock()
	acceptingEngine.accepted++
	return copies.OutcomeAccepted, nil
}

// Report implements [copies.EngineClient].
func (acceptingEngine *acceptingEngine) Report(context.Context, string, names.BackendServer) (copies.EngineReport, error) {
	acceptingEngine.mutex.Lock()
	defer acceptingEngine.mutex.Unlock()
	return copies.EngineReport{Accepted: acceptingEngine.accepted, Models: []names.Model{"m"}}, nil
}

// lease simulates the coordinator's lease. Once it is lost, only the unconfirmed term
// is left.
type lease struct {
	// mutex guards lost.
	mutex sync.Mutex
	lost  bool
}

func (lease *lease) lose() {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.lost = true
}

func (lease *lease) term() int64 {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	if lease.lost {
		return 0
	}
	return term
}

// emptyShareStore stores nothing.
type emptyShareStore struct{}

// LastRecord implements [coord.ShareStore].
func (emptyShareStore) LastRecord() share.Record { return share.Record{} }

// StoreShares implements [coord.ShareStore].
func (emptyShareStore) StoreShares(context.Context, share.Record) error { return nil }

// crashStore collects the records of suspicions; the first attempt to store one fails.
type crashStore struct {
	// mutex guards all below.
	mutex   sync.Mutex
	failed  bool
	records []crash.Record
}

// StoreCrashes implements [coord.CrashStore].
func (crashStore *crashStore) StoreCrashes(_ context.Context, record crash.Record) error {
	crashStore.mutex.Lock()
	defer crashStore.mutex.Unlock()
	if !crashStore.failed {
		crashStore.failed = true
		return errors.New("no answer")
	}
	crashStore.records = append(crashStore.records, record)
	return nil
}

func (crashStore *crashStore) all() []crash.Record {
	crashStore.mutex.Lock()
	defer crashStore.mutex.Unlock()
	return crashStore.records
}

// emptyMirror is a mirror without keys.
type emptyMirror struct{}

// Revision implements [coord.Mirror].
func (emptyMirror) Revision() store.Revision { return 1 }

// ExpectRevision implements [coord.Mirror].
func (emptyMirror) ExpectRevision(store.Revision) {}

// Confirm implements [coord.Mirror].
func (emptyMirror) Confirm(store.Revision) {}

// Since implements [coord.Mirror].
func (emptyMirror) Since(store.Revision) ([]store.Entry, store.Revision, bool, bool) {
	return nil, 1, false, false
}

// Apply implements [coord.Mirror].
func (emptyMirror) Apply([]store.Entry, store.Revision, bool) {}

// Detach implements [coord.Mirror].
func (emptyMirror) Detach() {}

// ClearConfirmation implements [coord.Mirror].
func (emptyMirror) ClearConfirmation() {}

// newCoordinator returns a coordinator in its term, with one engine that holds the
// model "m".
func newCoordinator(t *testing.T, lease *lease) *coord.Coordinator {
	t.Helper()
	return newCoordinatorWith(t, lease, &crashStore{})
}

func newCoordinatorWith(t *testing.T, lease *lease, crashStore *crashStore) *coord.Coordinator {
	t.Helper()
	return newCoordinatorOf(t, lease, crashStore, &acceptingEngine{})
}

func newCoordinatorOf(t *testing.T, lease *lease, crashStore *crashStore, engine copies.EngineClient) *coord.Coordinator {
	t.Helper()
	return newCoordinatorFor(t, lease, crashStore, engine, emptyMirror{})
}

// newCoordinatorOver returns a coordinator in its term with a copy of the platform's keys.
func newCoordinatorOver(t *testing.T, mirror coord.Mirror) *coord.Coordinator {
	t.Helper()
	return newCoordinatorFor(t, &lease{}, &crashStore{}, &acceptingEngine{}, mirror)
}

func newCoordinatorFor(t *testing.T, lease *lease, crashStore *crashStore, engine copies.EngineClient, mirror coord.Mirror) *coord.Coordinator {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	snapshot := policy.NewSnapshot(policy.SnapshotConfig{Version: 1, Services: []*policy.Service{{Name: "notes", Engine: &policy.Engine{
		Slots: 8, WeightsMB: 100, AdapterSlots: 4, LoadsPerSecond: 2,
		Models: map[names.Model]policy.Model{"m": {Name: "m", WeightsMB: 50, LoadTime: time.Second, Adapters: 9}},
	}}}})
	server := &pool.Server{ID: "engine-1", Service: "notes", Address: "10.0.0.1:80", Slots: 8, Models: []names.Model{"m"}, Incarnation: 1}
	coordinator := coord.NewCoordinator(coord.CoordinatorConfig{
		Engine: engine, Clock: clock.NewService(clock.ServiceConfig{}), Log: log, Instance: "edge-1",
		Policy: func() *policy.Snapshot { return snapshot }, Servers: func(time.Time) []*pool.Server { return []*pool.Server{server} },
		Term: lease.term, UnconfirmedTerm: func() int64 { return term }, Fenced: true, ShareStore: emptyShareStore{}, CrashStore: crashStore, Mirror: mirror,
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

// report sends an empty report of each instance to the coordinator.
func report(g *WithT, coordinator *coord.Coordinator, instances ...names.Instance) {
	for _, instance := range instances {
		_, err := coordinator.Exchange(coord.Report{Instance: instance})
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// TestOrdersWithoutALease checks that a coordinator whose lease has expired because the
// platform's service does not answer sends orders only while a majority of entries
// reports to it.
func TestOrdersWithoutALease(t *testing.T) {
	cases := []struct {
		name    string
		reports []names.Instance
		ordered bool
	}{
		{name: "most entries still follow it", reports: []names.Instance{"edge-1", "edge-2", "edge-3"}, ordered: true},
		{name: "it hears only itself, and is not most of those that it has known", reports: []names.Instance{"edge-1"}},
		{name: "half is not most", reports: []names.Instance{"edge-1", "edge-2"}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			lease := &lease{}
			coordinator := newCoordinator(t, lease)
			report(g, coordinator, "edge-1", "edge-2", "edge-3", "edge-4")
			load := func(adapter names.Adapter) func() error {
				return func() error {
					return coordinator.LoadAdapter(context.Background(), "engine-1", pool.Adapter{Model: "m", Name: adapter})
				}
			}
			g.Eventually(load("a1"), 5*time.Second).Should(Succeed(), "with its lease it gives orders")
			lease.lose()
			time.Sleep(800 * time.Millisecond)
			report(g, coordinator, each.reports...)
			if each.ordered {
				g.Expect(load("a2")()).To(Succeed())
				return
			}
			var orderError *copies.OrderError
			g.Expect(errors.As(load("a2")(), &orderError)).To(BeTrue())
		})
	}
}

// TestLoadAdapterEndsWithItsContext guards against requests at the coordinator's own entry
// that wait beyond their time for an engine that does not answer.
func TestLoadAdapterEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	engine := &acceptingEngine{frozen: make(chan struct{})}
	coordinator := newCoordinatorOf(t, &lease{}, &crashStore{}, engine)
	defer close(engine.frozen)
	load := func(adapter names.Adapter) error {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		return coordinator.LoadAdapter(ctx, "engine-1", pool.Adapter{Model: "m", Name: adapter})
	}
	g.Eventually(func() error { return load("a1") }, 5*time.Second).Should(MatchError(context.DeadlineExceeded), "the order is in flight")
	g.Expect(load("a2")).To(MatchError(context.DeadlineExceeded), "the order of another request is in flight")
}

// TestEntriesAreToldWhatIsNew checks that an entry is sent all holdings at first, then
// only those that have changed, and all again by another coordinator.
func TestEntriesAreToldWhatIsNew(t *testing.T) {
	g := NewWithT(t)
	coordinator := newCoordinator(t, &lease{})
	exchange := func(known coord.Version) coord.Reply {
		reply, err := coordinator.Exchange(coord.Report{Instance: "edge-1", Holdings: known})
		g.Expect(err).NotTo(HaveOccurred())
		return reply
	}
	load := func() error {
		return coordinator.LoadAdapter(context.Background(), "engine-1", pool.Adapter{Model: "m", Name: "a1"})
	}
	g.Eventually(load, 5*time.Second).Should(Succeed())
	var first coord.Reply
	g.Eventually(func() []pool.Holding {
		first = exchange(coord.Version{})
		return first.Holdings
	}).Should(HaveLen(1))
	g.Expect(first.Holdings[0].Adapters).To(ConsistOf(pool.Adapter{Model: "m", Name: "a1"}))
	known := coord.Version{Term: first.Term, Number: first.HoldingsVersion}
	g.Expect(exchange(known).Holdings).To(BeEmpty(), "nothing is new")
	g.Expect(exchange(coord.Version{Term: term - 1, Number: known.Number}).Holdings).To(HaveLen(1), "the entry followed another coordinator")
	g.Expect(coordinator.LoadAdapter(context.Background(), "engine-1", pool.Adapter{Model: "m", Name: "a2"})).To(Succeed())
	g.Eventually(func() []pool.Holding { return exchange(known).Holdings }).Should(HaveLen(1), "also again, where the reply was lost")
	g.Eventually(func() []pool.Holding { return exchange(known).Holdings }).Should(HaveLen(1))
}

// TestDeparturesReachAllEntries checks that a departure that one entry reports is sent
// to the others.
func TestDeparturesReachAllEntries(t *testing.T) {
	g := NewWithT(t)
	coordinator := newCoordinator(t, &lease{})
	left := pool.Departure{Server: "engine-1", Incarnation: 1}
	_, err := coordinator.Exchange(coord.Report{Instance: "edge-1", Departures: []pool.Departure{left}})
	g.Expect(err).NotTo(HaveOccurred())
	reply, err := coordinator.Exchange(coord.Report{Instance: "edge-2"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Departures).To(ConsistOf(left))
}
