package trunk_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/trunk"
)

// TestWithdrawnRequestsDoNotProlongTheIdleTime checks that a server's idle limit counts from
// its last response, also if a request was withdrawn meanwhile.
func TestWithdrawnRequestsDoNotProlongTheIdleTime(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=1\r\nContent-Length: 4\r\n\r\nfine", id)
		}
	})
	client := newTrunk()
	g.Expect(fetch(client, address, "1")).To(Equal("fine"))
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		request := get("2")
		request.StillWanted = func() bool { return false }
		_, err := client.Do(context.Background(), address, request)
		var unsentError *trunk.UnsentError
		g.Expect(errors.As(err, &unsentError)).To(BeTrue(), "%v", err)
	}
	time.Sleep(200 * time.Millisecond)
	g.Expect(fetch(client, address, "3")).To(Equal("fine"))
	g.Expect(connections.Load()).To(BeNumerically(">=", int64(2)), "0.6 s are beyond the limit")
}

// TestStatusBelowAllClassesIsNoInterimResponse checks that the body of a response without a
// class is not read as the next response.
func TestStatusBelowAllClassesIsNoInterimResponse(t *testing.T) {
	for _, status := range []string{"000", "099"} {
		t.Run(status, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				id := readRequest(reader)
				body := answer(id, "enclosed")
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
				readRequest(reader)
			})
			response, err := newTrunk().Do(context.Background(), address, get("1"))
			if err == nil {
				response.Close()
			}
			var brokenError *trunk.BrokenError
			g.Expect(errors.As(err, &brokenError)).To(BeTrue(), "%v", err)
		})
	}
}
