package admin_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/admin"
)

// Guards against an operator who is told the outcome of a change by an invalid response.
func TestInvalidResponsesAreNoOutcomesOfChanges(t *testing.T) {
	const document = `{"change":{"changeId":"c1","version":1}}`
	whole := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(document), document)
	for _, each := range []struct {
		name, sent string
		valid      bool
	}{
		{name: "a status of 000", sent: "HTTP/1.1 000 Trouble\r\n" + whole},
		{name: "a blank in a field name", sent: "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + whole},
		{name: "a control byte in a field name", sent: "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" + whole},
		{name: "a part without a length", sent: "HTTP/1.1 200 OK\r\n\r\n" + document[:len(document)-1]},
		{name: "a part behind a folded length", sent: "HTTP/1.1 200 OK\r\nX-Note: a\r\n Content-Length: 40\r\n\r\n" + document[:20]},
		{name: "a sound response", sent: "HTTP/1.1 200 OK\r\n" + whole, valid: true},
	} {
		t.Run(each.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				_, _ = io.WriteString(conn, each.sent)
			}()
			client := admin.NewClient(admin.ClientConfig{URL: "http://" + listener.Addr().String(), Token: "token", HTTP: &http.Client{Transport: &http.Transport{}}})
			_, err = client.Apply(context.Background(), putAccount("c1", 0, "desk"))
			g.Expect(err == nil).To(gomega.Equal(each.valid), "%v", err)
		})
	}
}
