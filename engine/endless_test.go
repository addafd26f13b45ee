package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/engine"
)

// Guards against an agent that runs out of memory, as its server sends a head without end: many
// calls may get one at the same time.
func TestHeadsWithoutEndTakeLittleMemory(t *testing.T) {
	// acceptedBytes includes what the kernel holds on both sides.
	const acceptedBytes = 2 << 20
	cases := []struct{ name, begin, repeated string }{
		{"no line end", "", strings.Repeat("x", 4096)},
		{"a reason", "HTTP/1.1 200 ", strings.Repeat("x", 4096)},
		{"a field", "HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 4096)},
		{"fields", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Many: 1\r\n", 400)},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX-Long: " + strings.Repeat("x", 4096) + "\r\n\r\n"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			var accepted atomic.Int64
			ended := make(chan struct{})
			url := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
				defer close(ended)
				_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
				_, _ = http.ReadRequest(reader)
				_, err := io.WriteString(conn, each.begin)
				for err == nil {
					var count int
					count, err = io.WriteString(conn, each.repeated)
					accepted.Add(int64(count))
				}
			})
			plain := engine.NewHTTPPlainService(engine.HTTPPlainServiceConfig{URL: url})
			defer plain.Close()
			_, err := plain.Call(context.Background(), engine.PlainCall{Request: "r-1", Account: "crew", Method: http.MethodGet, Path: "/x", Header: http.Header{}})
			var sendError *engine.SendError
			g.Expect(errors.As(err, &sendError) && sendError.MaybeSent).To(BeTrue(), "%v", err)
			<-ended
			g.Expect(accepted.Load()).To(BeNumerically("<", acceptedBytes))
		})
	}
}
