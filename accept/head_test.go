package accept

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/memory"
)

// Guards against requests that are cut, joined or lost where a head or body is found to end at
// another place than package net/http finds it.
func TestRequestsArriveInAnyPieces(t *testing.T) {
	bodies := []struct{ fields, text, body string }{
		{"", "", ""},
		{"Content-Length: 5\r\n", "hello", "hello"},
		{"content-length:0\n", "", ""},
		{"Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n00A;x=y\r\n0123456789\r\n0\r\n\r\n", "abc0123456789"},
		{"transfer-encoding:chunked\r\nTrailer: T\r\n", "1 \r\na\r\n0\r\nT: t\r\n\r\n", "a"},
		{"Content-Length: 9000\r\n", strings.Repeat("GET / HT\n", 1000), strings.Repeat("GET / HT\n", 1000)},
	}
	received := make(chan string, 100)
	listener := listenLocally(t, ListenerConfig{Table: newTestTable(nil)})
	server := NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		received <- fmt.Sprint(request.URL.Path, string(body), err)
		writer.WriteHeader(http.StatusNoContent)
	}), nil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(t)
		var text string
		var expected []string
		for number := range rapid.IntRange(1, 5).Draw(rt, "requests") {
			body := bodies[rapid.IntRange(0, len(bodies)-1).Draw(rt, "body")]
			fields := strings.Repeat("a: b\r\n", rapid.IntRange(0, 900).Draw(rt, "fields"))
			text += fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: a\r\n%s%s\r\n%s", number, fields, body.fields, body.text)
			expected = append(expected, fmt.Sprintf("/%d%s%v", number, body.body, error(nil)))
		}
		conn, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		for text != "" {
			length := min(rapid.IntRange(1, 5000).Draw(rt, "piece"), len(text))
			_, err = io.WriteString(conn, text[:length])
			g.Expect(err).NotTo(HaveOccurred())
			text = text[length:]
		}
		for _, each := range expected {
			g.Eventually(received).Should(Receive(Equal(each)))
		}
	})
}

// Guards against heads beyond the limits that are kept or answered with success, and against heads
// within them that are refused.
func TestHeadsBeyondTheLimitsAreRefused(t *testing.T) {
	const budget = 4 << 20
	cases := []struct {
		name   string
		text   string
		status int
		// held is what other connections hold, late whether the head takes too long.
		held int64
		late bool
	}{
		{name: "usual", text: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", status: http.StatusNoContent},
		{name: "many short fields", text: "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("1a2b:\r\n", 2000) + "\r\n", status: http.StatusNoContent},
		{name: "too long", text: "GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 21<<10), status: http.StatusRequestHeaderFieldsTooLarge},
		{name: "empty lines", text: "\r\n\r\n\r\n", status: http.StatusBadRequest},
		{name: "unfinished", text: "GET / HTTP/1.1\r\n", late: true, status: http.StatusRequestTimeout},
		{name: "large without memory", text: "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("1a2b:\r\n", 2000) + "\r\n", held: 2 << 20, status: http.StatusServiceUnavailable},
		{name: "small beside a full part of the memory", text: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", held: 2 << 20, status: http.StatusNoContent},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			table := newTestTable(nil)
			table.config.Memory = memory.NewBudget(budget)
			g.Expect(table.config.Memory.NewAccount().TryHoldConnection(each.held, 0)).To(BeTrue())
			listener := listenLocally(t, ListenerConfig{Table: table})
			listener.SetLimits(Limits{HeadBytes: 16 << 10, HeadTimeout: time.Second})
			server := NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) }), nil)
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { server.Close() })
			conn, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = io.WriteString(conn, each.text)
			g.Expect(err).NotTo(HaveOccurred())
			if each.late {
				g.Eventually(func() bool { return table.config.Memory.Held(memory.Connection) > 0 }).Should(BeTrue())
				time.Sleep(50 * time.Millisecond)
				table.Sweep(time.Now())
				table.Sweep(time.Now().Add(2 * time.Second))
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			response.Body.Close()
			g.Expect(response.StatusCode).To(Equal(each.status))
			if each.status == http.StatusServiceUnavailable {
				g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
			}
		})
	}
}

// Guards against connections that keep others out although they have sent no whole request for
// longest, and against those that make way with a request in progress.
func TestConnectionsWithoutWholeRequestsMakeWay(t *testing.T) {
	g := NewWithT(t)
	table := newTestTable(nil)
	table.config.Descriptors = 8
	table.Sweep(time.Now())
	listener := listenLocally(t, ListenerConfig{Table: table})
	begun, over := make(chan string, 10), make(chan struct{})
	server := NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		begun <- request.URL.Path
		<-over
		writer.WriteHeader(http.StatusNoContent)
	}), nil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { conn.Close() })
		_, err = io.WriteString(conn, text)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		return conn
	}
	whole := "GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"
	first := dial(fmt.Sprintf(whole, "first"))
	g.Eventually(begun).Should(Receive(Equal("/first")))
	waiting := []net.Conn{dial(""), dial("GET / HT"), dial("POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"), dial(""), dial("")}
	for index := range 3 {
		path := fmt.Sprintf("later%d", index)
		dial(fmt.Sprintf(whole, path))
		_ = waiting[index].SetReadDeadline(time.Now().Add(5 * time.Second))
		answer, err := io.ReadAll(waiting[index])
		g.Expect(err).NotTo(HaveOccurred(), "the connection that has waited for longest is closed")
		if index == 1 {
			g.Expect(string(answer)).To(HavePrefix("HTTP/1.1 503 "), "its request has not run")
		}
		g.Eventually(begun).Should(Receive(HaveSuffix(path)))
	}
	close(over)
	response, err := http.ReadResponse(bufio.NewReader(first), nil)
	g.Expect(err).NotTo(HaveOccurred(), "requests in progress make no way")
	response.Body.Close()
}
