package trunk_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/trunk"
)

// FuzzResponse reads arbitrary bytes in place of a response. A response that is returned
// names its request, and its body ends.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		answer("1", "body"), answer("2", "stray") + answer("1", "mine"), "HTTP/1.1 200 OK\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nuntil the end", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\ncut",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + answer("1", ""), "HTTP/1.1 101 Switching Protocols\r\nX-Id: 1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nextra", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=99999999999999999999\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 999999 \xff\r\nX-Id: 1\r\nContent-Length: -1\r\n\r\n", "garbage", "",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Note: a\r\n Content-Length: 9\r\n\r\ncut", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Note: a\r\n b\r\n\r\nbody",
		"HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	service := clock.NewService(clock.ServiceConfig{})
	f.Fuzz(func(t *testing.T, data []byte) {
		client := trunk.New(trunk.Config{Clock: service, Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					_, _ = far.Write(data)
				}
			}()
			return near, nil
		}})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		response, err := client.Do(ctx, "10.0.0.1:80", get("1"))
		if errors.Is(err, context.DeadlineExceeded) {
			t.Fatal("the response does not end")
		}
		if err != nil {
			return
		}
		defer response.Close()
		if response.Status < 200 || response.Header.Get("X-Id") != "1" {
			t.Fatalf("status %d, header %v", response.Status, response.Header)
		}
		body, err := io.ReadAll(response)
		if len(body) > len(data) || errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("body of %d bytes with error %v", len(body), err)
		}
	})
}
