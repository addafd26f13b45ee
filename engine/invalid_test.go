package engine_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/engine"
)

// serveRaw returns the URL of a server that runs script on each connection.
func serveRaw(t *testing.T, script func(conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	return "http://" + serveOn(t, func(listener net.Listener) net.Listener { return listener }, script)
}

// serveOn runs script on each connection of a listener that wrap returns, and returns its address.
func serveOn(t *testing.T, wrap func(net.Listener) net.Listener, script func(conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	wrapped := wrap(listener)
	go func() {
		for {
			conn, err := wrapped.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// newService returns a client of a server that runs script on each connection.
func newService(t *testing.T, secure bool, script func(conn net.Conn, reader *bufio.Reader)) *engine.HTTPPlainService {
	t.Helper()
	config := engine.HTTPPlainServiceConfig{}
	if secure {
		issuer := httptest.NewTLSServer(nil)
		defer issuer.Close()
		pool := x509.NewCertPool()
		pool.AddCert(issuer.Certificate())
		config.TLS = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
		config.URL = "https://" + serveOn(t, func(listener net.Listener) net.Listener {
			return tls.NewListener(listener, &tls.Config{Certificates: issuer.TLS.Certificates, MinVersion: tls.VersionTLS12})
		}, script)
	} else {
		config.URL = serveRaw(t, script)
	}
	plain := engine.NewHTTPPlainService(config)
	t.Cleanup(plain.Close)
	return plain
}

// sends returns a script that answers a request with text.
func sends(text string) func(conn net.Conn, reader *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, text)
	}
}

// Guards against answers that are no HTTP responses and that callers got as such.
func TestInvalidResponsesAreNoResponses(t *testing.T) {
	cases := []struct{ name, bytes string }{
		{"a status of 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok"},
		{"a status of 007", "HTTP/1.1 007 Trouble\r\nContent-Length: 2\r\n\r\nok"},
		{"a status of 600", "HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\nok"},
		{"a switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: odd\r\n\r\nok"},
		{"a blank in a field name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok"},
		{"a blank before a colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more"},
		{"a control byte in a field name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok"},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"a tab in a field name", "HTTP/1.1 200 OK\r\nX\tOdd: 1\r\nContent-Length: 2\r\n\r\nok"},
		{"a field without a name", "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nok"},
		{"a length behind a blank", "HTTP/1.1 200 OK\r\nX-Note: a\r\n Content-Length: 40\r\n\r\na part of the body"},
		{"a coding behind a tab", "HTTP/1.1 200 OK\r\nX-Note: a\r\n\tTransfer-Encoding: chunked\r\n\r\n28\r\na part"},
		{"a length behind a blank, of a failure", "HTTP/1.1 500 Trouble\r\nX-Note: a\r\n Content-Length: 40\r\n\r\na part of the body"},
		{"a length behind a blank, after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Note: a\r\n Content-Length: 40\r\n\r\na part"},
		{"a length behind a blank, beyond the read buffer", "HTTP/1.1 200 OK\r\nX-Note: " + strings.Repeat("a", 8<<10) + "\r\n Content-Length: 40\r\n\r\na part"},
	}
	for _, each := range cases {
		for _, secure := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, over TLS %v", each.name, secure), func(t *testing.T) {
				g := NewWithT(t)
				plain := newService(t, secure, sends(each.bytes))
				response, err := plain.Call(context.Background(), engine.PlainCall{Request: "r-1", Account: "crew", Method: http.MethodGet, Path: "/x", Header: http.Header{}})
				var sendError *engine.SendError
				g.Expect(errors.As(err, &sendError) && sendError.MaybeSent).To(BeTrue(), "%+v %v", response, err)
			})
		}
	}
}

// Guards against sound responses that count as broken: a value may be folded, and a body may look
// like a head.
func TestFoldedValuesAreResponses(t *testing.T) {
	const body = "X-Note: a\r\n Content-Length: 40\r\n\r\n"
	cases := []struct{ name, head, note string }{
		{"a folded value", "X-Note: a\r\n b\r\n", "a b"},
		{"a value that quotes a length", "X-Note: a Content-Length: 40\r\n", "a Content-Length: 40"},
		{"no folded value", "X-Note: a\r\n", "a"},
	}
	for _, each := range cases {
		for _, framing := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), "Connection: close\r\n\r\n"} {
			for _, secure := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, over TLS %v", each.name, strings.TrimSpace(framing), secure), func(t *testing.T) {
					g := NewWithT(t)
					plain := newService(t, secure, sends("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"+each.head+framing+body))
					response, err := plain.Call(context.Background(), engine.PlainCall{Request: "r-1", Account: "crew", Method: http.MethodGet, Path: "/x", Header: http.Header{}})
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(string(response.Body)).To(Equal(body))
					g.Expect(response.Header.Get("X-Note")).To(Equal(each.note))
				})
			}
		}
	}
}
