package trunk_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/trunk"
)

// Guards against answers that are no HTTP responses and that callers got as such, with the
// faulty line passed on or with a body that was not the server's.
func TestInvalidResponsesAreBroken(t *testing.T) {
	const end = "X-Id: one\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct{ name, bytes string }{
		{"a status of 000", "HTTP/1.1 000 Trouble\r\n" + end},
		{"a status of 007", "HTTP/1.1 007 Trouble\r\n" + end},
		{"a status with a sign", "HTTP/1.1 +20 Trouble\r\n" + end},
		{"a status of 600", "HTTP/1.1 600 Trouble\r\n" + end},
		{"a status of two digits", "HTTP/1.1 20 Trouble\r\n" + end},
		{"a blank in a field name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + end},
		{"a blank before the colon of the length", "HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length : 2\r\n\r\nok and more"},
		{"a blank before the colon of the coding", "HTTP/1.1 200 OK\r\nX-Id: one\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"a blank in a field name of an interim response", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + end},
		{"a control byte in a field name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" + end},
		{"a tab in a field name", "HTTP/1.1 200 OK\r\nX\tOdd: 1\r\n" + end},
		{"a NUL in a field name", "HTTP/1.1 200 OK\r\nX\x00Odd: 1\r\n" + end},
		{"a control byte in a value", "HTTP/1.1 200 OK\r\nX-Odd: a\x01b\r\n" + end},
		{"a field without a name", "HTTP/1.1 200 OK\r\n: 1\r\n" + end},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = http.ReadRequest(reader)
				_, _ = io.WriteString(conn, each.bytes)
			})
			response, err := newTrunk().Do(context.Background(), address, get("one"))
			if err == nil {
				response.Close()
			}
			var brokenError *trunk.BrokenError
			g.Expect(errors.As(err, &brokenError)).To(BeTrue(), "%v", err)
		})
	}
}
