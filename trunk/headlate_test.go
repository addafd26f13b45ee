package trunk_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/trunk"
)

// TestBodyOfALateResponseIsNoResponseToHead checks a late response in front of the response to
// HEAD, whose body looks like a response.
func TestBodyOfALateResponseIsNoResponseToHead(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		_, _ = fmt.Fprint(conn, answer("1", "fine"))
		readRequest(reader)
		_, _ = fmt.Fprint(conn, answer("1", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 4\r\n\r\n"))
		readRequest(reader)
	})
	client := newTrunk()
	g.Expect(fetch(client, address, "1")).To(Equal("fine"))
	request := get("2")
	request.Method = http.MethodHead
	_, err := client.Do(context.Background(), address, request)
	var brokenError *trunk.BrokenError
	g.Expect(errors.As(err, &brokenError)).To(BeTrue(), "%v", err)
}
