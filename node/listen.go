package node

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/accept"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/trunk"
)

// listenWithin opens a listener at address whose connections are bounded by the table of config.
func listenWithin(ctx context.Context, address string, config accept.ListenerConfig) (*accept.Listener, error) {
	config.KeepAlive = trunk.KeepAlive()
	listener, err := accept.Listen(ctx, address, config)
	if err != nil {
		return nil, merry.Prependf(err, "address %s", address)
	}
	return listener, nil
}

// serveHTTP serves HTTP in the background until the server is shut down.
func serveHTTP(server *http.Server, listener net.Listener, log logrus.FieldLogger) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.ListenerFailed.Log(log, logrus.Fields{"address": listener.Addr().String(), "cause": err.Error()})
		}
	}()
}

// serveRPC serves gRPC in the background until the server is stopped.
func serveRPC(server *grpc.Server, listener net.Listener, log logrus.FieldLogger) {
	go func() {
		if err := server.Serve(listener); err != nil {
			event.ListenerFailed.Log(log, logrus.Fields{"address": listener.Addr().String(), "cause": err.Error()})
		}
	}()
}
