package relay_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/policy"
)

// Guards against connections that are closed without a response: a server that breaks a stream
// off after its header leaves nothing to forward, but the caller's response counted as begun.
func TestStreamThatBreaksBeforeItsFirstEventIsAnswered(t *testing.T) {
	// breakAfter breaks the response off after its header and a text.
	breakAfter := func(text string) http.HandlerFunc {
		return func(writer http.ResponseWriter, _ *http.Request) {
			conn := hijack(writer)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			if text != "" {
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
			}
			conn.Close()
		}
	}
	whole := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(writer, events(1, 2))
	}
	cases := []struct {
		name   string
		path   string
		first  http.HandlerFunc
		second http.HandlerFunc
		status int
		body   string
	}{
		{name: "a stream", path: "/draft/1", first: breakAfter(""), second: whole, status: http.StatusBadGateway},
		{name: "a stream that may be resumed", path: "/later/1", first: breakAfter(""), second: whole, status: http.StatusOK, body: events(1, 2)},
		{name: "a stream that may be resumed, within its first event", path: "/later/1", first: breakAfter("id: 1\ndata: pie"), second: whole, status: http.StatusOK, body: events(1, 2)},
		{name: "a stream that breaks at both servers", path: "/later/1", first: breakAfter(""), second: breakAfter("id: 1\n"), status: http.StatusBadGateway},
		{name: "a stream without events", path: "/draft/1", first: func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }, second: whole, status: http.StatusOK},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			later := route("later", policy.KindStream, "desk")
			later.Resumable = true
			fixture := newFixture(t, route("draft", policy.KindStream, "desk"), later)
			handles := make(chan http.HandlerFunc, 2)
			handles <- each.first
			handles <- each.second
			handle := func(writer http.ResponseWriter, request *http.Request) { (<-handles)(writer, request) }
			fixture.server("desk-1", "desk", handle)
			fixture.server("desk-2", "desk", handle)
			result := fixture.call(http.MethodPost, each.path, "prompt", nil)
			g.Expect(result.err).NotTo(HaveOccurred())
			g.Expect(result.status).To(Equal(each.status))
			if each.status == http.StatusOK {
				g.Expect(result.body).To(Equal(each.body))
			}
		})
	}
}
