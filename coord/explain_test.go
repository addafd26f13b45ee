package coord_test

import (
	"context"
	"errors"
	"io"
	"net"
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
)

// TestExplainOverTheNetwork guards against explanations by another entry that lose the
// decision or parts of estimates, that reserve something, or that take measurements from
// the requests that follow.
func TestExplainOverTheNetwork(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	route := func(objective time.Duration) *policy.Route {
		return &policy.Route{
			Kind: policy.KindStream, Objective: objective, GapObjective: 250 * time.Millisecond, Targets: []policy.Target{{Service: "notes", Weight: 1}},
		}
	}
	snapshot := policy.NewSnapshot(policy.SnapshotConfig{
		Version: 1, Services: []*policy.Service{{Name: "notes", Engine: &policy.Engine{}}},
		Routes: []*policy.Route{route(400 * time.Millisecond), route(5 * time.Second)},
	})
	g.Expect(snapshot.Scheduling("notes")).NotTo(BeNil())
	near := &pool.Server{ID: "engine-1", Service: "notes", Address: "10.0.0.1:80", Domain: "a", Slots: 8, Models: []names.Model{"m"}, Incarnation: 1}
	far := &pool.Server{ID: "engine-2", Service: "notes", Address: "10.0.0.2:80", Domain: "b", Slots: 8, Models: []names.Model{"m"}, Incarnation: 1}
	timers := clock.NewService(clock.ServiceConfig{})
	coordinator := coord.NewCoordinator(coord.CoordinatorConfig{
		Engine: &acceptingEngine{}, Clock: timers, Log: log, Instance: "edge-1", Cores: 100, Metrics: metrics.NewRegistry(),
		Policy: func() *policy.Snapshot { return snapshot }, Servers: func(time.Time) []*pool.Server { return []*pool.Server{near, far} },
		Term: func() int64 { return term }, UnconfirmedTerm: func() int64 { return term }, ShareStore: emptyShareStore{}, CrashStore: &crashStore{}, Mirror: emptyMirror{},
		LatestRevision: func(context.Context) (store.Revision, error) { return 0, errors.New("no answer") }, LoadWindow: 5 * time.Second,
	})
	coordinator.BeginTerm(context.Background(), term)
	t.Cleanup(coordinator.EndTerm)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := grpc.NewServer()
	coord.NewServer(coordinator).Register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	connections := conns.NewPool(conns.PoolConfig{Options: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}})
	t.Cleanup(connections.Close)
	servers := pool.New(pool.Config{})
	client := coord.NewClient(coord.ClientConfig{
		Instance: "edge-2", Self: "edge-2", Pool: servers, Shares: share.NewLimiter(), Crashes: crash.NewTracker(), Coordinator: coordinator,
		Policy: func() *policy.Snapshot { return snapshot }, Mirror: emptyMirror{}, Connections: connections, Clock: timers, Log: log, Metrics: metrics.NewRegistry(),
	})
	client.SetCoordinator(coord.Identity{Instance: "edge-1", Address: listener.Addr().String(), Process: "1"}.Encode())

	request := sched.Request{
		Domain: "a", Model: "m", Adapter: "style", PromptTokens: 300, OutputTokens: 100, Objective: 400 * time.Millisecond, Left: 5 * time.Second,
		Failing: []names.BackendServer{"engine-1"},
	}
	servers.RecordSlowdown(near, 2, time.Now())
	var explained sched.Explanation
	g.Eventually(func() error {
		explained, err = client.Explain(context.Background(), "notes", request)
		return err
	}, 5*time.Second).Should(Succeed())
	own, err := coordinator.Explain("notes", request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(explained.Candidates).To(Equal(own.Candidates))
	g.Expect(explained.Candidates).To(HaveLen(2))
	g.Expect(explained.Candidates[1].Failing).To(BeTrue())
	for _, candidate := range explained.Candidates {
		g.Expect(candidate.Estimate.Load).To(BeZero(), "nothing is reserved")
	}
	g.Expect(servers.TakeSlowdowns()).To(HaveLen(1))
	decision, err := client.Place(context.Background(), "notes", request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decision).To(Equal(explained.Decision))
	g.Expect(decision).To(HaveField("Server", names.BackendServer("engine-2")))
}
