package relay_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/relay"
)

// faultyCodec panics when a request is to be sent.
type faultyCodec struct{ plainCodec }

// ServerHeader implements [relay.Codec].
func (faultyCodec) ServerHeader(*http.Request, relay.Attempt) http.Header { panic("fault") }

// Guards against connections that are closed without a response because of a fault in the
// program.
func TestRequestWhoseHandlingPanicsIsAnswered(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(version, func(t *testing.T) {
			g := NewWithT(t)
			fixture := newCodecFixture(t, faultyCodec{}, route("order", policy.KindUnsafe, "desk"))
			fixture.server("desk-1", "desk", ok)
			conn := fixture.dialFront()
			g.Expect(writeRequest(conn, version, "/order/1", "", "order")).To(Succeed())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			g.Expect(response.StatusCode).To(Equal(http.StatusInternalServerError))
			g.Expect(response.Close).To(BeTrue())
			body, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(ContainSubstring("internal"))
		})
	}
}
