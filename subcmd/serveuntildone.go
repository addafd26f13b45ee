package subcmd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// standinHeaderTimeout bounds how long a client of a stand-in may take to send
// the header of a request.
const standinHeaderTimeout = 5 * time.Second

// serveUntilDone serves handler on address until ctx is done, then closes all
// connections and returns nil.
func serveUntilDone(ctx context.Context, address string, handler http.Handler) error {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
