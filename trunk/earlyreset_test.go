package trunk_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/trunk"
)

// TestResetBeforeTheRequestIsReadIsNoEnd guards against a part of a body without a length that
// is taken for the whole, as the server has reset the connection while the request was
// being written.
func TestResetBeforeTheRequestIsReadIsNoEnd(t *testing.T) {
	g := NewWithT(t)
	part := bytes.Repeat([]byte("x"), 1<<20)
	address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = reader.Peek(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n")
		_, _ = conn.Write(part)
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	})
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		request := &trunk.Request{Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{}, Body: memory.Pieces{bytes.Repeat([]byte("y"), 16<<20)}}
		response, err := newTrunk().Do(ctx, address, request)
		if err == nil {
			_, err = io.Copy(io.Discard, response)
			response.Close()
		}
		var brokenError *trunk.BrokenError
		g.Expect(errors.As(err, &brokenError)).To(BeTrue(), "%v", err)
		cancel()
	}
}

// TestEndOfTheConnectionEndsTheBody guards against sound responses without a length that count
// as broken, as the request's writer returns after the response has ended.
func TestEndOfTheConnectionEndsTheBody(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\nall of it")
		conn.Close()
	})
	for _, size := range []int{0, 1000, 1 << 20, 4 << 20} {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		request := &trunk.Request{Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{}, Body: memory.Pieces{bytes.Repeat([]byte("y"), size)}}
		response, err := newTrunk().Do(ctx, address, request)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("all of it"))
		response.Close()
		cancel()
	}
}
