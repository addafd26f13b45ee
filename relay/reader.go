package relay

import (
	"errors"
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
	// over fails once the request has ended by its deadline or its caller.
	over func() error
}

// Read implements [io.Reader].
func (answerReader *answerReader) Read(buffer []byte) (int, error) {
	count, err := answerReader.Response.Read(buffer)
	if count > 0 {
		answerReader.passage.relay.config.Pool.Heard(answerReader.server.ID, answerReader.sent, answerReader.passage.now())
	}
	var brokenError *trunk.BrokenError
	if errors.As(err, &brokenError) && answerReader.over() == nil {
		answerReader.passage.suspect(answerReader.server)
	}
	return count, err
}
