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
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/basilkeel/basilkeel/clock"
)

// TestUnfinishedResponseToOldCallersIsReset checks that the server of callers' requests lets
// package reply reset a connection whose end would end the response.
func TestUnfinishedResponseToOldCallersIsReset(t *testing.T) {
	g := NewWithT(t)
	log, _ := test.NewNullLogger()
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(writer, "part")
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	})
	server := newCallerServer(handler, newIdleConnections(clock.NewService(clock.ServiceConfig{})), log)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.0\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	g.Expect(err).To(HaveOccurred(), "it must not look complete")
}
