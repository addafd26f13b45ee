package reply_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/reply"
)

// TestResponseThatServerCutsDoesNotLookComplete checks connections that the server closes by
// itself, when it stops and after a write that has failed.
func TestResponseThatServerCutsDoesNotLookComplete(t *testing.T) {
	large := strings.Repeat("a", 32<<20)
	flush := func(writer http.ResponseWriter, text string) error {
		if _, err := fmt.Fprint(writer, text); err != nil {
			return err
		}
		return http.NewResponseController(writer).Flush()
	}
	cases := []struct {
		name     string
		handle   func(server *httptest.Server, writer http.ResponseWriter) error
		complete bool
	}{
		{name: "a stop", handle: func(server *httptest.Server, writer http.ResponseWriter) error {
			if err := flush(writer, "part"); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
			return server.Config.Close()
		}},
		{name: "a write that times out", handle: func(_ *httptest.Server, writer http.ResponseWriter) error {
			if err := http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
				return err
			}
			return flush(writer, large)
		}},
		{name: "a whole response", complete: true, handle: func(_ *httptest.Server, writer http.ResponseWriter) error {
			return flush(writer, large)
		}},
	}
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, each := range cases {
			t.Run(version+" "+each.name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				var server *httptest.Server
				server = httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					tracked := reply.NewWriter(writer, request)
					if err := each.handle(server, tracked); err != nil {
						tracked.Abort()
					}
					if each.complete {
						tracked.Finish()
					}
				}))
				server.Config.ConnContext = reply.ConnContext
				server.Start()
				defer server.Close()
				reader := get(t, server, version)
				time.Sleep(200 * time.Millisecond)
				response, err := http.ReadResponse(reader, nil)
				if err == nil {
					defer response.Body.Close()
					_, err = io.Copy(io.Discard, response.Body)
				}
				g.Expect(err == nil).To(Equal(each.complete), "%v", err)
			})
		}
	}
}
