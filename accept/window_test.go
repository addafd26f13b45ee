package accept

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Guards against bodies that stall on a kept connection, as its window has become smaller than the
// segments that the peer has chosen for the earlier one.
func TestWindowsDoNotShrinkBetweenRequests(t *testing.T) {
	g := NewWithT(t)
	listener, err := Listen(t.Context(), "127.0.0.1:0", ListenerConfig{Table: newTestTable(nil)})
	g.Expect(err).NotTo(HaveOccurred())
	server := NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.WriteHeader(http.StatusNoContent)
	}), nil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var largest uint32
	for _, length := range []int{100, 1 << 20, 100, 100, 100 << 10, 100} {
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("a", length))
		g.Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		window := sendWindow(g, conn.(*net.TCPConn))
		g.Expect(window).To(BeNumerically(">=", largest/2), "after a body of %d bytes", length)
		largest = max(largest, window)
	}
	g.Expect(largest).To(BeNumerically("<=", kernelRatio*bodyReceiveBytes))
}

// sendWindow returns the window that the peer of a connection has announced.
func sendWindow(g *WithT, conn *net.TCPConn) uint32 {
	raw, err := conn.SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	var window uint32
	g.Expect(control(raw, func(descriptor int) error {
		info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			window = info.Snd_wnd
		}
		return err
	})).To(Succeed())
	return window
}
