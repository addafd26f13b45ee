package reply

import (
	"context"
	"net"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// ConnContext is for [http.Server.ConnContext]. It makes the connection of a response to
// HTTP/1.0 end with a reset if it is closed before [Writer.Finish], also by the server when it
// stops or when a write has failed: [Writer.Abort] comes too late then.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// setLinger sets what closing the connection of a request of HTTP/1.0 does: 0 resets it
// and -1 sends what has been written first.
func (writer *Writer) setLinger(seconds int) {
	if writer.request.ProtoAtLeast(1, 1) {
		return
	}
	if tcpConn, ok := writer.request.Context().Value(connKey{}).(*net.TCPConn); ok {
		// An error means that the connection has ended already.
		_ = tcpConn.SetLinger(seconds)
	}
}
