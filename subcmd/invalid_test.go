package subcmd

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against commands that print what an invalid response holds.
func TestInvalidResponsesAreNoReports(t *testing.T) {
	for _, each := range []struct {
		name, sent string
		valid      bool
		// invalidHead reports whether the head alone shows that the response is invalid.
		invalidHead bool
	}{
		{name: "a status of 000", invalidHead: true, sent: "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n[]"},
		{name: "a blank in a field name", invalidHead: true, sent: "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n[]"},
		{name: "a control byte in a field name", invalidHead: true, sent: "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\n[]"},
		{name: "a part without a length", sent: "HTTP/1.1 200 OK\r\n\r\n["},
		{name: "a part behind a folded length", sent: "HTTP/1.1 200 OK\r\nX-Note: a\r\n Content-Length: 2\r\n\r\n["},
		{name: "a sound response", sent: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]", valid: true},
	} {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer listener.Close()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, each.sent)
					conn.Close()
				}
			}()
			address := listener.Addr().String()
			var output bytes.Buffer
			err = build(&whereCommand{output: &output}).Run(t.Context(), []string{"where", "--entry", address, "--service", "notes", "--form", "json"})
			g.Expect(err == nil).To(Equal(each.valid), "%v", err)
			client, err := operatorClient("")
			g.Expect(err).NotTo(HaveOccurred())
			_, err = fetchRows(t.Context(), client, "http://"+address)
			g.Expect(err == nil).To(Equal(each.valid), "%v", err)
			// A load's response is its head.
			err = (&engineCommand{weightsURL: "http://" + address}).fetch(t.Context(), "notes", "", 0)
			g.Expect(err == nil).To(Equal(!each.invalidHead), "%v", err)
		})
	}
}
