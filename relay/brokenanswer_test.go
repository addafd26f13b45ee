package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

// rawServer adds a server that runs script on each connection once it has read the head of a
// request. It returns the number of its requests.
func (fixture *fixture) rawServer(id names.BackendServer, script func(conn *net.TCPConn)) *atomic.Int64 {
	fixture.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fixture.t.Fatal(err)
	}
	fixture.t.Cleanup(func() { listener.Close() })
	var requests atomic.Int64
	serve := func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			requests.Add(1)
			script(conn.(*net.TCPConn))
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	fixture.pool.Put(&pool.Server{ID: id, Service: "desk", Address: listener.Addr().String(), Domain: "a", Slots: 4})
	return &requests
}

// resets returns a script that writes the head of a response without a length and a part of its
// body, and resets the connection.
func resets(status, partBytes int, pause time.Duration) func(conn *net.TCPConn) {
	return func(conn *net.TCPConn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Early\r\nId: call-1\r\nStamp: s\r\nConnection: close\r\n\r\n%s", status, strings.Repeat("x", partBytes))
		time.Sleep(pause)
		_ = conn.SetLinger(0)
	}
}

// uploadBytes is the length of a body that does not fit into the buffers of a connection.
const uploadBytes = 4 << 20

// newUploadFixture returns a fixture that accepts bodies of uploadBytes.
func newUploadFixture(t *testing.T, routes ...*policy.Route) *fixture {
	t.Helper()
	fixture := newFixture(t, routes...)
	fixture.relay.SetPolicy(newLimitedSnapshot(uploadBytes, &policy.Account{Name: "crew", Keys: []string{"secret"}}, routes...))
	return fixture
}

// Guards against a part of a body without a length that callers get as a complete response, as
// the server has reset the connection beside a long upload.
func TestResetBesideAnUploadIsNoCompleteResponse(t *testing.T) {
	const calls = 3
	upload := strings.Repeat("y", uploadBytes)
	for _, status := range []int{http.StatusOK, http.StatusFound, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusInternalServerError} {
		for _, kind := range []policy.Kind{policy.KindSafe, policy.KindUnsafe, policy.KindStream} {
			for _, partBytes := range []int{18, 64 << 10, 2 << 20} {
				for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
					t.Run(fmt.Sprintf("%d, %v, %d bytes, %v", status, kind, partBytes, pause), func(t *testing.T) {
						g := NewWithT(t)
						for range calls {
							fixture := newUploadFixture(t, route("order", kind, "desk"))
							fixture.rawServer("desk-1", resets(status, partBytes, pause))
							result := fixture.call(http.MethodPost, "/order/1", upload, nil)
							if result.err == nil {
								g.Expect(result.status).To(Equal(http.StatusBadGateway), "%d bytes", len(result.body))
							}
						}
					})
				}
			}
		}
	}
}

// Guards against uploads that are sent to one server after the other, and callers that don't get
// to know why, as a server that rejects an upload has reset the connection.
func TestCutRejectionsKeepTheirStatus(t *testing.T) {
	for _, kind := range []policy.Kind{policy.KindSafe, policy.KindUnsafe, policy.KindStream} {
		for _, partBytes := range []int{0, 18, 64 << 10} {
			t.Run(fmt.Sprintf("%v, %d bytes", kind, partBytes), func(t *testing.T) {
				g := NewWithT(t)
				fixture := newUploadFixture(t, route("order", kind, "desk"))
				first := fixture.rawServer("desk-1", resets(http.StatusRequestEntityTooLarge, partBytes, 20*time.Millisecond))
				second := fixture.rawServer("desk-2", resets(http.StatusRequestEntityTooLarge, partBytes, 20*time.Millisecond))
				result := fixture.call(http.MethodPost, "/order/1", strings.Repeat("y", uploadBytes), nil)
				g.Expect(result.err).To(HaveOccurred())
				g.Expect(result.status).To(Equal(http.StatusRequestEntityTooLarge))
				g.Expect(result.header.Get("Stamp")).To(Equal("s"))
				g.Expect(first.Load() + second.Load()).To(Equal(int64(1)))
			})
		}
	}
}

// Guards against invalid responses that callers get as responses.
func TestInvalidResponsesDoNotReachCallers(t *testing.T) {
	const end = "Id: call-1\r\nStamp: s\r\nContent-Length: 4\r\n\r\nfine"
	cases := []struct{ name, sent string }{
		{"a status of 000", "HTTP/1.1 000 Trouble\r\n" + end},
		{"a status of 099", "HTTP/1.1 099 Trouble\r\n" + end},
		{"a status of 999", "HTTP/1.1 999 Trouble\r\n" + end},
		{"a blank in a field name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + end},
		{"a blank in a field name of a failure", "HTTP/1.1 500 Trouble\r\nX Odd: 1\r\n" + end},
		{"a blank before a colon", "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\nContent-Length : 4\r\n\r\nfine and more"},
		{"a control byte in a field name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" + end},
		{"a NUL in a field name", "HTTP/1.1 200 OK\r\nX\x00Odd: 1\r\n" + end},
		{"a length behind a blank", "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\n Content-Length: 40\r\n\r\na part of the body"},
		{"a coding behind a tab", "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\n\tTransfer-Encoding: chunked\r\n\r\n28\r\na part"},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nId: call-1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"},
		{"a DEL in a field name", "HTTP/1.1 200 OK\r\nX\x7fOdd: 1\r\n" + end},
	}
	for _, each := range cases {
		for _, kind := range []policy.Kind{policy.KindSafe, policy.KindUnsafe, policy.KindStream} {
			t.Run(fmt.Sprintf("%s, %v", each.name, kind), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				fixture := newFixture(t, route("order", kind, "desk"))
				fixture.rawServer("desk-1", func(conn *net.TCPConn) { _, _ = io.WriteString(conn, each.sent) })
				result := fixture.call(http.MethodPost, "/order/1", "prompt", nil)
				g.Expect(result.err).NotTo(HaveOccurred())
				g.Expect(result.status).To(Equal(http.StatusBadGateway), result.body)
			})
		}
	}
}
