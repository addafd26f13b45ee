package coord_test

import (
	"context"
	"net"
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
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/wire"
)

// emptyCoordination answers reports with an empty reply.
type emptyCoordination struct {
	wire.UnimplementedCoordinationServer
}

func (emptyCoordination) Exchange(context.Context, *wire.CoordExchangeRequest) (*wire.CoordExchangeReply, error) {
	return &wire.CoordExchangeReply{}, nil
}

// TestEmptyReplyIsNoReplyOfCoordinator checks that a reply without a term, which would read
// as that no engine holds anything, counts as no reply.
func TestEmptyReplyIsNoReplyOfCoordinator(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := grpc.NewServer()
	wire.RegisterCoordinationServer(server, emptyCoordination{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	connections := conns.NewPool(conns.PoolConfig{Options: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}})
	defer connections.Close()
	log, logged := test.NewNullLogger()
	timers := clock.NewService(clock.ServiceConfig{})
	servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: func() float64 { return 0 }})
	snapshot := policy.NewSnapshot(policy.SnapshotConfig{Version: 1})
	client := coord.NewClient(coord.ClientConfig{
		Instance: "edge-2", Self: "edge-2", Coordinator: newCoordinator(t, &lease{}), Pool: servers, Shares: share.NewLimiter(), Crashes: crash.NewTracker(),
		Policy: func() *policy.Snapshot { return snapshot }, Mirror: emptyMirror{}, Connections: connections, Clock: timers, Log: log,
		Metrics: metrics.NewRegistry(),
	})
	client.SetCoordinator(coord.Identity{Instance: "edge-1", Address: listener.Addr().String(), Process: "1"}.Encode())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); client.Run(ctx) }()
	messages := func() []string {
		var found []string
		for _, entry := range logged.AllEntries() {
			found = append(found, entry.Message)
		}
		return found
	}
	g.Eventually(messages, 10*time.Second).Should(ContainElement("coordinatorLost"))
	g.Expect(client.Reachable()).To(BeFalse())
	cancel()
	<-ended
}
