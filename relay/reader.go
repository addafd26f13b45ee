package relay

import (
	"time"

	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/trunk"
)

// answerReader reads a server's answer and reports the server's signs of life.
type answerReader struct {
	*trunk.Response
	passage *passage
	server  *pool.Server
	// sent is when the request was sent.
	sent time.Time
}

// Read implements [io.Reader].
func (answerReader *answerReader) Read(buffer []byte) (int, error) {
	count, err := answerReader.Response.Read(buffer)
	if count > 0 {
		answerReader.passage.relay.config.Pool.Heard(answerReader.server.ID, answerReader.sent, answerReader.passage.now())
	}
	return count, err
}
