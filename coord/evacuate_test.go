package coord_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/sched"
	"github.com/basilkeel/basilkeel/store"
)

// TestCoordinatorLeavesOutEvacuatedEngines guards against reservations and orders at engines
// that no entry may use, and against engines that stay unused when the evacuation ends.
func TestCoordinatorLeavesOutEvacuatedEngines(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	stream := func(name string, objective time.Duration) *policy.Route {
		return &policy.Route{
			Name: name, Host: "h", Prefix: "/" + name, Kind: policy.KindStream, Objective: objective, GapObjective: 250 * time.Millisecond,
			Targets: []policy.Target{{Service: "notes", Weight: 1}}, MaxAttempts: 1,
		}
	}
	snapshot := policy.NewSnapshot(policy.SnapshotConfig{
		Version: 1, Routes: []*policy.Route{stream("now", 400*time.Millisecond), stream("later", 8*time.Second)},
		Services: []*policy.Service{{Name: "notes", Engine: &policy.Engine{
			Slots: 8, AdapterSlots: 4, Models: map[names.Model]policy.Model{"m": {Name: "m", Adapters: 9}},
		}}},
	})
	servers := []*pool.Server{
		{ID: "engine-1", Service: "notes", Address: "10.0.0.1:80", Domain: "a", Slots: 8, Models: []names.Model{"m"}, Incarnation: 1},
		{ID: "engine-2", Service: "notes", Address: "10.0.0.2:80", Domain: "b", Slots: 8, Models: []names.Model{"m"}, Incarnation: 1},
	}
	evacuated := &atomic.Value{}
	evacuated.Store(map[names.FailureDomain]bool{})
	coordinator := coord.NewCoordinator(coord.CoordinatorConfig{
		Engine: &acceptingEngine{}, Clock: clock.NewService(clock.ServiceConfig{}), Log: log, Instance: "edge-1", Cores: 100, Metrics: metrics.NewRegistry(),
		Policy: func() *policy.Snapshot { return snapshot }, Servers: func(time.Time) []*pool.Server { return servers },
		Evacuated: func(domain names.FailureDomain) bool { return evacuated.Load().(map[names.FailureDomain]bool)[domain] },
		Term:      func() int64 { return term }, UnconfirmedTerm: func() int64 { return term }, ShareStore: emptyShareStore{}, CrashStore: &crashStore{}, Mirror: emptyMirror{},
		LatestRevision: func(context.Context) (store.Revision, error) { return 0, errors.New("no answer") }, LoadWindow: 5 * time.Second,
	})
	coordinator.BeginTerm(context.Background(), term)
	t.Cleanup(coordinator.EndTerm)
	request := sched.Request{Instance: "edge-1", Domain: "a", Model: "m", PromptTokens: 100, Objective: 400 * time.Millisecond, Left: 5 * time.Second}
	candidates := func() []names.BackendServer {
		explained, err := coordinator.Explain("notes", request)
		g.Expect(err).NotTo(HaveOccurred())
		var ids []names.BackendServer
		for _, candidate := range explained.Candidates {
			ids = append(ids, candidate.Server)
		}
		return ids
	}
	load := func(adapter names.Adapter) func() error {
		return func() error {
			return coordinator.LoadAdapter(context.Background(), "engine-1", pool.Adapter{Model: "m", Name: adapter})
		}
	}
	g.Expect(candidates()).To(HaveLen(2))
	g.Eventually(load("a1"), 5*time.Second).Should(Succeed())
	evacuated.Store(map[names.FailureDomain]bool{"a": true})
	g.Expect(load("a2")()).NotTo(Succeed())
	g.Eventually(candidates).Should(Equal([]names.BackendServer{"engine-2"}))
	evacuated.Store(map[names.FailureDomain]bool{"a": true, "b": true})
	g.Eventually(candidates).Should(BeEmpty())
	decision, err := coordinator.Place("notes", request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decision).To(Equal(sched.NoServer{}))
	g.Expect(servers).To(HaveEach(Not(BeNil())), "the list of servers is not changed")
	evacuated.Store(map[names.FailureDomain]bool{})
	g.Eventually(candidates).Should(HaveLen(2))
	g.Expect(load("a2")()).To(Succeed())
}
