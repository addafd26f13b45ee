package engine

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// sendTracker follows one HTTP request to tell whether the server can have seen it.
type sendTracker struct {
	// mu guards the fields below.
	mu sync.Mutex
	// conn is the connection in use; nil before there is one.
	conn *trackedConn
	// untracked tells that a connection was used that gives no proof.
	untracked bool
}

// trace returns a context that reports the connections a request uses.
func (sendTracker *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sendTracker.recordConn})
}

func (sendTracker *sendTracker) recordConn(info httptrace.GotConnInfo) {
	sendTracker.mu.Lock()
	defer sendTracker.mu.Unlock()
	conn := info.Conn
	if tlsConn, isTLS := conn.(*tls.Conn); isTLS {
		conn = tlsConn.NetConn()
	}
	trackedConn, isTracked := conn.(*trackedConn)
	if !isTracked {
		sendTracker.untracked = true
		return
	}
	if sendTracker.conn != nil && !sendTracker.conn.sealUnwritten() {
		sendTracker.untracked = true
	}
	trackedConn.beginRequest()
	sendTracker.conn = trackedConn
}

// maybeSent tells whether a byte can have reached the server, now or later. Call it
// only after the round trip has failed.
func (sendTracker *sendTracker) maybeSent() bool {
	sendTracker.mu.Lock()
	defer sendTracker.mu.Unlock()
	if sendTracker.untracked {
		return true
	}
	return sendTracker.conn != nil && !sendTracker.conn.sealUnwritten()
}

// singleUseBody is a request body that the transport cannot send a second time, so
// that it never repeats a request by itself.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// do sends request once. Its error is a *[SendError].
func do(client *http.Client, request *http.Request) (*http.Response, error) {
	var sendTracker sendTracker
	response, err := client.Do(request.WithContext(sendTracker.trace(request.Context())))
	if err != nil {
		return nil, &SendError{MaybeSent: sendTracker.maybeSent(), Cause: err}
	}
	return response, nil
}
