package relay_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
)

// dialFront opens a caller's connection to the relay.
func (fixture *fixture) dialFront() *net.TCPConn {
	fixture.t.Helper()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", fixture.front.Listener.Addr().String())
	if err != nil {
		fixture.t.Fatal(err)
	}
	fixture.t.Cleanup(func() { conn.Close() })
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		fixture.t.Fatalf("%T is not a TCP connection", conn)
	}
	if err := tcpConn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		fixture.t.Fatal(err)
	}
	return tcpConn
}

// writeRequest writes a POST request for a model with the given version of the protocol.
func writeRequest(writer io.Writer, version, path, model, body string) error {
	_, err := fmt.Fprintf(writer, "POST %s %s\r\nHost: desk.example\r\nId: call-1\r\nKey: secret\r\nModel: %s\r\nContent-Length: %d\r\n\r\n%s", path, version, model, len(body), body)
	return err
}

// TestCallerThatShutsDownItsSendingSideGetsNoSuccess checks callers that end their sending
// side while their request is served, and read on.
func TestCallerThatShutsDownItsSendingSideGetsNoSuccess(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		version string
		model   string
		body    string
	}{
		{name: "a lookup", path: "/look/1", version: "HTTP/1.1"},
		{name: "an order", path: "/order/1", version: "HTTP/1.1", body: "order"},
		{name: "a stream", path: "/draft/1", version: "HTTP/1.1", body: "prompt"},
		{name: "a stream that may be resumed", path: "/later/1", version: "HTTP/1.1", body: "prompt"},
		{name: "an order in HTTP/1.0", path: "/order/1", version: "HTTP/1.0", body: "order"},
		{name: "a stream in HTTP/1.0", path: "/draft/1", version: "HTTP/1.0", body: "prompt"},
		{name: "a stream that waits for its model", path: "/wait/1", version: "HTTP/1.1", model: "rare", body: "prompt"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			later := route("later", policy.KindStream, "desk")
			later.Resumable = true
			fixture := newFixture(t, route("look", policy.KindSafe, "desk"), route("order", policy.KindUnsafe, "desk"),
				route("draft", policy.KindStream, "desk"), later, route("wait", policy.KindStream, "notes"))
			started := make(chan struct{}, 3)
			fixture.server("desk-1", "desk", func(_ http.ResponseWriter, request *http.Request) {
				started <- struct{}{}
				<-request.Context().Done()
			})
			fixture.server("notes-1", "notes", ok)
			fixture.coordinator.onWait = func(names.Model) { started <- struct{}{} }
			conn := fixture.dialFront()
			g.Expect(writeRequest(conn, each.version, each.path, each.model, each.body)).To(Succeed())
			g.Eventually(started, 5*time.Second).Should(Receive())
			g.Expect(conn.CloseWrite()).To(Succeed())
			received, err := io.ReadAll(conn)
			if err != nil {
				g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
			}
			g.Expect(string(received)).NotTo(HavePrefix(each.version+" 2"), "nothing but a failure or a closed connection")
			g.Expect(string(received)).NotTo(ContainSubstring(" 503 "), "the request may have run")
		})
	}
}

// TestCallerThatShutsDownItsSendingSideMidStreamGetsNoCompleteStream does the same in the
// middle of a stream.
func TestCallerThatShutsDownItsSendingSideMidStreamGetsNoCompleteStream(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(version, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			fixture := newFixture(t, route("draft", policy.KindStream, "desk"))
			fixture.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
				_, _ = fmt.Fprint(writer, events(1, 1))
				_ = http.NewResponseController(writer).Flush()
				<-request.Context().Done()
			})
			conn := fixture.dialFront()
			g.Expect(writeRequest(conn, version, "/draft/1", "", "prompt")).To(Succeed())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			first := make([]byte, len(events(1, 1)))
			_, err = io.ReadFull(response.Body, first)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(conn.CloseWrite()).To(Succeed())
			_, err = io.ReadAll(response.Body)
			g.Expect(err).To(HaveOccurred(), "it must not look complete")
		})
	}
}
