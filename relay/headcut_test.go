package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

// cuttingServer answers each request with the response to its path. It closes the connection
// in the middle of the header of a response as long as bytes are cut.
type cuttingServer struct {
	listener net.Listener
	// respond returns the header and the body of a response.
	respond func(request *http.Request) (header, body string)
	// mutex guards cut, the length to which headers are cut, or a negative number.
	mutex sync.Mutex
	cut   int
}

func newCuttingServer(fixture *fixture, id names.BackendServer, respond func(request *http.Request) (header, body string)) *cuttingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fixture.t.Fatal(err)
	}
	fixture.t.Cleanup(func() { listener.Close() })
	server := &cuttingServer{listener: listener, respond: respond, cut: -1}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	fixture.pool.Put(&pool.Server{ID: id, Service: "desk", Address: listener.Addr().String(), Domain: "a", Slots: 4})
	return server
}

func (server *cuttingServer) setCut(cut int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.cut = cut
}

func (server *cuttingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		header, body := server.respond(request)
		server.mutex.Lock()
		cut := server.cut
		server.mutex.Unlock()
		if cut >= 0 {
			_, _ = io.WriteString(conn, header[:min(cut, len(header)-1)])
			return
		}
		if _, err := io.WriteString(conn, header+body); err != nil || strings.Contains(header, "Connection: close") {
			return
		}
	}
}

// The server closes its connection after each byte of the header.
func TestHeaderCutAnywhereIsNoResponse(t *testing.T) {
	const body = "fine"
	cases := []struct {
		name string
		// header follows the status line.
		version, interim, header, body string
	}{
		{name: "with a length", version: "1.1", header: "Content-Length: 4\r\n", body: body},
		{name: "with chunks", version: "1.1", header: "Transfer-Encoding: chunked\r\n", body: "4\r\nfine\r\n0\r\n\r\n"},
		{name: "until the end of the connection", version: "1.1", header: "Connection: close\r\n", body: body},
		{name: "in HTTP/1.0", version: "1.0", header: "Connection: close\r\n", body: body},
		{name: "in HTTP/1.0 with a length", version: "1.0", header: "Content-Length: 4\r\nConnection: close\r\n", body: body},
		{name: "after an interim response", version: "1.1", interim: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", header: "Content-Length: 4\r\n", body: body},
		{name: "empty", version: "1.1", header: "Content-Length: 0\r\n"},
	}
	kinds := []policy.Kind{policy.KindSafe, policy.KindUnsafe, policy.KindStream}
	for _, each := range cases {
		for _, kind := range kinds {
			t.Run(fmt.Sprintf("%s, %v", each.name, kind), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				order := route("order", kind, "desk")
				fixture := newFixture(t, order)
				var length int
				server := newCuttingServer(fixture, "desk-1", func(request *http.Request) (string, string) {
					header := fmt.Sprintf("%sHTTP/%s 200 OK\r\nStamp: s\r\nId: %s\r\nX-More: a value\r\n%s\r\n", each.interim, each.version, request.Header.Get("Id"), each.header)
					return header, each.body
				})
				example, _ := server.respond(&http.Request{Header: http.Header{"Id": {"call-1"}}})
				length = len(example)
				for cut := range length {
					if cut%2 == 0 {
						server.setCut(-1)
						result := fixture.call(http.MethodPost, "/order/1", "", nil)
						g.Expect(result.status).To(Equal(http.StatusOK), "the connection is kept for the next request")
						g.Expect(result.body).To(Equal(strings.TrimSuffix(strings.TrimPrefix(each.body, "4\r\n"), "\r\n0\r\n\r\n")))
					}
					server.setCut(cut)
					result := fixture.call(http.MethodPost, "/order/1", "", nil)
					g.Expect(result.err != nil || result.status >= http.StatusInternalServerError).To(BeTrue(), "cut after %q: %d %q", example[:cut], result.status, result.body)
				}
			})
		}
	}
}

// The second server of a stream closes its connection after each byte of the header.
func TestHeaderCutAnywhereContinuesNoStream(t *testing.T) {
	g := NewWithT(t)
	draft := route("draft", policy.KindStream, "desk")
	draft.Resumable, draft.MaxAttempts, draft.Timeout = true, 2, 5*time.Second
	fixture := newFixture(t, draft)
	header := func(request *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nStamp: s\r\nId: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", request.Header.Get("Id"))
	}
	var second *cuttingServer
	cut := -1
	respond := func(request *http.Request) (string, string) {
		if request.Header.Get("Resume") == "" {
			second.setCut(-1)
			return header(request), "id: 1\ndata: piece\n\nid: 2\nda"
		}
		second.setCut(cut)
		return header(request), events(2, 2)
	}
	second = newCuttingServer(fixture, "desk-1", respond)
	fixture.pool.Put(&pool.Server{ID: "desk-2", Service: "desk", Address: second.listener.Addr().String(), Domain: "a", Slots: 4})
	whole := fixture.call(http.MethodPost, "/draft/1", "", nil)
	g.Expect(whole.err).NotTo(HaveOccurred())
	g.Expect(whole.body).To(ContainSubstring("id: 2"))
	length := len(header(&http.Request{Header: http.Header{"Id": {"call-1"}}}))
	for cut = range length {
		g.Expect(fixture.call(http.MethodPost, "/draft/1", "", nil).err).To(HaveOccurred(), "cut after %d bytes", cut)
	}
}
