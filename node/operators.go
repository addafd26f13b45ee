package node

import (
	"context"

	"github.com/gorilla/mux"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/accept"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/setup"
)

// peerMessageBytes is the maximum size of a message between the system's own
// processes.
const peerMessageBytes = 8 << 20

func newHealth() *health { return &health{} }

// newPeerSecurity loads the certificates for connections between the system's own
// processes.
func newPeerSecurity(lifecycle fx.Lifecycle, process *setup.Process, clock *clock.Service, log logrus.FieldLogger) (security, error) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StopHook(cancel))
	return newSecurity(ctx, process.PeerFiles, clock, log)
}

func peerDialOptions(security security) []grpc.DialOption {
	return []grpc.DialOption{
		security.dialOption(),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(peerMessageBytes), grpc.MaxCallSendMsgSize(peerMessageBytes)),
	}
}

func peerServerOptions(security security) []grpc.ServerOption {
	return []grpc.ServerOption{
		security.serverOption(),
		grpc.MaxRecvMsgSize(peerMessageBytes),
		grpc.MaxSendMsgSize(peerMessageBytes),
	}
}

// newRouter returns the operators' routes of this process.
func newRouter(health *health, registry metrics.Registry) *mux.Router {
	return newOperatorRouter(health, registry)
}

// serveOperators opens the operators' listener. It is opened first and closed
// last, so that a process can be observed while it starts and stops.
func serveOperators(lifecycle fx.Lifecycle, process *setup.Process, table *accept.Table, router *mux.Router, clock *clock.Service, log logrus.FieldLogger) {
	ctx, cancel := context.WithCancel(context.Background())
	server := newOperatorServer(router, log)
	lifecycle.Append(fx.Hook{
		OnStart: func(startCtx context.Context) error {
			security, err := newSecurity(ctx, process.OperatorFiles, clock, log)
			if err != nil {
				return err
			}
			_, listener, err := listenSecurely(startCtx, process.OperatorListen, accept.ListenerConfig{Table: table}, security.serverTLS())
			if err != nil {
				return err
			}
			serveHTTP(server, listener, log)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return server.Close()
		},
	})
}
