package entry

import (
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/codec"
	"github.com/basilkeel/basilkeel/wire"
)

// responseCollector is a sink that buffers the response of a plain service
// until it is complete.
type responseCollector struct {
	limit     int64
	stopwatch *stopwatch
	status    int
	header    http.Header
	body      []byte
}

func (responseCollector *responseCollector) head(head *wire.Head) error {
	responseCollector.status = int(head.GetStatus())
	responseCollector.header = codec.DecodeHeaders(head.GetHeaders())
	responseCollector.body = nil
	responseCollector.stopwatch.recordPiece()
	return nil
}

func (responseCollector *responseCollector) chunk(chunk *wire.Chunk) error {
	if int64(len(responseCollector.body)+len(chunk.GetBody())) > responseCollector.limit {
		return merry.Errorf("the answer is larger than %d bytes", responseCollector.limit)
	}
	responseCollector.body = append(responseCollector.body, chunk.GetBody()...)
	return nil
}

func (responseCollector *responseCollector) response() *plainResponse {
	return &plainResponse{Status: responseCollector.status, Header: responseCollector.header, Body: responseCollector.body}
}
