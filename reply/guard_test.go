package reply_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/reply"
)

// TestPanicsAreReportedAndDoNotLookComplete checks panics before and within a response.
func TestPanicsAreReportedAndDoNotLookComplete(t *testing.T) {
	cases := []struct {
		name     string
		handle   http.HandlerFunc
		reports  int32
		complete bool
	}{
		{name: "a response", complete: true, handle: func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }},
		{name: "no response", handle: func(http.ResponseWriter, *http.Request) {}},
		{name: "a panic without a response", reports: 1, handle: func(http.ResponseWriter, *http.Request) { panic("fault") }},
		{name: "a panic within a response", reports: 1, handle: func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(writer, "part")
			_ = http.NewResponseController(writer).Flush()
			panic("fault")
		}},
		{name: "an abort within a response", handle: func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(writer, "part")
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}},
	}
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, each := range cases {
			t.Run(version+" "+each.name, func(t *testing.T) {
				g := NewWithT(t)
				var reports atomic.Int32
				server := newServer(t, reply.Guard(each.handle, func(any, []byte) { reports.Add(1) }))
				response, err := http.ReadResponse(get(t, server, version), nil)
				if err == nil {
					defer response.Body.Close()
					_, err = io.Copy(io.Discard, response.Body)
				}
				g.Expect(err == nil).To(Equal(each.complete), "%v", err)
				g.Expect(reports.Load()).To(Equal(each.reports))
			})
		}
	}
}
