package trunk

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// Response is an answer whose body is read from the connection. Close has to
// be called.
type Response struct {
	Status int
	Header http.Header
	// EndsWithConnection tells that the body has neither a length nor chunks, so that its
	// end cannot be told from a break.
	EndsWithConnection bool

	trunk   *Trunk
	line    *line
	body    io.ReadCloser
	release func() bool
	// written receives the outcome of writing the request.
	written <-chan error
	whole   bool
	once    sync.Once
	keep    bool
}

// Read reads the body. It fails with a *[BrokenError] where the body is not
// whole.
func (response *Response) Read(buffer []byte) (int, error) {
	count, err := response.body.Read(buffer)
	if err == nil {
		return count, nil
	}
	if errors.Is(err, io.EOF) {
		response.whole = true
		return count, io.EOF
	}
	return count, &BrokenError{Address: response.line.address, Cause: err}
}

// Close gives the connection back, or closes it where the body was not read to
// its end or the connection cannot carry another request.
func (response *Response) Close() {
	response.once.Do(func() {
		calm := response.release()
		if !calm || !response.whole || !response.keep || response.line.reader.Buffered() > 0 || !response.sent() {
			response.line.conn.Close()
			return
		}
		response.trunk.park(response.line)
	})
}

// sent tells whether the whole request has been written.
func (response *Response) sent() bool {
	select {
	case err := <-response.written:
		return err == nil
	default:
		return false
	}
}
