package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/policy"
)

// trickle returns a handler that writes part each 20 ms, count times or until the caller
// disconnects.
func trickle(part string, count int) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		controller := http.NewResponseController(writer)
		for range count {
			select {
			case <-request.Context().Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
			_, _ = fmt.Fprint(writer, part)
			_ = controller.Flush()
		}
	}
}

// TestSlowStreams checks streams far slower than their objective: those that end are
// forwarded completely, and those that never end are aborted at the route's timeout
// although bytes keep arriving.
func TestSlowStreams(t *testing.T) {
	const endless = 1 << 20
	cases := []struct {
		name      string
		resumable bool
		handle    http.HandlerFunc
		// whole reports whether the caller gets a complete response, servers is the number of
		// requests that reach a server.
		whole   bool
		servers int
	}{
		{name: "a slow sound stream", handle: trickle("id: 1\ndata: piece\n\n", 30), whole: true, servers: 1},
		{name: "a slow sound stream that may be resumed", resumable: true, handle: trickle("id: 1\ndata: piece\n\n", 30), whole: true, servers: 1},
		{name: "a byte now and then", handle: trickle(":", endless), servers: 1},
		{name: "a byte now and then, where it may be resumed", resumable: true, handle: trickle(":", endless), servers: 1},
		{name: "events without end", handle: trickle("id: 1\ndata: piece\n\n", endless), servers: 1},
		{name: "an event that does not end, where it may be resumed", resumable: true, handle: trickle("data: more", endless), servers: 1},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			draft := route("draft", policy.KindStream, "desk")
			draft.Objective, draft.Timeout, draft.Resumable = 10*time.Millisecond, 1500*time.Millisecond, each.resumable
			fixture := newFixture(t, draft)
			seen := fixture.server("desk-1", "desk", each.handle)
			began := time.Now()
			result := fixture.call(http.MethodPost, "/draft/1", "", nil)
			g.Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second), "the timeout ends it")
			g.Expect(seen.count()).To(Equal(each.servers))
			if each.whole {
				g.Expect(result.err).NotTo(HaveOccurred())
				g.Expect(strings.Count(result.body, "piece")).To(Equal(30))
				return
			}
			g.Expect(result.err != nil || result.status == http.StatusGatewayTimeout).To(BeTrue(), "status %d, body %q", result.status, result.body)
		})
	}
}

// TestAnswersWithoutEnd checks that a response that continues until the relay closes the
// connection never looks complete to the caller.
func TestAnswersWithoutEnd(t *testing.T) {
	flood := func(header string) http.HandlerFunc {
		return func(writer http.ResponseWriter, _ *http.Request) {
			conn := hijack(writer)
			defer conn.Close()
			_, err := fmt.Fprint(conn, header)
			for err == nil {
				_, err = fmt.Fprint(conn, "1000\r\n"+strings.Repeat("x", 4096)+"\r\n")
			}
		}
	}
	cases := []struct {
		name   string
		header string
	}{
		{"a body in chunks", "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"a body without a length", "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\n\r\n"},
		{"a head", "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\nMore: "},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			look := route("look", policy.KindUnsafe, "desk")
			look.Timeout = time.Second
			fixture := newFixture(t, look)
			seen := fixture.server("desk-1", "desk", flood(each.header))
			result := fixture.call(http.MethodPost, "/look/1", "", nil)
			g.Expect(result.err != nil || result.status >= http.StatusBadGateway).To(BeTrue(), "status %d, %d bytes", result.status, len(result.body))
			g.Expect(seen.count()).To(Equal(1), "it may have run")
		})
	}
}
