package entry

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/wire"
)

// TestWholeResponseThatIsCutDoesNotLookComplete checks a caller that reads slowly while the
// entry stops. In HTTP/1.0 a response without a length ends with its connection.
func TestWholeResponseThatIsCutDoesNotLookComplete(t *testing.T) {
	const pieces = 200
	text := strings.Repeat("a", 64<<10)
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, each := range []struct {
			name, path, body string
			head             []*wire.ServeReply
		}{
			{name: "a plain service", path: "/svc/desk/look", body: "look", head: []*wire.ServeReply{headReply(200)}},
			{name: "a completion", path: "/v1/completions", body: wholeBody},
		} {
			t.Run(version+" "+each.name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				list := each.head
				for index := range int64(pieces) {
					list = append(list, chunkReply(index, text))
				}
				front := newFront(t, replies(append(list, endReply(pieces))...))
				conn := front.send(t, g, version, each.path, each.body)
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				g.Expect(err).NotTo(HaveOccurred())
				defer response.Body.Close()
				time.Sleep(50 * time.Millisecond)
				g.Expect(front.Config.Close()).To(Succeed())
				received, err := io.Copy(io.Discard, response.Body)
				g.Expect(received).To(BeNumerically("<", pieces*len(text)), "the test needs a response that is cut")
				g.Expect(err).To(HaveOccurred())
			})
		}
	}
}
