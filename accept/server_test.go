package accept

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/reply"
)

// sendTo sends a request to a server of callers' requests and returns the
// reader of its response.
func sendTo(t *testing.T, request string, handle http.HandlerFunc) *bufio.Reader {
	t.Helper()
	g := NewWithT(t)
	server := NewServer(reply.Guard(handle, func(any, []byte) {}), nil)
	listener := listenLocally(t, ListenerConfig{Table: newTestTable(nil)})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprint(conn, request)
	g.Expect(err).NotTo(HaveOccurred())
	return bufio.NewReader(conn)
}

// TestCallersGetNoSuccessFromTheLibrary checks requests that net/http can complete without
// the handler.
func TestCallersGetNoSuccessFromTheLibrary(t *testing.T) {
	cases := []struct {
		name    string
		request string
	}{
		{"general options", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"general options in HTTP/1.0", "OPTIONS * HTTP/1.0\r\n\r\n"},
		{"options of a path", "OPTIONS /a HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"a tunnel", "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n"},
		{"a trace", "TRACE / HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"no host", "GET / HTTP/1.1\r\n\r\n"},
		{"the preface of HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"},
		{"no request", "garbage\r\n\r\n"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			response, err := http.ReadResponse(sendTo(t, each.request, func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(http.StatusNotFound)
			}), nil)
			if err != nil {
				return
			}
			defer response.Body.Close()
			g.Expect(response.StatusCode).To(BeNumerically(">=", http.StatusBadRequest))
		})
	}
}
