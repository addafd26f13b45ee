package reply

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext makes the connections of a server known to its writers. It is the value of
// [http.Server.ConnContext].
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// defaultLinger is the linger time in seconds of a connection that is closed in the usual
// way.
const defaultLinger = -1

// setLinger sets what happens to the request's connection when it is closed or its process
// ends: with zero seconds it is reset.
func setLinger(request *http.Request, seconds int) {
	conn, ok := request.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	// An error means that the connection has ended already.
	_ = conn.SetLinger(seconds)
}
