package entry

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/wire"
)

// TestSlowReaderIsCut streams to a caller who sends a request and never reads.
// The write timeout has to end the stream; without it the test hangs.
func TestSlowReaderIsCut(t *testing.T) {
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		stopwatch := newStopwatch(clock.NewService(clock.ServiceConfig{}))
		stream := newStreamWriter(writer, textFormat{}, &completion{modelName: "m"}, stopwatch, 50*time.Millisecond)
		piece := &wire.Chunk{Text: strings.Repeat("x", 64<<10)}
		for {
			if err := stream.chunk(piece); err != nil {
				ended <- err
				return
			}
		}
	}))
	defer server.Close()
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if _, err := connection.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err == nil {
		t.Error("the stream ended without an error")
	}
}
