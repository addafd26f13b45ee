package relay

import (
	"errors"
	"io"
	"time"

	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/trunk"
)

// responseReader reads a server's answer and reports the server's signs of life. It
// reports a break where it is read, as some ways on from there do not return.
type responseReader struct {
	*trunk.Response
	passage *exchange
	server  *pool.Server
	// sentAt is when the request was sent.
	sentAt time.Time
	// lastReadAt is when bytes last came.
	lastReadAt time.Time
	// requestErr fails once the request has ended by its deadline or its caller.
	requestErr func() error
}

// Read implements [io.Reader].
func (responseReader *responseReader) Read(buffer []byte) (int, error) {
	count, err := responseReader.Response.Read(buffer)
	if count > 0 {
		responseReader.lastReadAt = responseReader.passage.now()
		responseReader.passage.relay.config.Pool.Heard(responseReader.server.ID, responseReader.sentAt, responseReader.lastReadAt)
	}
	var brokenError *trunk.BrokenError
	broke := errors.As(err, &brokenError) || (errors.Is(err, io.EOF) && responseReader.EndsWithConnection)
	switch {
	case !broke:
	case responseReader.requestErr() == nil:
		responseReader.passage.suspectBroken(responseReader.server)
	default:
		responseReader.passage.suspectSilent(responseReader.server, responseReader.lastReadAt)
	}
	return count, err
}
