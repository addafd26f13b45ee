package engine_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

// Guards against answers that are no HTTP responses and that callers got as such.
func TestInvalidResponsesAreNoResponses(t *testing.T) {
	cases := []struct{ name, bytes string }{
		{"a status of 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok"},
		{"a status of 007", "HTTP/1.1 007 Trouble\r\nContent-Length: 2\r\n\r\nok"},
		{"a status of 600", "HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\nok"},
		{"a blank in a field name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok"},
		{"a blank before a colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more"},
		{"a control byte in a field name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok"},
		{"a tab in a field name", "HTTP/1.1 200 OK\r\nX\tOdd: 1\r\nContent-Length: 2\r\n\r\nok"},
		{"a field without a name", "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nok"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			url := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = http.ReadRequest(reader)
				_, _ = io.WriteString(conn, each.bytes)
			})
			plain := engine.NewHTTPPlainService(engine.HTTPPlainServiceConfig{URL: url})
			defer plain.Close()
			response, err := plain.Call(context.Background(), engine.PlainCall{Request: "r-1", Account: "crew", Method: http.MethodGet, Path: "/x", Header: http.Header{}})
			var sendError *engine.SendError
			g.Expect(errors.As(err, &sendError) && sendError.MaybeSent).To(BeTrue(), "%+v %v", response, err)
		})
	}
}
