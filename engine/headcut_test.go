package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/engine"
)

// The server closes its connection after each byte of the header.
func TestHeaderCutAnywhereIsNoResponse(t *testing.T) {
	headers := []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	}
	for _, header := range headers {
		g := NewWithT(t)
		var cut atomic.Int64
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, header[:cut.Load()])
				}
				conn.Close()
			}
		}()
		url := "http://" + listener.Addr().String()
		plain := engine.NewHTTPPlainService(engine.HTTPPlainServiceConfig{URL: url})
		defer plain.Close()
		model := engine.NewHTTPEngine(engine.HTTPEngineConfig{URL: url})
		defer model.Close()
		for cut.Store(0); cut.Load() < int64(len(header)); cut.Add(1) {
			_, err := plain.Call(context.Background(), engine.PlainCall{Request: "r-1", Account: "crew", Method: http.MethodPost, Path: "/x", Header: http.Header{}})
			var sendError *engine.SendError
			g.Expect(errors.As(err, &sendError) && sendError.MaybeSent).To(BeTrue(), "cut after %q: %v", header[:cut.Load()], err)
			_, err = collect(model, generation("r-2", "prompt"))
			g.Expect(err).To(HaveOccurred(), "cut after %q", header[:cut.Load()])
		}
	}
}
