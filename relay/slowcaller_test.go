package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

// flood returns a handler that sends bytes of a stream as fast as they are read, and counts
// the responses that it cuts off as nothing was read for patience.
func flood(bytes int, patience time.Duration, cut *atomic.Int64) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		controller := http.NewResponseController(writer)
		event := "id: 1\ndata: " + strings.Repeat("x", 8<<10) + "\n\n"
		for sent := 0; sent < bytes; sent += len(event) {
			_ = controller.SetWriteDeadline(time.Now().Add(patience))
			if _, err := io.WriteString(writer, event); err != nil {
				cut.Add(1)
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// beginSlowly sends a request on a connection with a receive buffer, and reads nothing.
func (fixture *fixture) beginSlowly(path string, receiveBytes int) net.Conn {
	conn := fixture.dialFront()
	_ = conn.SetReadBuffer(receiveBytes)
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: desk.example\r\nId: call-1\r\nKey: secret\r\nContent-Length: 0\r\n\r\n", path)
	return conn
}

// TestServersDoNotWaitForSlowCallers guards against servers that cut off a response, or run out
// of memory, as its caller reads slowly: the relay reads on, and the caller gets all of it.
func TestServersDoNotWaitForSlowCallers(t *testing.T) {
	cases := []struct {
		name string
		kind policy.Kind
	}{
		{name: "a stream", kind: policy.KindStream},
		{name: "a large response", kind: policy.KindSafe},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			budget := memory.NewBudget(256 << 20)
			draft := route("draft", each.kind, "desk")
			draft.Timeout = 20 * time.Second
			draft.Objective = 10 * time.Second
			fixture := newMemoryFixture(t, budget, draft)
			var cut atomic.Int64
			fixture.server("desk-1", "desk", flood(24<<20, time.Second, &cut))
			conn := fixture.beginSlowly("/draft/1", 256<<10)
			g.Eventually(func() int64 { return budget.Held(memory.Stream) }).WithTimeout(10 * time.Second).Should(BeNumerically(">", 8<<20))
			time.Sleep(1500 * time.Millisecond)
			g.Expect(cut.Load()).To(BeZero())
			expectWhole(g, conn, budget, 24<<20)
		})
	}
}

// expectWhole reads a response to its end and expects at least a number of bytes, and that
// nothing is held for it afterwards.
func expectWhole(g *WithT, conn io.Reader, budget *memory.Budget, least int) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	read, err := io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(BeNumerically(">=", least))
	g.Eventually(func() int64 { return budget.Held(memory.Stream) + budget.Held(memory.Response) }).Should(BeZero())
}

// TestServersDoNotWaitForTheFirstPart guards against servers that wait while the part of a large
// response that was read before any of it was forwarded goes to a slow caller.
func TestServersDoNotWaitForTheFirstPart(t *testing.T) {
	g := NewWithT(t)
	budget := memory.NewBudget(256 << 20)
	draft := route("draft", policy.KindSafe, "desk")
	draft.Timeout, draft.Objective = 20*time.Second, 10*time.Second
	fixture := newMemoryFixture(t, budget, draft)
	var cut, ended atomic.Int64
	send := flood(16<<20, time.Second, &cut)
	fixture.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
		send(writer, request)
		ended.Add(1)
	})
	conn := fixture.beginSlowly("/draft/1", 32<<10)
	// The kernel takes less than what is read before any of it is forwarded.
	g.Eventually(func() int64 { return ended.Load() + cut.Load() }).WithTimeout(10 * time.Second).Should(Equal(int64(1)))
	g.Expect(cut.Load()).To(BeZero())
	expectWhole(g, conn, budget, 16<<20)
}

// TestManySlowCallersDoNotKeepOthersOut guards against callers that request responses and read
// nothing until the memory is exhausted: the slowest are ended, and others are served.
func TestManySlowCallersDoNotKeepOthersOut(t *testing.T) {
	g := NewWithT(t)
	const limit, callers = 16 << 20, 1000
	budget := memory.NewBudget(limit)
	draft := route("draft", policy.KindStream, "desk")
	draft.Timeout = 20 * time.Second
	sound := route("sound", policy.KindStream, "sound")
	sound.Timeout = 20 * time.Second
	fixture := newMemoryFixture(t, budget, draft, sound)
	var cut atomic.Int64
	fixture.server("desk-1", "desk", flood(4<<20, 25*time.Second, &cut))
	soundSeen := fixture.server("sound-1", "sound", trickle("id: 1\ndata: piece\n\n", 50))
	for _, server := range fixture.pool.Servers(time.Now()) {
		fixture.pool.Put(&pool.Server{ID: server.ID, Service: server.Service, Address: server.Address, Domain: "a", Slots: 4 * callers})
	}
	inProgress := make(chan result, 1)
	go func() { inProgress <- fixture.call(http.MethodPost, "/sound/1", "prompt", nil) }()
	g.Eventually(soundSeen.count).Should(Equal(1))
	var begun sync.WaitGroup
	for range 20 {
		begun.Go(func() {
			for range callers / 20 {
				fixture.beginSlowly("/draft/1", 4<<10)
			}
		})
	}
	begun.Wait()
	// What requests in progress can't do without may exceed the limit by a piece for each.
	g.Consistently(func() int64 { return budget.Held(memory.Stream) }).WithTimeout(2 * time.Second).Should(BeNumerically("<=", limit+callers*(16<<10)))
	result := <-inProgress
	g.Expect(result.err).NotTo(HaveOccurred(), "a request in progress goes on")
	g.Expect(strings.Count(result.body, "piece")).To(Equal(50))
	g.Eventually(func() int {
		return fixture.call(http.MethodPost, "/sound/1", "prompt", nil).status
	}).WithTimeout(20*time.Second).Should(Equal(http.StatusOK), "the slow callers are ended")
}

// TestSlowServerDoesNotKeepOthersOut guards against a server that takes no bodies: what is held
// for it is given back when its requests end, and requests to other servers are served
// meanwhile.
func TestSlowServerDoesNotKeepOthersOut(t *testing.T) {
	g := NewWithT(t)
	budget := memory.NewBudget(2 << 20)
	order, look := route("order", policy.KindUnsafe, "desk"), route("look", policy.KindUnsafe, "sound")
	order.Timeout = 3 * time.Second
	fixture := newMemoryFixture(t, budget, order, look)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	// The listener's connections are never accepted, so that nothing reads from them.
	fixture.pool.Put(&pool.Server{ID: "desk-1", Service: "desk", Address: listener.Addr().String(), Domain: "a", Slots: 16})
	fixture.server("sound-1", "sound", func(http.ResponseWriter, *http.Request) {})
	var orders sync.WaitGroup
	for range 4 {
		orders.Go(func() { fixture.call(http.MethodPost, "/order/1", strings.Repeat("x", 900<<10), nil) })
	}
	g.Eventually(func() int64 { return budget.Held(memory.Body) }).Should(BeNumerically(">", 1<<20))
	g.Expect(fixture.call(http.MethodPost, "/look/1", "small", nil).status).To(Equal(http.StatusOK))
	orders.Wait()
	g.Eventually(func() int64 { return budget.Held(memory.Body) + budget.Promised() }).Should(BeZero())
}
