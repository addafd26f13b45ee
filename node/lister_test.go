package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
)

func TestLateCopiesAreNoInstanceLists(t *testing.T) {
	g := NewWithT(t)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	lists := make(chan string, 2)
	lists <- `{"instances":[]}`
	lists <- `{"instances":[{"name":"entry-1"}]}`
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for last := ""; ; {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					list := <-lists
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
					if _, err := io.WriteString(conn, last+answer); err != nil {
						return
					}
					last = answer
				}
			}()
		}
	}()
	lister := newLister("http://" + listener.Addr().String())
	members, err := lister.read(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(members).To(BeEmpty())
	members, err = lister.read(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(members).To(HaveLen(1))
}

// TestListWithoutInstancesFieldIsNoEmptyList checks that only a list that says so is empty.
func TestListWithoutInstancesFieldIsNoEmptyList(t *testing.T) {
	for _, each := range []struct {
		body  string
		valid bool
	}{
		{body: ""},
		{body: "null"},
		{body: "{}"},
		{body: `{"revision":4}`},
		{body: `{"revision":4,"instances":null}`},
		{body: `{"instances":[`},
		{body: `{"revision":4,"instances":[]}`, valid: true},
	} {
		t.Run(each.body, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = writer.Write([]byte(each.body))
			}))
			defer server.Close()
			lister := newLister(server.URL)
			defer lister.client.CloseIdleConnections()
			_, err := lister.read(context.Background())
			g.Expect(err == nil).To(Equal(each.valid), "%v", err)
		})
	}
}

// Guards against a list that is believed although its response is invalid or was cut off.
func TestBrokenResponsesAreNoInstanceLists(t *testing.T) {
	const list = `{"revision":4,"instances":[{"name":"entry-1"}]}`
	whole := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(list), list)
	for _, each := range []struct {
		name, sent string
		valid      bool
	}{
		{name: "a status of 000", sent: "HTTP/1.1 000 Trouble\r\n" + whole},
		{name: "a blank in a field name", sent: "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + whole},
		{name: "a blank before a colon", sent: "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n" + list},
		{name: "a control byte in a field name", sent: "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" + whole},
		{name: "a part without a length", sent: "HTTP/1.1 200 OK\r\n\r\n" + list[:len(list)-1]},
		{name: "a part behind a folded length", sent: "HTTP/1.1 200 OK\r\nX-Note: a\r\n Content-Length: 47\r\n\r\n" + list[:20]},
		{name: "less than its length", sent: "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + list},
		{name: "without a length", sent: "HTTP/1.1 200 OK\r\n\r\n" + list, valid: true},
		{name: "with a length", sent: "HTTP/1.1 200 OK\r\n" + whole, valid: true},
		{name: "in chunks", sent: fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(list), list), valid: true},
	} {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, each.sent)
			}()
			members, err := newLister("http://" + listener.Addr().String()).read(context.Background())
			g.Expect(err == nil).To(Equal(each.valid), "%v", err)
			g.Expect(len(members) == 1).To(Equal(each.valid))
		})
	}
}
