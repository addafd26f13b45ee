package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
