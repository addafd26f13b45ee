package trunk_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/trunk"
)

// serve starts a server that runs script on each connection. It returns the server's
// address and the number of connections so far.
func serve(t *testing.T, script func(conn net.Conn, reader *bufio.Reader)) (string, *atomic.Int64) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var connections atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), &connections
}

func newTrunk() *trunk.Trunk {
	return trunk.New(trunk.Config{Clock: clock.NewService(clock.ServiceConfig{})})
}

func get(id string) *trunk.Request {
	return &trunk.Request{
		Method: http.MethodGet, Target: "/a?b=c", Host: "notes", Header: http.Header{"X-Id": {id}},
		Matches: func(header http.Header) bool { return header.Get("X-Id") == id },
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// fetch sends a request and reads the complete response.
func fetch(client *trunk.Trunk, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := client.Do(ctx, address, get(id))
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func readRequest(reader *bufio.Reader) string {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("X-Id")
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			_, _ = fmt.Fprint(conn, answer(id, "body of "+id))
		}
	})
	client := newTrunk()
	for _, id := range []string{"1", "2", "3"} {
		body, err := fetch(client, address, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("body of " + id))
	}
	g.Expect(connections.Load()).To(Equal(int64(1)))
}

func TestAnswersOfOthersArePassedOver(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		id := readRequest(reader)
		_, _ = fmt.Fprint(conn, answer("another", "stray")+answer(id, "mine"))
		readRequest(reader)
	})
	body, err := fetch(newTrunk(), address, "1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("mine"))
}

func TestExtraBytesEndAConnection(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			_, _ = fmt.Fprint(conn, answer(id, "body")+answer(id, "extra"))
		}
	})
	client := newTrunk()
	for _, id := range []string{"1", "1", "1"} {
		body, err := fetch(client, address, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("body"))
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(connections.Load()).To(Equal(int64(3)))
}

func TestBrokenAnswers(t *testing.T) {
	cases := []struct {
		name string
		sent string
	}{
		{"nothing", ""},
		{"no answer of the protocol", "garbage\r\n\r\n"},
		{"a body that is cut", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nshort"},
		{"chunks that are cut", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = fmt.Fprint(conn, each.sent)
			})
			_, err := fetch(newTrunk(), address, "1")
			var brokenError *trunk.BrokenError
			g.Expect(errors.As(err, &brokenError)).To(BeTrue(), "%v", err)
		})
	}
}

func TestRefusedConnectionIsUnsent(t *testing.T) {
	g := NewWithT(t)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	listener.Close()
	_, err = fetch(newTrunk(), address, "1")
	var unsentError *trunk.UnsentError
	g.Expect(errors.As(err, &unsentError)).To(BeTrue(), "%v", err)
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = fmt.Fprint(conn, answer(readRequest(reader), "body"))
	})
	client := newTrunk()
	for _, id := range []string{"1", "2"} {
		_, err := fetch(client, address, id)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
	}
	g.Expect(connections.Load()).To(Equal(int64(2)))
}

func TestAnswerBeforeALongBodyIsRead(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		line, _ := reader.ReadString('\n')
		if !strings.HasPrefix(line, "POST") {
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 413 Too Large\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
	})
	client := newTrunk()
	for range 2 {
		request := get("1")
		request.Method, request.Body = http.MethodPost, memory.Pieces{make([]byte, 8<<20)}
		response, err := client.Do(context.Background(), address, request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Status).To(Equal(http.StatusRequestEntityTooLarge))
		_, err = io.ReadAll(response)
		g.Expect(err).NotTo(HaveOccurred())
		response.Close()
	}
	g.Expect(connections.Load()).To(Equal(int64(2)), "no request follows an incomplete body")
}

func TestLeavingCallerClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newTrunk().Do(ctx, address, get("1"))
	g.Expect(err).To(HaveOccurred())
	g.Eventually(closed, 500*time.Millisecond).Should(BeClosed())
}

func TestUnframedBodyEndsWithItsConnection(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
	})
	body, err := fetch(newTrunk(), address, "1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("all of it"))
}

func TestResetUnframedBodyIsNotWhole(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
		time.Sleep(50 * time.Millisecond)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	})
	_, err := fetch(newTrunk(), address, "1")
	var brokenError *trunk.BrokenError
	g.Expect(errors.As(err, &brokenError)).To(BeTrue(), "%v", err)
}

// TestWithdrawnRequestsAreNotSent checks that a request is not sent if it is no longer
// wanted when its connection is ready, as after a freeze of the process or a slow dial.
func TestWithdrawnRequestsAreNotSent(t *testing.T) {
	g := NewWithT(t)
	var got atomic.Int64
	address, connections := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			got.Add(1)
			_, _ = fmt.Fprint(conn, answer(id, "fine"))
		}
	})
	wanted := true
	client := trunk.New(trunk.Config{Clock: clock.NewService(clock.ServiceConfig{}), Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		wanted = false
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	request := get("one")
	request.StillWanted = func() bool { return wanted }
	_, err := client.Do(context.Background(), address, request)
	var unsentError *trunk.UnsentError
	g.Expect(errors.As(err, &unsentError)).To(BeTrue(), "%v", err)
	g.Expect(fetch(client, address, "two")).To(Equal("fine"))
	g.Expect(got.Load()).To(Equal(int64(1)))
	g.Expect(connections.Load()).To(Equal(int64(1)), "the connection is reused")
}

// TestHeadsWithoutEnd checks that a connection is closed after a bounded number of
// bytes, long before the timeout, if a server sends an endless header or no response.
func TestHeadsWithoutEnd(t *testing.T) {
	repeat := func(first, text string) func(net.Conn, *bufio.Reader) {
		return func(conn net.Conn, reader *bufio.Reader) {
			readRequest(reader)
			_, err := fmt.Fprint(conn, first)
			for err == nil {
				_, err = fmt.Fprint(conn, text)
			}
		}
	}
	stray := answer("other", "late")
	cases := []struct {
		name   string
		script func(net.Conn, *bufio.Reader)
	}{
		{"one line", repeat("", "HTTP/1.1 200 OK of much text ")},
		{"no line of an answer", repeat("", "\x00\xff\x07")},
		{"header lines", repeat("HTTP/1.1 200 OK\r\n", "X-More: and more\r\n")},
		{"the value of one header", repeat("HTTP/1.1 200 OK\r\nX-More: ", "and more ")},
		{"a folded header", repeat("HTTP/1.1 200 OK\r\nX-More: a\r\n", " and more\r\n")},
		{"interim answers", repeat("", "HTTP/1.1 102 Processing\r\n\r\n")},
		{"answers of others", repeat("", stray)},
		{"a body of another", repeat("HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("x", 4096)+"\r\n")},
		{"a head after an answer of another", repeat(stray+"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n")},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := serve(t, each.script)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := newTrunk().Do(ctx, address, get("one"))
			var brokenError *trunk.BrokenError
			g.Expect(errors.As(err, &brokenError)).To(BeTrue(), "%v", err)
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the size limit ends it, not the timeout")
		})
	}
}

// TestBodiesWithoutEnd checks that an endless body can be read until the caller closes
// the response, and that reading it takes bounded memory.
func TestBodiesWithoutEnd(t *testing.T) {
	cases := []struct {
		name  string
		first string
		text  string
	}{
		{"no length", "HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\n", strings.Repeat("x", 4096)},
		{"chunks", "HTTP/1.1 200 OK\r\nX-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		{"the size of a chunk", "HTTP/1.1 200 OK\r\nX-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		{"trailers", "HTTP/1.1 200 OK\r\nX-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: and more\r\n"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			closed := make(chan struct{})
			address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				defer close(closed)
				readRequest(reader)
				// The server must not allocate: it runs in the process that is measured.
				text := []byte(each.text)
				_, err := fmt.Fprint(conn, each.first)
				for err == nil {
					_, err = conn.Write(text)
				}
			})
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			response, err := newTrunk().Do(ctx, address, get("one"))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, io.LimitReader(response, 64<<20))
			runtime.ReadMemStats(&after)
			if err == nil {
				// The response is valid; the caller decides how much of it to read.
				g.Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", 8<<20), "of 64 MiB read")
			}
			response.Close()
			g.Eventually(closed, 5*time.Second).Should(BeClosed())
			g.Expect(ctx.Err()).NotTo(HaveOccurred())
		})
	}
}

// TestRequestsThatResponsesDoNotNameGetNoEarlierResponse checks requests without Matches: no
// response to an earlier request arrives on their connection, and theirs, if it comes
// twice, is skipped by later requests.
func TestRequestsThatResponsesDoNotNameGetNoEarlierResponse(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		former := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = fmt.Fprint(conn, former)
			former = answer(request.Header.Get("X-Id"), "body of "+request.Header.Get("X-Id"))
			_, _ = fmt.Fprint(conn, former)
		}
	})
	client := newTrunk()
	for number, each := range []struct {
		id    string
		named bool
	}{{"1", true}, {"2", false}, {"3", true}, {"4", false}, {"5", true}, {"6", true}} {
		request := get(each.id)
		if !each.named {
			request.Matches = nil
		}
		response, err := client.Do(context.Background(), address, request)
		g.Expect(err).NotTo(HaveOccurred(), "request %d", number)
		body, err := io.ReadAll(response)
		response.Close()
		g.Expect(err).NotTo(HaveOccurred(), "request %d", number)
		g.Expect(string(body)).To(Equal("body of "+each.id), "request %d", number)
	}
	g.Expect(connections.Load()).To(Equal(int64(3)), "the first, and one for each request without Matches")
}

// TestBoundOfSkippedResponsesHoldsAfterInterimOnes checks that interim responses don't raise
// the number of responses to other requests that are skipped.
func TestBoundOfSkippedResponsesHoldsAfterInterimOnes(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	cases := []struct {
		name    string
		sent    string
		skipped int
		broken  bool
	}{
		{name: "interim responses", sent: strings.Repeat(interim, 20)},
		{name: "two others", sent: answer("0", "a") + interim + answer("0", "b"), skipped: 2},
		{name: "two others after interim responses", sent: strings.Repeat(interim, 3) + answer("0", "a") + answer("0", "b"), skipped: 2},
		{name: "three others", sent: strings.Repeat(answer("0", "a"), 3), skipped: 3, broken: true},
		{name: "three others after interim responses", sent: strings.Repeat(interim, 3) + strings.Repeat(answer("0", "a"), 3), skipped: 3, broken: true},
		{name: "a switch of protocols", sent: "HTTP/1.1 101 Switching Protocols\r\n\r\n", broken: true},
		{name: "another that closes the connection", sent: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", skipped: 1, broken: true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				id := readRequest(reader)
				_, _ = fmt.Fprint(conn, each.sent+answer(id, "mine"))
				readRequest(reader)
			})
			skipped := 0
			request := get("1")
			request.Skipped = func(status int, _ http.Header) {
				skipped++
				g.Expect(status).To(Equal(http.StatusOK))
			}
			response, err := newTrunk().Do(context.Background(), address, request)
			g.Expect(skipped).To(Equal(each.skipped))
			var brokenError *trunk.BrokenError
			g.Expect(errors.As(err, &brokenError)).To(Equal(each.broken), "%v", err)
			if err == nil {
				response.Close()
			}
		})
	}
}

// TestConnectionsAreNotUsedAfterHead checks that a late response to HEAD, which has a length
// and no body, does not meet another request.
func TestConnectionsAreNotUsedAfterHead(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\n"
		readRequest(reader)
		_, _ = fmt.Fprint(conn, head)
		if id := readRequest(reader); id != "" {
			_, _ = fmt.Fprint(conn, head+answer(id, "mine"))
		}
	})
	client := newTrunk()
	request := get("1")
	request.Method = http.MethodHead
	for range 2 {
		response, err := client.Do(context.Background(), address, request)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response)
		g.Expect(err).NotTo(HaveOccurred())
		response.Close()
	}
	g.Expect(connections.Load()).To(Equal(int64(2)))
}

// TestStatusLineInsideEarlierHeaderIsNoResponse checks responses that follow a copy of an
// earlier one that was cut within its header.
func TestStatusLineInsideEarlierHeaderIsNoResponse(t *testing.T) {
	for _, cut := range []string{
		"HTTP/1.1 503 ", "HTTP/1.1 503 Service Unav", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: ", "HTTP/1.1 200 OK\r\nContent-Type: te",
		"HTTP/1.1 503 Service Unavailable\r\n", "HTTP/1.1 503 Service Unavailable\r\nNot-R", "HTTP/1.1 50", "HTTP",
		"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n ", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nOther: ",
	} {
		t.Run(cut, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				id := readRequest(reader)
				_, _ = fmt.Fprint(conn, cut+answer(id, "mine"))
				readRequest(reader)
			})
			_, err := newTrunk().Do(context.Background(), address, get("1"))
			var brokenError *trunk.BrokenError
			g.Expect(errors.As(err, &brokenError)).To(BeTrue(), "%v", err)
		})
	}
}

// TestWithdrawnRequestsDoNotProlongIdleConnections checks that a connection is not used
// beyond the server's idle limit because withdrawn requests have taken it and put it back.
func TestWithdrawnRequestsDoNotProlongIdleConnections(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nfine", id)
		}
	})
	fake := clockwork.NewFakeClock()
	client := trunk.New(trunk.Config{Clock: clock.NewService(clock.ServiceConfig{Clock: fake})})
	g.Expect(fetch(client, address, "1")).To(Equal("fine"))
	for range 3 {
		fake.Advance(2 * time.Second)
		withdrawn := get("withdrawn")
		withdrawn.StillWanted = func() bool { return false }
		_, err := client.Do(context.Background(), address, withdrawn)
		var unsentError *trunk.UnsentError
		g.Expect(errors.As(err, &unsentError)).To(BeTrue(), "%v", err)
	}
	g.Eventually(connections.Load).Should(Equal(int64(2)), "the first connection has been idle for six seconds")
	fake.Advance(2 * time.Second)
	g.Expect(fetch(client, address, "2")).To(Equal("fine"))
	g.Expect(connections.Load()).To(Equal(int64(2)), "the second one is new enough")
}

// TestWithdrawnRequestDoesNotEndFresherConnections checks that connections that became
// idle while a withdrawn request held another are still used.
func TestWithdrawnRequestDoesNotEndFresherConnections(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nfine", id)
		}
	})
	fake := clockwork.NewFakeClock()
	client := trunk.New(trunk.Config{Clock: clock.NewService(clock.ServiceConfig{Clock: fake})})
	g.Expect(fetch(client, address, "1")).To(Equal("fine"))
	fake.Advance(3 * time.Second)
	withdrawn := get("withdrawn")
	withdrawn.StillWanted = func() bool {
		g.Expect(fetch(client, address, "2")).To(Equal("fine"))
		return false
	}
	_, err := client.Do(context.Background(), address, withdrawn)
	g.Expect(err).To(HaveOccurred())
	fake.Advance(3 * time.Second)
	g.Expect(fetch(client, address, "3")).To(Equal("fine"))
	g.Expect(connections.Load()).To(Equal(int64(2)), "the connection of the second request is three seconds old")
}
