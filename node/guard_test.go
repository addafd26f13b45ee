package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/wire"
)

// faultyCoordination is a service whose calls panic or return nothing.
type faultyCoordination struct {
	wire.UnimplementedCoordinationServer
}

func (faultyCoordination) Borrow(context.Context, *wire.CoordBorrowRequest) (*wire.CoordBorrowReply, error) {
	panic("a fault")
}

func (faultyCoordination) LoadAdapter(context.Context, *wire.CoordAdapterRequest) (*wire.CoordAdapterReply, error) {
	return nil, nil
}

func (faultyCoordination) Permit(context.Context, *wire.CoordPermitRequest) (*wire.CoordPermitReply, error) {
	return &wire.CoordPermitReply{}, nil
}

// faultyAgent is a service whose streams panic.
type faultyAgent struct{ wire.UnimplementedAgentServer }

func (faultyAgent) Serve(*wire.ServeRequest, grpc.ServerStreamingServer[wire.ServeReply]) error {
	panic("a fault")
}

// TestCallsThatPanicOrReturnNothingFail checks that they neither end the process nor reach
// the caller as an empty reply.
func TestCallsThatPanicOrReturnNothingFail(t *testing.T) {
	g := NewWithT(t)
	log, logged := test.NewNullLogger()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := grpc.NewServer(guardOptions(log)...)
	wire.RegisterCoordinationServer(server, faultyCoordination{})
	wire.RegisterAgentServer(server, faultyAgent{})
	serveRPC(server, listener, log)
	defer server.Stop()
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	ctx := context.Background()
	client := wire.NewCoordinationClient(conn)

	_, err = client.LoadAdapter(ctx, &wire.CoordAdapterRequest{})
	g.Expect(status.Code(err)).To(Equal(codes.Internal), "no reply: %v", err)
	g.Expect(logged.AllEntries()).To(BeEmpty())
	_, err = client.Borrow(ctx, &wire.CoordBorrowRequest{})
	g.Expect(status.Code(err)).To(Equal(codes.Internal), "a panic: %v", err)
	g.Expect(logged.LastEntry().Message).To(Equal("handlerPanicked"))
	logged.Reset()
	stream, err := wire.NewAgentClient(conn).Serve(ctx, &wire.ServeRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = stream.Recv()
	g.Expect(status.Code(err)).To(Equal(codes.Internal), "a panic in a stream: %v", err)
	g.Expect(logged.LastEntry().Message).To(Equal("handlerPanicked"))
	_, err = client.Permit(ctx, &wire.CoordPermitRequest{})
	g.Expect(err).NotTo(HaveOccurred(), "an empty reply is one")
}

// TestReadinessIsStated checks that only a stated readiness reads as one.
func TestReadinessIsStated(t *testing.T) {
	for _, each := range []struct {
		name   string
		ready  func() bool
		status int
	}{
		{name: "ready", ready: func() bool { return true }, status: http.StatusOK},
		{name: "not ready", ready: func() bool { return false }, status: http.StatusServiceUnavailable},
		{name: "a fault", ready: func() bool { panic("a fault") }},
	} {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			log, logged := test.NewNullLogger()
			server := httptest.NewServer(guardHandler(newReadinessRouter(each.ready, metrics.NewRegistry()), log))
			defer server.Close()
			for _, method := range []string{http.MethodGet, http.MethodHead} {
				request, err := http.NewRequestWithContext(context.Background(), method, server.URL+platform.ReadinessPath, http.NoBody)
				g.Expect(err).NotTo(HaveOccurred())
				response, err := server.Client().Do(request)
				if each.status == 0 {
					g.Expect(errors.Is(err, io.EOF)).To(BeTrue(), "%v", err)
					g.Expect(logged.LastEntry().Message).To(Equal("handlerPanicked"))
					continue
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.Body.Close()).To(Succeed())
				g.Expect(response.StatusCode).To(Equal(each.status))
			}
		})
	}
}
