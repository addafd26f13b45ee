package engine

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// attempt follows one HTTP request to tell whether the server can have seen it.
type attempt struct {
	// mu guards the fields below.
	mu sync.Mutex
	// conn is the connection in use; nil before there is one.
	conn *proofConn
	// opaque tells that a connection was used that gives no proof.
	opaque bool
}

// trace returns a context that reports the connections a request uses.
func (attempt *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: attempt.gotConn})
}

func (attempt *attempt) gotConn(info httptrace.GotConnInfo) {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	conn := info.Conn
	if secure, isSecure := conn.(*tls.Conn); isSecure {
		conn = secure.NetConn()
	}
	known, isKnown := conn.(*proofConn)
	if !isKnown {
		attempt.opaque = true
		return
	}
	if attempt.conn != nil && !attempt.conn.sealUnwritten() {
		attempt.opaque = true
	}
	known.begin()
	attempt.conn = known
}

// sent tells whether a byte can have reached the server, now or later. Call it
// only after the round trip has failed.
func (attempt *attempt) sent() bool {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	if attempt.opaque {
		return true
	}
	return attempt.conn != nil && !attempt.conn.sealUnwritten()
}

// onceBody is a request body that the transport cannot send a second time, so
// that it never repeats a request by itself.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// do sends request once. Its error is a *[SendError].
func do(client *http.Client, request *http.Request) (*http.Response, error) {
	var attempt attempt
	response, err := client.Do(request.WithContext(attempt.trace(request.Context())))
	if err != nil {
		return nil, &SendError{MaybeSent: attempt.sent(), Cause: err}
	}
	return response, nil
}
