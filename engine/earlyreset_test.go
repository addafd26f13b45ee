package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/engine"
)

// upload returns a call with a body of the given size.
func upload(size int) engine.PlainCall {
	return engine.PlainCall{Request: "r-1", Account: "crew", Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: make([]byte, size)}
}

// Guards against a part of a body without a length that is taken for the whole, as the server
// has reset the connection while the call was being written.
func TestResetBeforeTheCallIsReadIsNoEnd(t *testing.T) {
	// About one call in twenty sees the end of the connection.
	const calls = 200
	part := bytes.Repeat([]byte("x"), 1<<20)
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusInternalServerError} {
		for _, secure := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d, over TLS %v", status, secure), func(t *testing.T) {
				g := NewWithT(t)
				plain := newService(t, secure, func(conn net.Conn, reader *bufio.Reader) {
					_, _ = reader.Peek(1)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Early\r\nConnection: close\r\n\r\n", status)
					_, _ = conn.Write(part)
					if tlsConn, isTLS := conn.(*tls.Conn); isTLS {
						conn = tlsConn.NetConn()
					}
					_ = conn.(*net.TCPConn).SetLinger(0)
					conn.Close()
				})
				whole, call := 0, upload(16<<20)
				for range calls {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					_, err := plain.Call(ctx, call)
					if err == nil {
						whole++
					}
					cancel()
				}
				g.Expect(whole).To(BeZero(), "calls whose part of the body was taken for the whole")
			})
		}
	}
}

// Guards against rejections that count as broken although they end in the regular way, as the
// server does not read the call that it rejects.
func TestRejectionsOfUnreadCallsAreWhole(t *testing.T) {
	const body = "too large"
	cases := []struct{ name, sent string }{
		{"without a length", "HTTP/1.1 413 Too Large\r\nConnection: close\r\n\r\n" + body},
		{"with a length", "HTTP/1.1 413 Too Large\r\nContent-Length: 9\r\nConnection: close\r\n\r\n" + body},
		{"in chunks", "HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n9\r\n" + body + "\r\n0\r\n\r\n"},
	}
	for _, each := range cases {
		for _, secure := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, over TLS %v", each.name, secure), func(t *testing.T) {
				g := NewWithT(t)
				plain := newService(t, secure, func(conn net.Conn, reader *bufio.Reader) {
					_, _ = reader.Peek(1)
					_, _ = io.WriteString(conn, each.sent)
					_ = conn.(interface{ CloseWrite() error }).CloseWrite()
					time.Sleep(300 * time.Millisecond)
				})
				for _, size := range []int{1000, 200 << 10, 16 << 20} {
					response, err := plain.Call(context.Background(), upload(size))
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(response.Status).To(Equal(http.StatusRequestEntityTooLarge))
					g.Expect(string(response.Body)).To(Equal(body))
				}
			})
		}
	}
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
		response, err := plain.Call(context.Background(), upload(size))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(response.Body)).To(Equal("all of it"))
	}
}
