package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/accept"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/setup"
)

// prunePeriod is the interval at which connections to instances that are gone are
// closed.
const prunePeriod = 10 * time.Second

// newPeerServer returns the gRPC server for the system's own processes. Services
// have to be registered before it starts to serve.
func newPeerServer(security security, table *accept.Table, budget *memory.Budget, clock *clock.Service, log logrus.FieldLogger) *grpc.Server {
	options := append(peerServerOptions(security), guardOptions(log)...)
	return grpc.NewServer(append(options, boundPeers(table, budget, clock)...)...)
}

// servePeers opens the listener for the system's own processes.
func servePeers(lifecycle fx.Lifecycle, process *setup.Process, table *accept.Table, server *grpc.Server, log logrus.FieldLogger) {
	serveRPCAt(lifecycle, process.PeerListen, table, server, log)
}

// serveRPCAt serves server at address from startup to shutdown.
func serveRPCAt(lifecycle fx.Lifecycle, address string, table *accept.Table, server *grpc.Server, log logrus.FieldLogger) {
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			listener, err := listenWithin(ctx, address, accept.ListenerConfig{Table: table, Opaque: true})
			if err != nil {
				return err
			}
			serveRPC(server, listener, log)
			return nil
		},
		OnStop: func(context.Context) error {
			server.Stop()
			return nil
		},
	})
}
