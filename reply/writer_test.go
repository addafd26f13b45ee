package reply_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/reply"
)

func TestMain(m *testing.M) {
	if os.Getenv(killedServerVariable) != "" {
		serveUntilKilled()
		return
	}
	os.Exit(proof.Main(m))
}

// TestAbsentOrAbortedResponsesDoNotLookComplete checks what a caller reads for each way in
// which a handler can end.
func TestAbsentOrAbortedResponsesDoNotLookComplete(t *testing.T) {
	cases := []struct {
		name   string
		handle http.HandlerFunc
		// complete reports whether the caller reads a complete response with status.
		complete bool
		status   int
		body     string
	}{
		{name: "a handler that returns without writing", handle: func(http.ResponseWriter, *http.Request) {}},
		{name: "one that only sets headers", handle: func(writer http.ResponseWriter, _ *http.Request) { writer.Header().Set("A", "b") }},
		{name: "one that writes an interim response only", handle: func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusEarlyHints)
		}},
		{name: "a panic", handle: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{name: "a header only", complete: true, status: http.StatusNoContent, handle: func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusNoContent)
		}},
		{name: "a body only", complete: true, status: http.StatusOK, body: "fine", handle: func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(writer, "fine")
		}},
		{name: "a header that is flushed", complete: true, status: http.StatusOK, handle: func(writer http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(writer).Flush()
		}},
		{name: "a header that is flushed before a panic", status: http.StatusOK, handle: func(writer http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}},
		{name: "an aborted response", status: http.StatusOK, body: "part", handle: func(writer http.ResponseWriter, request *http.Request) {
			tracked := reply.NewWriter(writer, request)
			_, _ = fmt.Fprint(tracked, "part")
			_ = http.NewResponseController(tracked).Flush()
			tracked.Abort()
		}},
		{name: "a panic in the middle of a response", status: http.StatusOK, body: "part", handle: func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(writer, "part")
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}},
		{name: "a response that is aborted before it begins", handle: func(writer http.ResponseWriter, request *http.Request) {
			reply.NewWriter(writer, request).Abort()
		}},
	}
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, each := range cases {
			t.Run(version+" "+each.name, func(t *testing.T) {
				g := NewWithT(t)
				server := httptest.NewUnstartedServer(reply.Explicit(each.handle))
				server.Config.ConnContext = reply.ConnContext
				server.Start()
				defer server.Close()
				conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", server.Listener.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "GET / %s\r\nHost: a\r\n\r\n", version)
				g.Expect(err).NotTo(HaveOccurred())
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				for err == nil && response.StatusCode < http.StatusOK {
					response, err = http.ReadResponse(reader, nil)
				}
				if each.status == 0 {
					g.Expect(errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				defer response.Body.Close()
				g.Expect(response.StatusCode).To(Equal(each.status))
				body, err := io.ReadAll(response.Body)
				g.Expect(string(body)).To(Equal(each.body))
				if each.complete {
					g.Expect(err).NotTo(HaveOccurred())
				} else {
					g.Expect(err).To(HaveOccurred())
				}
			})
		}
	}
}
