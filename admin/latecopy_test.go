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
	"github.com/basilkeel/basilkeel/config"
)

// TestLateCopiesAreNoOutcomesOfChanges checks that an operator is not told the outcome of
// an earlier change.
func TestLateCopiesAreNoOutcomesOfChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	answers := make(chan string, 2)
	answers <- `{"change":{"changeId":"c1","version":1}}`
	answers <- `{"change":{"changeId":"c2","version":2}}`
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
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					body := <-answers
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					if _, err := io.WriteString(conn, last+answer); err != nil {
						return
					}
					last = answer
				}
			}()
		}
	}()
	client := admin.NewClient(admin.ClientConfig{URL: "http://" + listener.Addr().String(), Token: "token", HTTP: &http.Client{Transport: &http.Transport{}}})
	for _, id := range []string{"c1", "c2"} {
		outcome, err := client.Apply(context.Background(), putAccount(id, 0, "desk"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(outcome.Record.ChangeID).To(gomega.Equal(config.ChangeID(id)))
	}
}
