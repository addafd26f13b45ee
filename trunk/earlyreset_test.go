package trunk_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/trunk"
)

// upload returns a request with a body of the given size.
func upload(size int) *trunk.Request {
	return &trunk.Request{
		Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{}, Body: memory.Pieces{bytes.Repeat([]byte("y"), size)},
	}
}

// TestResetBeforeTheRequestIsReadIsNoEnd guards against a part of a body without a length that
// is taken for the whole, as the server has reset the connection while the request was
// being written.
func TestResetBeforeTheRequestIsReadIsNoEnd(t *testing.T) {
	part := bytes.Repeat([]byte("x"), 1<<20)
	statuses := []int{http.StatusOK, http.StatusFound, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusInternalServerError}
	for _, status := range statuses {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			g := NewWithT(t)
			address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = reader.Peek(1)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Early\r\nX-Id: 1\r\nConnection: close\r\n\r\n", status)
				_, _ = conn.Write(part)
				_ = conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			})
			request := upload(16 << 20)
			for range 20 {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				response, err := newTrunk().Do(ctx, address, request)
				if err == nil {
					_, err = io.Copy(io.Discard, response)
					response.Close()
				}
				var brokenError *trunk.BrokenError
				g.Expect(errors.As(err, &brokenError)).To(BeTrue(), "%v", err)
				cancel()
			}
		})
	}
}

// Guards against rejections that count as broken although they end in the regular way, as the
// server does not read the request that it rejects.
func TestRejectionsOfUnreadRequestsAreWhole(t *testing.T) {
	const body = "too large"
	cases := []struct {
		name, sent string
		// lingers reports whether the server closes its side, and the connection later.
		lingers bool
	}{
		{name: "without a length", sent: "HTTP/1.1 413 Too Large\r\nConnection: close\r\n\r\n" + body, lingers: true},
		{name: "in HTTP/1.0", sent: "HTTP/1.0 413 Too Large\r\n\r\n" + body, lingers: true},
		{name: "with a length", sent: "HTTP/1.1 413 Too Large\r\nContent-Length: 9\r\nConnection: close\r\n\r\n" + body},
		{name: "in chunks", sent: "HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n9\r\n" + body + "\r\n0\r\n\r\n"},
		{name: "after an interim response", sent: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 413 Too Large\r\nContent-Length: 9\r\n\r\n" + body},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = reader.Peek(1)
				_, _ = io.WriteString(conn, each.sent)
				if each.lingers {
					_ = conn.(*net.TCPConn).CloseWrite()
					time.Sleep(300 * time.Millisecond)
				}
			})
			for _, size := range []int{1000, 200 << 10, 16 << 20} {
				response, err := newTrunk().Do(context.Background(), address, upload(size))
				g.Expect(err).NotTo(HaveOccurred())
				received, err := io.ReadAll(response)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.Status).To(Equal(http.StatusRequestEntityTooLarge))
				g.Expect(string(received)).To(Equal(body))
				response.Close()
			}
		})
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
		response, err := newTrunk().Do(ctx, address, upload(size))
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("all of it"))
		response.Close()
		cancel()
	}
}
