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

// takingEngine takes every order.
type takingEngine struct {
	// mutex guards accepted.
	mutex    sync.Mutex
	accepted int64
}

// Order implements [copies.Engine].
func (takingEngine *takingEngine) Order(context.Context, copies.Sending) (copies.Verdict, error) {
	takingEngine.mutex.Lock()
	defer takingEngine.mutex.Unlock()
	takingEngine.accepted++
	return copies.VerdictTaken, nil
}

// Report implements [copies.Engine].
func (takingEngine *takingEngine) Report(context.Context, string, names.BackendServer) (copies.Report, error) {
	takingEngine.mutex.Lock()
	defer takingEngine.mutex.Unlock()
	return copies.Report{Accepted: takingEngine.accepted, Models: []names.Model{"m"}}, nil
}

// lease is what the desk is told of its term.
type lease struct {
	// mutex guards doubtful.
	mutex    sync.Mutex
	doubtful bool
}

func (lease *lease) lose() {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.doubtful = true
}

func (lease *lease) term() int64 {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	if lease.doubtful {
		return 0
	}
	return term
}

// noShares keeps no record.
type noShares struct{}

// Recorded implements [coord.ShareKeeper].
func (noShares) Recorded() share.Record { return share.Record{} }

// Keep implements [coord.ShareKeeper].
func (noShares) Keep(context.Context, share.Record) error { return nil }

// crashRecords holds the records of suspects that were written, of which it refuses the
// first.
type crashRecords struct {
	// mutex guards all below.
	mutex   sync.Mutex
	refused bool
	records []crash.Record
}

// KeepCrashes implements [coord.CrashKeeper].
func (crashRecords *crashRecords) KeepCrashes(_ context.Context, record crash.Record) error {
	crashRecords.mutex.Lock()
	defer crashRecords.mutex.Unlock()
	if !crashRecords.refused {
		crashRecords.refused = true
		return errors.New("no answer")
	}
	crashRecords.records = append(crashRecords.records, record)
	return nil
}

func (crashRecords *crashRecords) all() []crash.Record {
	crashRecords.mutex.Lock()
	defer crashRecords.mutex.Unlock()
	return crashRecords.records
}

// blindMirror knows nothing.
type blindMirror struct{}

// Revision implements [coord.Mirror].
func (blindMirror) Revision() store.Revision { return 1 }

// ExpectRevision implements [coord.Mirror].
func (blindMirror) ExpectRevision(store.Revision) {}

// Confirm implements [coord.Mirror].
func (blindMirror) Confirm(store.Revision) {}

// Since implements [coord.Mirror].
func (blindMirror) Since(store.Revision) ([]store.Entry, store.Revision, bool, bool) {
	return nil, 1, false, false
}

// Apply implements [coord.Mirror].
func (blindMirror) Apply([]store.Entry, store.Revision, bool) {}

// Detach implements [coord.Mirror].
func (blindMirror) Detach() {}

// ClearConfirmation implements [coord.Mirror].
func (blindMirror) ClearConfirmation() {}

// newDesk returns a desk that coordinates one engine with the model "m".
func newDesk(t *testing.T, lease *lease) *coord.Desk {
	t.Helper()
	return newDeskWith(t, lease, &crashRecords{})
}

func newDeskWith(t *testing.T, lease *lease, crashRecords *crashRecords) *coord.Desk {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	snapshot := policy.NewSnapshot(policy.SnapshotConfig{Version: 1, Services: []*policy.Service{{Name: "notes", Engine: &policy.Engine{
		Slots: 8, WeightsMB: 100, AdapterSlots: 4, LoadsPerSecond: 2,
		Models: map[names.Model]policy.Model{"m": {Name: "m", WeightsMB: 50, Load: time.Second, Adapters: 9}},
	}}}})
	server := &pool.Server{ID: "engine-1", Service: "notes", Address: "10.0.0.1:80", Slots: 8, Models: []names.Model{"m"}, Born: 1}
	desk := coord.NewDesk(coord.DeskConfig{
		Engine: &takingEngine{}, Clock: clock.NewService(clock.ServiceConfig{}), Log: log, Instance: "edge-1",
		Policy: func() *policy.Snapshot { return snapshot }, Servers: func(time.Time) []*pool.Server { return []*pool.Server{server} },
		Term: lease.term, Doubtful: func() int64 { return term }, Fenced: true, Shares: noShares{}, Crashes: crashRecords, Mirror: blindMirror{},
		Head: func(context.Context) (store.Revision, error) { return 0, errors.New("no answer") }, LoadWindow: 5 * time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		desk.Ended()
		cancel()
	})
	desk.Elected(ctx, term)
	return desk
}

// report has entries report to the desk.
func report(g *WithT, desk *coord.Desk, instances ...names.Instance) {
	for _, instance := range instances {
		_, err := desk.Exchange(coord.Report{Instance: instance})
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// TestOrdersWithoutALease plays a coordinator whose lease ran out as the platform's
// service does not answer.
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
			desk := newDesk(t, lease)
			report(g, desk, "edge-1", "edge-2", "edge-3", "edge-4")
			load := func(adapter names.Adapter) func() error {
				return func() error {
					return desk.Adapter(context.Background(), "engine-1", pool.Adapter{Model: "m", Name: adapter})
				}
			}
			g.Eventually(load("a1"), 5*time.Second).Should(Succeed(), "with its lease it gives orders")
			lease.lose()
			time.Sleep(800 * time.Millisecond)
			report(g, desk, each.reports...)
			if each.ordered {
				g.Expect(load("a2")()).To(Succeed())
				return
			}
			var orderError *copies.OrderError
			g.Expect(errors.As(load("a2")(), &orderError)).To(BeTrue())
		})
	}
}

// TestEntriesAreToldWhatIsNew counts what an entry is told of engines: all at first,
// then only what has changed, and all again from another coordinator.
func TestEntriesAreToldWhatIsNew(t *testing.T) {
	g := NewWithT(t)
	desk := newDesk(t, &lease{})
	exchange := func(known coord.Version) coord.Reply {
		reply, err := desk.Exchange(coord.Report{Instance: "edge-1", Holdings: known})
		g.Expect(err).NotTo(HaveOccurred())
		return reply
	}
	load := func() error {
		return desk.Adapter(context.Background(), "engine-1", pool.Adapter{Model: "m", Name: "a1"})
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
	g.Expect(desk.Adapter(context.Background(), "engine-1", pool.Adapter{Model: "m", Name: "a2"})).To(Succeed())
	g.Eventually(func() []pool.Holding { return exchange(known).Holdings }).Should(HaveLen(1), "also again, where the reply was lost")
	g.Eventually(func() []pool.Holding { return exchange(known).Holdings }).Should(HaveLen(1))
}

// TestDeparturesReachAllEntries tells the desk that a server leaves.
func TestDeparturesReachAllEntries(t *testing.T) {
	g := NewWithT(t)
	desk := newDesk(t, &lease{})
	left := pool.Departure{Server: "engine-1", Born: 1}
	_, err := desk.Exchange(coord.Report{Instance: "edge-1", Departures: []pool.Departure{left}})
	g.Expect(err).NotTo(HaveOccurred())
	reply, err := desk.Exchange(coord.Report{Instance: "edge-2"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Departures).To(ConsistOf(left))
}
