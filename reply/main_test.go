package reply_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/reply"
)

func TestMain(m *testing.M) {
	if os.Getenv(killedServerVariable) != "" {
		serveUntilKilled()
		return
	}
	os.Exit(proof.Main(m))
}

// newServer starts a server whose connections are known to writers.
func newServer(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnContext = reply.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// get sends a request and returns the reader of its response.
func get(t *testing.T, server *httptest.Server, version string) *bufio.Reader {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := fmt.Fprintf(conn, "GET / %s\r\nHost: a\r\n\r\n", version); err != nil {
		t.Fatal(err)
	}
	return bufio.NewReader(conn)
}
