package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/wire"
)

// TestPanicDoesNotLookLikeResponse checks a fault of the entry's own before and in the
// middle of a response.
func TestPanicDoesNotLookLikeResponse(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, begun := range []bool{false, true} {
			t.Run(fmt.Sprint(version, " begun ", begun), func(t *testing.T) {
				g := NewWithT(t)
				front := newFront(t, func(_ context.Context, number int) (*wire.ServeReply, error) {
					if begun && number == 0 {
						return chunkReply(0, "a"), nil
					}
					panic("a fault")
				})
				conn := front.send(t, g, version, "/v1/completions", streamBody)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if !begun {
					g.Expect(err).To(HaveOccurred())
					return
				}
				if err != nil {
					return
				}
				defer response.Body.Close()
				_, err = io.Copy(io.Discard, response.Body)
				g.Expect(err).To(HaveOccurred())
			})
		}
	}
}
