package relay

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/trunk"
)

// responseReader reads a server's response and reports to the pool that the server is
// alive. It reports a broken response from Read, as some callers panic on the error and
// don't return to the attempt.
type responseReader struct {
	*trunk.Response
	// callerHeader is what is forwarded of the header.
	callerHeader http.Header
	exchange     *exchange
	server       *pool.Server
	// sentAt is when sending the request began.
	sentAt time.Time
	// lastReadAt is when bytes last arrived.
	lastReadAt time.Time
	// requestErr returns an error once the request's deadline has passed or its caller has
	// disconnected.
	requestErr func() error
}

// Read implements [io.Reader].
func (responseReader *responseReader) Read(buffer []byte) (int, error) {
	count, err := responseReader.readBytes(buffer)
	responseReader.recordEnd(err)
	return count, err
}

// readBytes reads without judging the end of the response, so that another goroutine than the
// request's may call it.
func (responseReader *responseReader) readBytes(buffer []byte) (int, error) {
	count, err := responseReader.Response.Read(buffer)
	if count > 0 {
		responseReader.lastReadAt = responseReader.exchange.now()
		responseReader.exchange.relay.config.Pool.RecordBytes(responseReader.server.ID, responseReader.sentAt, responseReader.lastReadAt)
	}
	return count, err
}

// recordEnd records the error with which reading ended, if it says something about the server.
func (responseReader *responseReader) recordEnd(err error) {
	if err == nil {
		return
	}
	var brokenError *trunk.BrokenError
	ended := errors.Is(err, io.EOF) && responseReader.EndsWithConnection
	switch {
	case !ended && !errors.As(err, &brokenError):
	case responseReader.requestErr() == nil && ended && responseReader.Status < http.StatusMultipleChoices:
		responseReader.exchange.suspectEnd(responseReader.server)
	case responseReader.requestErr() == nil:
		responseReader.exchange.suspectBroken(responseReader.server)
	default:
		responseReader.exchange.suspectSilent(responseReader.server, responseReader.lastReadAt)
	}
}
