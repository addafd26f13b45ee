package coord_test

import (
	"context"
	"errors"
	"io"
	"net"
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
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/share"
)

// TestDemandForAnUnreadableModelDoesNotStopReports guards against a caller whose model
// name cuts its entry off from the coordinator.
func TestDemandForAnUnreadableModelDoesNotStopReports(t *testing.T) {
	g := NewWithT(t)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := grpc.NewServer()
	coord.NewServer(newCoordinator(t, &lease{})).Register(server)
	connections := conns.NewPool(conns.PoolConfig{Options: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	snapshot := policy.NewSnapshot(policy.SnapshotConfig{Version: 1})
	client := coord.NewClient(coord.ClientConfig{
		Instance: "edge-2", Self: "edge-2", Pool: pool.New(pool.Config{}), Shares: share.NewLimiter(), Crashes: crash.NewTracker(),
		Coordinator: newCoordinator(t, &lease{}),
		Policy:      func() *policy.Snapshot { return snapshot }, Mirror: emptyMirror{}, Connections: connections,
		Clock: clock.NewService(clock.ServiceConfig{}), Log: log, Metrics: metrics.NewRegistry(),
	})
	client.SetCoordinator(coord.Identity{Instance: "edge-1", Address: listener.Addr().String(), Process: "1"}.Encode())
	client.AddDemand("notes", "m\xff", 1)
	client.AddWaiting("notes", "\xc3\x28", 1)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { client.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		server.Stop()
		connections.Close()
		running.Wait()
	})
	g.Eventually(client.Reachable, 5*time.Second).Should(BeTrue())
}

// TestCallersThatLeaveDoNotMakeTheCoordinatorUnresponsive guards against callers that end
// their requests while these wait for a permit, and so keep others from asking for one.
func TestCallersThatLeaveDoNotMakeTheCoordinatorUnresponsive(t *testing.T) {
	g := NewWithT(t)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := grpc.NewServer()
	coord.NewServer(newCoordinator(t, &lease{})).Register(server)
	connections := conns.NewPool(conns.PoolConfig{Options: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := coord.NewClient(coord.ClientConfig{
		Instance: "edge-2", Self: "edge-2", Pool: pool.New(pool.Config{}), Shares: share.NewLimiter(), Crashes: crash.NewTracker(),
		Coordinator: newCoordinator(t, &lease{}), Mirror: emptyMirror{}, Connections: connections,
		Clock: clock.NewService(clock.ServiceConfig{}), Log: log, Metrics: metrics.NewRegistry(),
	})
	client.SetCoordinator(coord.Identity{Instance: "edge-1", Address: listener.Addr().String(), Process: "1"}.Encode())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		server.Stop()
		connections.Close()
		running.Wait()
	})
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err = client.Permit(gone, permit.Application{})
	g.Expect(err).To(HaveOccurred())
	_, _, err = client.Permit(context.Background(), permit.Application{})
	var unanswered *coord.NoAnswerError
	g.Expect(errors.As(err, &unanswered)).To(BeFalse(), "the coordinator has not failed to answer: %v", err)
}
