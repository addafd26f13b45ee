package reply_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/reply"
)

// TestNestedWritersAreOne checks that a handler behind Guard reaches the server's own writer.
func TestNestedWritersAreOne(t *testing.T) {
	g := NewWithT(t)
	unwrapped := make(chan http.ResponseWriter, 1)
	server := newServer(t, reply.Guard(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		tracked := reply.NewWriter(writer, request)
		unwrapped <- tracked.Unwrap()
		tracked.WriteHeader(http.StatusNoContent)
		tracked.Finish()
	}), func(any, []byte) {}))
	response, err := http.ReadResponse(get(t, server, "HTTP/1.1"), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusNoContent))
	g.Expect(<-unwrapped).NotTo(BeAssignableToTypeOf(&reply.Writer{}))
}
