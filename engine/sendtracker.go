package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/basilkeel/basilkeel/trunk"
)

// sendTracker observes the connections of one HTTP request to determine whether
// any of the request may have been sent to the server, and whether all of it was.
type sendTracker struct {
	// written is closed once writing the request has ended.
	written chan struct{}
	// mu guards the fields below.
	mu sync.Mutex
	// conn is the connection last used; nil before there is one.
	conn *trackedConn
	// writeEnded reports whether writing the request has ended, and writeErr with which error.
	writeEnded bool
	writeErr   error
	// untracked reports whether the request may have been sent on an earlier
	// connection, or used one that is not a trackedConn.
	untracked bool
}

// trace returns a context that makes the HTTP client report the connections
// that a request uses.
func (sendTracker *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: sendTracker.recordConn, WroteRequest: func(info httptrace.WroteRequestInfo) { sendTracker.recordWritten(info.Err) },
	})
}

// recordWritten records the outcome of writing the request.
func (sendTracker *sendTracker) recordWritten(err error) {
	sendTracker.mu.Lock()
	defer sendTracker.mu.Unlock()
	if !sendTracker.writeEnded {
		sendTracker.writeEnded, sendTracker.writeErr = true, err
		close(sendTracker.written)
	}
}

// wroteAll reports whether the request was written completely. It waits for that until
// canceled is closed; a server that has closed its connection soon ends the write.
func (sendTracker *sendTracker) wroteAll(canceled <-chan struct{}) bool {
	select {
	case <-sendTracker.written:
		sendTracker.mu.Lock()
		defer sendTracker.mu.Unlock()
		return sendTracker.writeErr == nil
	case <-canceled:
		return false
	}
}

// checkHead checks the head of the response.
func (sendTracker *sendTracker) checkHead(response *http.Response) error {
	if err := trunk.CheckHead(response); err != nil {
		return err
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return &trunk.StatusError{Status: response.StatusCode}
	}
	sendTracker.mu.Lock()
	defer sendTracker.mu.Unlock()
	if sendTracker.conn == nil {
		return nil
	}
	return trunk.CheckLines(sendTracker.conn.takeReceived())
}

// closedByServer reports whether the server has closed its side of the connection last used, and
// has not reset it.
func (sendTracker *sendTracker) closedByServer() bool {
	sendTracker.mu.Lock()
	defer sendTracker.mu.Unlock()
	return sendTracker.conn != nil && sendTracker.conn.closedByPeer.Load()
}

// endingBody is the body of a response that has neither a length nor chunks, so that it ends with
// its connection.
type endingBody struct {
	io.ReadCloser
	tracker  *sendTracker
	status   int
	canceled <-chan struct{}
}

// Read implements [io.Reader]. The end of the connection is the regular end of the body only
// if the request was written: if a server resets the connection before it has read the request,
// the write that fails takes the error from the socket, and the read sees a regular end. A failure
// may also end before that, as a server may reject a request that it does not read, but not with a
// reset.
func (endingBody endingBody) Read(buffer []byte) (int, error) {
	count, err := endingBody.ReadCloser.Read(buffer)
	rejected := endingBody.status >= http.StatusMultipleChoices && endingBody.tracker.closedByServer()
	if errors.Is(err, io.EOF) && !rejected && !endingBody.tracker.wroteAll(endingBody.canceled) {
		return count, io.ErrUnexpectedEOF
	}
	return count, err
}

func (sendTracker *sendTracker) recordConn(info httptrace.GotConnInfo) {
	sendTracker.mu.Lock()
	defer sendTracker.mu.Unlock()
	trackedConn, isTracked := info.Conn.(*trackedConn)
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
	tracker := &sendTracker{written: make(chan struct{})}
	response, err := client.Do(request.WithContext(tracker.trace(request.Context())))
	if err != nil {
		return nil, &SendError{MaybeSent: tracker.maybeSent(), Cause: err}
	}
	if err := tracker.checkHead(response); err != nil {
		response.Body.Close()
		return nil, &SendError{MaybeSent: true, Cause: err}
	}
	if trunk.EndsWithConnection(response) {
		response.Body = endingBody{ReadCloser: response.Body, tracker: tracker, status: response.StatusCode, canceled: request.Context().Done()}
	}
	return response, nil
}
