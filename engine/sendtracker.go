package engine

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/basilkeel/basilkeel/trunk"
)

// sendTracker observes the connections of one HTTP request to determine whether
// any of the request may have been sent to the server.
type sendTracker struct {
	// mu guards the fields below.
	mu sync.Mutex
	// conn is the connection last used; nil before there is one.
	conn *trackedConn
	// untracked reports whether the request may have been sent on an earlier
	// connection, or used one that is not a trackedConn.
	untracked bool
}

// trace returns a context that makes the HTTP client report the connections
// that a request uses.
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

// maybeSent reports whether any byte of the request has been written, or could
// still be. It must only be called after the round trip has failed.
func (sendTracker *sendTracker) maybeSent() bool {
	sendTracker.mu.Lock()
	defer sendTracker.mu.Unlock()
	if sendTracker.untracked {
		return true
	}
	return sendTracker.conn != nil && !sendTracker.conn.sealUnwritten()
}

// singleUseBody is a request body that the transport cannot rewind, so that it
// never retries a request by itself.
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
	if err := trunk.CheckHead(response); err != nil {
		response.Body.Close()
		return nil, &SendError{MaybeSent: true, Cause: err}
	}
	return response, nil
}
