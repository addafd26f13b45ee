package accept

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

// Guards against a request that gets neither an answer nor a refusal, as its connection counts
// as idle until its header is read and is closed meanwhile: when the limit for idle connections
// has been lowered, or at a stop.
func TestIdleConnectionsAreNotClosedUnderRequests(t *testing.T) {
	const (
		callers = 64
		played  = 4 * time.Second
	)
	g := NewWithT(t)
	var begun sync.Map
	server := NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		begun.Store(request.URL.Path, true)
		writer.WriteHeader(http.StatusOK)
	}), nil)
	listener := listenLocally(t, ListenerConfig{Table: newTestTable(nil)})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })

	ended := time.After(played)
	var lost, closed, answered atomic.Int64
	stop := make(chan struct{})
	var running sync.WaitGroup
	for caller := range callers {
		running.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				if conn == nil {
					dialed, err := net.Dial("tcp", listener.Addr().String())
					if err != nil {
						return
					}
					conn, reader = dialed, bufio.NewReader(dialed)
				}
				path := fmt.Sprintf("/%d/%d", caller, number)
				_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok", path)
				if err == nil {
					var response *http.Response
					if response, err = http.ReadResponse(reader, nil); err == nil {
						answered.Add(1)
						response.Body.Close()
					}
				}
				if err != nil {
					closed.Add(1)
					time.Sleep(20 * time.Millisecond)
					if _, found := begun.Load(path); found {
						lost.Add(1)
					}
					conn.Close()
					conn = nil
				}
				time.Sleep(rand.N(2 * time.Millisecond))
			}
		})
	}
	for playing := true; playing; {
		select {
		case <-ended:
			playing = false
		default:
			listener.CloseIdle()
			time.Sleep(100 * time.Microsecond)
		}
	}
	close(stop)
	running.Wait()
	t.Logf("%d answered, %d connections closed under a request, %d of these requests had begun", answered.Load(), closed.Load(), lost.Load())
	g.Expect(answered.Load()).To(BeNumerically(">", 100))
	g.Expect(lost.Load()).To(BeZero())
}

// Guards against connections that are closed by a new limit while their callers still observe
// the former, higher one.
func TestLoweredIdleLimitHoldsForNewIdlePeriods(t *testing.T) {
	g := NewWithT(t)
	fake := clockwork.NewFakeClock()
	table := newTestTable(fake)
	listener := listenLocally(t, ListenerConfig{Table: table})
	sweep := func(limit time.Duration) {
		listener.SetLimits(Limits{IdleTimeout: limit})
		table.Sweep(fake.Now())
	}
	idle := func() *Conn {
		conn, _ := acceptFrom(t, listener)
		SetState(conn, http.StateIdle)
		go func() { _, _ = conn.Read(make([]byte, 1)) }()
		g.Eventually(func() bool {
			conn.mutex.Lock()
			defer conn.mutex.Unlock()
			return conn.reading
		}).Should(BeTrue())
		return conn
	}
	closing := func(conn *Conn) bool {
		conn.mutex.Lock()
		defer conn.mutex.Unlock()
		return conn.ending != notEnding || !conn.reading
	}
	sweep(20 * time.Second)
	former := idle()
	fake.Advance(10 * time.Second)
	sweep(5 * time.Second)
	next := idle()
	g.Expect(closing(former)).To(BeFalse(), "10 s of 20 s")
	fake.Advance(6 * time.Second)
	sweep(5 * time.Second)
	g.Expect(closing(former)).To(BeFalse(), "16 s of 20 s")
	g.Expect(closing(next)).To(BeTrue(), "6 s of 5 s")
	sweep(30 * time.Second)
	fake.Advance(6 * time.Second)
	sweep(30 * time.Second)
	g.Expect(closing(former)).To(BeFalse(), "22 s of 30 s: a higher limit holds at once")
	fake.Advance(10 * time.Second)
	sweep(30 * time.Second)
	g.Expect(closing(former)).To(BeTrue(), "32 s of 30 s")
}

// Guards against connections without a request that a stop closes while their first one arrives,
// and that the limit for idle ones ends before their caller has sent any.
func TestUnusedConnectionsAreClosedByStopsOnly(t *testing.T) {
	g := NewWithT(t)
	fake := clockwork.NewFakeClock()
	table := newTestTable(fake)
	listener := listenLocally(t, ListenerConfig{Table: table})
	reading := func() (accepted *Conn, dialed net.Conn, read chan error) {
		accepted, dialed = acceptFrom(t, listener)
		read = make(chan error, 1)
		go func() {
			_, err := accepted.Read(make([]byte, 64))
			read <- err
		}()
		g.Eventually(func() bool {
			accepted.mutex.Lock()
			defer accepted.mutex.Unlock()
			return accepted.reading
		}).Should(BeTrue())
		return accepted, dialed, read
	}
	_, _, unused := reading()
	_, dialed, used := reading()
	listener.SetLimits(Limits{IdleTimeout: time.Second})
	table.Sweep(fake.Now().Add(time.Hour))
	g.Consistently(unused, 50*time.Millisecond).ShouldNot(Receive())
	_, err := io.WriteString(dialed, "GET / HTTP/1.1\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(used).Should(Receive(BeNil()))
	listener.CloseIdle()
	g.Eventually(unused).Should(Receive(MatchError(io.EOF)))
	g.Expect(listener.OpenCount()).To(Equal(2))
}
