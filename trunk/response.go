package trunk

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// Response is a response whose body is read from its connection. The caller must call
// Close.
type Response struct {
	Status int
	Header http.Header
	// EndsWithConnection reports whether the body has neither a length nor chunks, so
	// that its regular end cannot be distinguished from a lost connection.
	EndsWithConnection bool

	// hasLength reports whether the body ends after a declared number of bytes.
	hasLength  bool
	trunk      *Trunk
	connection *connection
	body       io.ReadCloser
	stopCancel func() bool
	// written receives the outcome of writing the request.
	written   <-chan error
	complete  bool
	once      sync.Once
	keepAlive bool
}

// Read reads the body. It returns a *[BrokenError] if the body is incomplete.
func (response *Response) Read(buffer []byte) (int, error) {
	count, err := response.body.Read(buffer)
	if err == nil {
		return count, nil
	}
	if errors.Is(err, io.EOF) {
		response.complete = true
		return count, io.EOF
	}
	return count, &BrokenError{Address: response.connection.address, Cause: err}
}

// CheckEnd returns a *[BrokenError] if body, which has been read to its end, seems to be
// cut and continued by another response: a status line is in it, and more bytes follow it.
func (response *Response) CheckEnd(body []byte) error {
	line := statusLine.Find(body)
	if !response.hasLength || line == nil {
		return nil
	}
	if received, _ := response.connection.peek(); !received {
		return nil
	}
	return &BrokenError{Address: response.connection.address, Cause: &SplicedError{StatusLine: string(line)}}
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
		response.trunk.putIdle(response.connection, response.trunk.config.Clock.Now())
	})
}

// requestSent reports whether the request has been written completely.
func (response *Response) requestSent() bool {
	select {
	case err := <-response.written:
		return err == nil
	default:
		return false
	}
}
