package trunk_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/trunk"
)

// receive sends a request to a server that answers with text, and returns the error of that.
func receive(t *testing.T, text string) error {
	t.Helper()
	address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, text)
	})
	response, err := newTrunk().Do(context.Background(), address, get("one"))
	if err == nil {
		response.Close()
	}
	return err
}

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
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"chunks in HTTP/1.0, with a length", "HTTP/1.0 200 OK\r\nX-Id: one\r\ntransfer-encoding: chunked\r\nContent-Length: 2\r\n\r\nok"},
		{"a control byte in a value", "HTTP/1.1 200 OK\r\nX-Odd: a\x01b\r\n" + end},
		{"a field without a name", "HTTP/1.1 200 OK\r\n: 1\r\n" + end},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			err := receive(t, each.bytes)
			var brokenError *trunk.BrokenError
			g.Expect(errors.As(err, &brokenError)).To(BeTrue(), "%v", err)
		})
	}
}

// Guards against fields that are lost, as they begin with a blank and are joined to the field before
// them: without its length or coding, a part of a body passes as the whole.
func TestFoldedFieldsAreBroken(t *testing.T) {
	cases := []struct{ name, bytes string }{
		{"a length behind a blank", "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Note: a\r\n Content-Length: 40\r\n\r\na part of the body"},
		{"a length behind a tab", "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Note: a\r\n\tContent-Length: 40\r\n\r\na part of the body"},
		{"a length behind blanks, with one before its colon", "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Note: a\r\n \t content-length : 40\r\n\r\na part of the body"},
		{"a length in the second of two folded lines", "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Note: a\r\n b\r\n Content-Length: 40\r\n\r\na part of the body"},
		{"lines that end with LF", "HTTP/1.1 200 OK\nX-Id: one\nX-Note: a\n Content-Length: 40\n\na part of the body"},
		{"a coding", "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Note: a\r\n Transfer-Encoding: chunked\r\n\r\n28\r\na part"},
		{"an encoding", "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Note: a\r\n Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"},
		{"a length, of a failure", "HTTP/1.1 500 Trouble\r\nX-Id: one\r\nX-Note: a\r\n Content-Length: 40\r\n\r\na part of the body"},
		{"a length behind an interim response", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: one\r\nX-Note: a\r\n Content-Length: 40\r\n\r\na part"},
		{"a field of an interim response", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n X-Note: a\r\n\r\n" + answer("one", "ok")},
		{"a length behind a response to another request", answer("two", "stray") + "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Note: a\r\n Content-Length: 40\r\n\r\na part"},
		{"a length beyond the read buffer", "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Note: " + strings.Repeat("a", 8<<10) + "\r\n Content-Length: 40\r\n\r\na part"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			err := receive(t, each.bytes)
			var brokenError *trunk.BrokenError
			g.Expect(errors.As(err, &brokenError)).To(BeTrue(), "%v", err)
			var foldedFieldError *trunk.FoldedFieldError
			g.Expect(errors.As(err, &foldedFieldError)).To(BeTrue(), "%v", err)
		})
	}
}

// Guards against sound responses that count as broken: a value may be folded, and a body may look
// like a head.
func TestFoldedValuesAreWhole(t *testing.T) {
	const body = "X-Note: a\r\n Content-Length: 40\r\n\r\n"
	cases := []struct{ name, head, note string }{
		{"a folded value", "X-Note: a\r\n b\r\n", "a b"},
		{"a value that is folded twice", "X-Note: a\r\n\tb,\r\n c; d=\"e\"\r\n", "a b, c; d=\"e\""},
		{"a value on the next line", "X-Note:\r\n a\r\n", "a"},
		{"a value that quotes a length", "X-Note: a Content-Length: 40\r\n", "a Content-Length: 40"},
		{"an empty line that is folded", "X-Note: a\r\n \r\n", "a "},
		{"no folded value", "X-Note: a\r\n", "a"},
	}
	framings := []struct{ name, head, body string }{
		{"with a length", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body},
		{"in chunks", "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
		{"without a length", "Connection: close\r\n\r\n", body},
	}
	for _, each := range cases {
		for _, framing := range framings {
			t.Run(each.name+", "+framing.name, func(t *testing.T) {
				g := NewWithT(t)
				address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
					_, _ = http.ReadRequest(reader)
					_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nLink: </a>,\r\n </b>\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: one\r\n"+each.head+framing.head+framing.body)
				})
				response, err := newTrunk().Do(context.Background(), address, get("one"))
				g.Expect(err).NotTo(HaveOccurred())
				defer response.Close()
				received, err := io.ReadAll(response)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(received)).To(Equal(body))
				g.Expect(response.Header.Get("X-Note")).To(Equal(each.note))
			})
		}
	}
}
