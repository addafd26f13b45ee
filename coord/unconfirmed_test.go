package coord_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/conns"
	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/share"
)

// Guards against unconfirmed suspicions that other entries don't get, count at another time or
// as confirmed ones, and against one that counts although another entry hears from the server.
func TestOthersGetUnconfirmedSuspicions(t *testing.T) {
	g := NewWithT(t)
	identity, _ := (&gate{}).start(t, newCoordinator(t, &lease{}))
	connections := conns.NewPool(conns.PoolConfig{Options: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}})
	snapshot := policy.NewSnapshot(policy.SnapshotConfig{Version: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		connections.Close()
		running.Wait()
	})
	timers := clock.NewService(clock.ServiceConfig{})
	join := func(instance names.Instance) (*crash.Tracker, *pool.Pool, func() []string) {
		tracker, servers := crash.NewTracker(), pool.New(pool.Config{RegistryPeriod: time.Second, Random: func() float64 { return 0 }})
		log, logged := test.NewNullLogger()
		client := coord.NewClient(coord.ClientConfig{
			Instance: instance, Self: string(instance), Pool: servers, Shares: share.NewLimiter(), Crashes: tracker, Coordinator: newCoordinator(t, &lease{}),
			Policy: func() *policy.Snapshot { return snapshot }, Mirror: emptyMirror{}, Connections: connections, Clock: timers, Log: log, Metrics: metrics.NewRegistry(),
		})
		client.SetCoordinator(identity)
		running.Go(func() { client.Run(ctx) })
		return tracker, servers, func() []string {
			var messages []string
			for _, entry := range logged.AllEntries() {
				messages = append(messages, entry.Message)
			}
			return messages
		}
	}
	witness, _, _ := join("edge-2")
	other, servers, logged := join("edge-3")
	servers.Put(&pool.Server{ID: "i-3", Incarnation: 7, Address: "127.0.0.1:1"})
	unconfirmed := func(at, countsAt time.Time, servers ...string) {
		for _, server := range servers {
			witness.AddOwn(at, crash.Suspicion{Fingerprint: crashing, Server: server, At: at, CountsAt: countsAt})
		}
	}
	count := func(expected int) func() bool {
		return func() bool {
			_, count := other.Unconfirmed(time.Now())
			return count == expected
		}
	}
	now := time.Now()
	unconfirmed(now, now.Add(crash.MaxUnconfirmed), "i-1/1", "i-2/1")
	g.Eventually(count(2), 5*time.Second).Should(BeTrue())
	g.Expect(other.Suspicions(time.Now())).To(BeEmpty())
	now = time.Now()
	servers.RecordBytes("i-3", now.Add(time.Second), now.Add(time.Second))
	unconfirmed(now, now.Add(2*time.Second), "i-3/7")
	g.Eventually(logged, 10*time.Second).Should(ContainElement("suspicionRefuted"))
	withdrawn := func() bool {
		_, count := witness.Unconfirmed(time.Now())
		return count == 2
	}
	g.Eventually(withdrawn, 5*time.Second).Should(BeTrue(), "the withdrawal reaches the entry that reported the suspicion")
	g.Expect(witness.Suspicions(time.Now())).To(BeEmpty())
	g.Eventually(logged, 20*time.Second).Should(ContainElement("suspicionCounted"))
	g.Expect(other.Suspicions(time.Now())).NotTo(BeEmpty())
}
