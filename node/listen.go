package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/accept"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/trunk"
)

// bounds limits the connections of a listener; zero means no limit.
type bounds struct {
	connections int
	perAddress  int
}

// listen opens a listener at address. The bounds also count connections whose TLS
// handshake has not finished.
func listen(ctx context.Context, address string, bounds bounds, config *tls.Config) (net.Listener, error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prependf(err, "address %s", address)
	}
	listener = limitPerAddress(listener, bounds.perAddress)
	if bounds.connections > 0 {
		listener = netutil.LimitListener(listener, bounds.connections)
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return listener, nil
}

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
