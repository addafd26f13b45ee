package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/engine"
)

// Guards against a part of a body without a length that is taken for the whole, as the server
// has reset the connection while the call was being written.
func TestResetBeforeTheCallIsReadIsNoEnd(t *testing.T) {
	// About one call in twenty sees the end of the connection.
	const calls = 200
	g := NewWithT(t)
	url := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = reader.Peek(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
		_, _ = conn.Write(bytes.Repeat([]byte("x"), 1<<20))
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	plain := engine.NewHTTPPlainService(engine.HTTPPlainServiceConfig{URL: url})
	defer plain.Close()
	whole := 0
	for range calls {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := plain.Call(ctx, engine.PlainCall{Request: "r-1", Account: "crew", Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: bytes.Repeat([]byte("y"), 16<<20)})
		if err == nil {
			whole++
		}
		cancel()
	}
	g.Expect(whole).To(BeZero(), "calls whose part of the body was taken for the whole")
}

// Guards against sound responses that end with their connection and count as broken.
func TestEndOfTheConnectionEndsTheBody(t *testing.T) {
	g := NewWithT(t)
	url := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
		if request, err := http.ReadRequest(reader); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it")
	})
	plain := engine.NewHTTPPlainService(engine.HTTPPlainServiceConfig{URL: url})
	defer plain.Close()
	for _, size := range []int{0, 1000, 1 << 20, 4 << 20} {
		response, err := plain.Call(context.Background(), engine.PlainCall{Request: "r-1", Account: "crew", Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: make([]byte, size)})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(response.Body)).To(Equal("all of it"))
	}
}
