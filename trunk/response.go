package trunk

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Response is a response whose body is read from its connection. The caller must call
// Close.
type Response struct {
	Status int
	Header http.Header
	// EndsWithConnection reports whether the body has neither a length nor chunks, so
	// that its regular end cannot be distinguished from a lost connection.
	EndsWithConnection bool

	// Length is the declared number of bytes of the body, or -1 if none is declared. The body
	// of a response to HEAD has none of them.
	Length int64

	// enclosed is the beginning of a status line in the body, if there is one, and
	// lastBytes are the bytes read last, in which one may have begun.
	enclosed   string
	lastBytes  []byte
	trunk      *Trunk
	connection *connection
	body       io.ReadCloser
	stopCancel func() bool
	// written receives the outcome of writing the request, which writeOutcome keeps once
	// isWritten is set.
	written      <-chan error
	isWritten    bool
	writeOutcome error

	complete  bool
	once      sync.Once
	keepAlive bool
}

// Read reads the body. It returns a *[BrokenError] if the body is incomplete, or if it
// seems to be cut and continued by another response: it has a length, a status line is in
// it, and more bytes follow it.
func (response *Response) Read(buffer []byte) (int, error) {
	count, err := response.body.Read(buffer)
	if response.Length > 0 {
		response.findStatusLine(buffer[:count])
	}
	switch {
	case err == nil:
		return count, nil
	case response.EndsWithConnection && errors.Is(err, syscall.ECONNRESET) && !response.requestSent():
		return count, &BrokenError{Address: response.connection.address, Cause: &UnreadRequestError{Status: response.Status}}
	case !errors.Is(err, io.EOF):
		return count, &BrokenError{Address: response.connection.address, Cause: err}
	case response.enclosed != "" && response.connection.hasBytes():
		return count, &BrokenError{Address: response.connection.address, Cause: &SplicedError{StatusLine: response.enclosed}}
	case response.EndsWithConnection && !response.endIsRegular():
		return count, &BrokenError{Address: response.connection.address, Cause: &UnreadRequestError{Status: response.Status}}
	}
	response.complete = true
	return count, io.EOF
}

// findStatusLine looks for a status line in the part of the body that ends with data.
func (response *Response) findStatusLine(data []byte) {
	if response.enclosed != "" {
		return
	}
	// A status line that began in the bytes read before ends within the next ones.
	response.lastBytes = append(response.lastBytes, data[:min(len(data), statusLineBytes-1)]...)
	for _, text := range [][]byte{response.lastBytes, data} {
		if response.enclosed == "" && bytes.Contains(text, []byte(protocolName)) {
			response.enclosed = string(statusLine.Find(text))
		}
	}
	if len(data) >= statusLineBytes {
		response.lastBytes = append(response.lastBytes[:0], data[len(data)-statusLineBytes+1:]...)
		return
	}
	response.lastBytes = slices.Delete(response.lastBytes, 0, max(0, len(response.lastBytes)-statusLineBytes+1))
}

// Close returns the connection to the pool. It closes the connection instead if the body
// was not read to its end, or if the connection cannot carry another request.
func (response *Response) Close() {
	response.once.Do(func() {
		open := response.stopCancel()
		if !open || !response.complete || !response.keepAlive || response.connection.reader.Buffered() > 0 || !response.requestSent() {
			response.connection.conn.Close()
			return
		}
		response.connection.idleSince = response.trunk.config.Clock.Now()
		response.trunk.putIdle(response.connection)
	})
}

// Interrupt ends a Read that is under way in another goroutine, by closing the connection.
func (response *Response) Interrupt() { response.connection.conn.Close() }

// requestSent reports whether the request has been written completely.
func (response *Response) requestSent() bool {
	select {
	case response.writeOutcome = <-response.written:
		response.isWritten = true
	default:
	}
	return response.isWritten && response.writeOutcome == nil
}

// writeOutcomeDelay bounds how long the end of a response is held until it is known whether the
// request was written. Its writer has usually returned long before.
const writeOutcomeDelay = 50 * time.Millisecond

// endIsRegular reports whether the end of the connection is the regular end of a body without a
// length. If a server resets the connection before it has read the request, the write that fails
// takes the error from the socket, and the read sees a regular end after a part of the body. A
// failure may also end before the request is written, as a server may reject a request that it
// does not read, but not with a reset.
func (response *Response) endIsRegular() bool {
	if response.Status >= http.StatusMultipleChoices && HasPeer(response.connection.conn) {
		return true
	}
	if response.requestSent() || response.isWritten {
		return response.writeOutcome == nil
	}
	select {
	case response.writeOutcome = <-response.written:
		response.isWritten = true
	case <-response.trunk.config.Clock.After(writeOutcomeDelay):
	}
	return response.isWritten && response.writeOutcome == nil
}
