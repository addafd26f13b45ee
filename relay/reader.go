package relay

import (
	"errors"
	"io"
	"time"

	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/trunk"
)

// answerReader reads a server's answer and reports the server's signs of life. It
// reports a break where it is read, as some ways on from there do not return.
type answerReader struct {
	*trunk.Response
	passage *passage
	server  *pool.Server
	// sent is when the request was sent.
	sent time.Time
	// last is when bytes last came.
	last time.Time
	// over fails once the request has ended by its deadline or its caller.
	over func() error
}

// Read implements [io.Reader].
func (answerReader *answerReader) Read(buffer []byte) (int, error) {
	count, err := answerReader.Response.Read(buffer)
	if count > 0 {
		answerReader.last = answerReader.passage.now()
		answerReader.passage.relay.config.Pool.RecordBytes(answerReader.server.ID, answerReader.sent, answerReader.last)
	}
	var brokenError *trunk.BrokenError
	broke := errors.As(err, &brokenError) || (errors.Is(err, io.EOF) && answerReader.EndsWithConnection)
	switch {
	case !broke:
	case answerReader.over() == nil:
		answerReader.passage.suspect(answerReader.server)
	default:
		answerReader.passage.suspectSilent(answerReader.server, answerReader.last)
	}
	return count, err
}
