package trunk_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/trunk"
)

// TestStatusLineAcrossReadsIsFound guards against a body that was cut and continued by another
// response, and is taken for whole because the status line was read in several parts.
func TestStatusLineAcrossReadsIsFound(t *testing.T) {
	cases := []struct {
		name    string
		body    string
		spliced bool
	}{
		{name: "a status line", body: "some text HTTP/1.1 200 and more", spliced: true},
		{name: "a status line at the beginning", body: "HTTP/1.1 404 and more text", spliced: true},
		{name: "a status line at the end", body: "some text and HTTP/1.0 503", spliced: true},
		{name: "a cut status line", body: "some text HTTP/1.1 20", spliced: false},
		{name: "other protocols", body: "HTTP/1.1 HTTP/ HTTP/1.1 900 HTTP/2 200", spliced: false},
	}
	for _, each := range cases {
		for size := 1; size <= 30; size++ {
			t.Run(fmt.Sprintf("%s, %d bytes at once", each.name, size), func(t *testing.T) {
				g := NewWithT(t)
				address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
					readRequest(reader)
					_, _ = io.WriteString(conn, answer("1", each.body)+strings.Repeat("rest ", 3))
				})
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				response, err := newTrunk().Do(ctx, address, get("1"))
				g.Expect(err).NotTo(HaveOccurred())
				defer response.Close()
				g.Expect(response.Length).To(BeEquivalentTo(len(each.body)))
				body, err := io.ReadAll(limitReads{source: response, size: size})
				var splicedError *trunk.SplicedError
				g.Expect(errors.As(err, &splicedError)).To(Equal(each.spliced), "%v", err)
				g.Expect(string(body)).To(Equal(each.body))
			})
		}
	}
}

// limitReads reads at most size bytes at once.
type limitReads struct {
	source io.Reader
	size   int
}

// Read implements [io.Reader].
func (limitReads limitReads) Read(buffer []byte) (int, error) {
	return limitReads.source.Read(buffer[:min(len(buffer), limitReads.size)])
}
