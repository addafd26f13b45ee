package accept

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/memory"
)

// newTestTable returns a table without bounds.
func newTestTable(clockwork clockwork.Clock) *Table {
	log, _ := test.NewNullLogger()
	return NewTable(TableConfig{
		Memory: memory.NewBudget(0), Clock: clock.NewService(clock.ServiceConfig{Clock: clockwork}), Metrics: metrics.NewRegistry(), Log: log,
	})
}

// listenLocally returns a listener at a free port.
func listenLocally(t *testing.T, config ListenerConfig) *Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	config.Listener = listener
	return NewListener(config)
}

// acceptFrom returns both ends of a connection to a listener.
func acceptFrom(t *testing.T, listener *Listener) (accepted *Conn, dialed net.Conn) {
	t.Helper()
	g := NewWithT(t)
	dialed, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { dialed.Close() })
	conn, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	accepted, ok := conn.(*Conn)
	g.Expect(ok).To(BeTrue())
	return accepted, dialed
}

// acceptOpaque returns both ends of a connection whose bytes are read as they come.
func acceptOpaque(t *testing.T, reportUnanswered func(Unanswered)) (accepted *Conn, dialed net.Conn) {
	t.Helper()
	return acceptFrom(t, listenLocally(t, ListenerConfig{Table: newTestTable(nil), Opaque: true, ReportUnanswered: reportUnanswered}))
}

// Guards against connections that this process closes under a request and that no log shows.
func TestConnectionsClosedUnderRequestsAreReported(t *testing.T) {
	cases := []struct {
		name string
		// sent is what the caller sends, of which read bytes are read, answer what it gets.
		sent   string
		read   int
		answer string
		// idle reports whether the connection becomes idle afterwards, left whether the caller
		// closes it.
		idle, left bool
		reported   []Unanswered
	}{
		{name: "a request that was read", sent: "request", read: 7, reported: []Unanswered{{Read: 7}}},
		{name: "a request of which a part was read", sent: "request", read: 3, reported: []Unanswered{{Read: 3, Unread: 4}}},
		{name: "a request that was not read", sent: "request", reported: []Unanswered{{Unread: 7}}},
		{name: "an answered request", sent: "request", read: 7, answer: "answer", idle: true},
		{name: "a request after an answered one", sent: "request", read: 3, answer: "answer", idle: true, reported: []Unanswered{{Unread: 4}}},
		{name: "a response that has begun", sent: "request", read: 7, answer: "ans"},
		{name: "no request"},
		{name: "a caller that has left", sent: "request", read: 7, left: true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			var reported []Unanswered
			accepted, dialed := acceptOpaque(t, func(lost Unanswered) {
				lost.Remote = nil
				reported = append(reported, lost)
			})
			_, err := io.WriteString(dialed, each.sent)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(accepted, make([]byte, each.read))
			g.Expect(err).NotTo(HaveOccurred())
			if each.answer != "" {
				_, err = io.WriteString(accepted, each.answer)
				g.Expect(err).NotTo(HaveOccurred())
			}
			if each.idle {
				accepted.setIdle(true)
			}
			if each.left {
				dialed.Close()
				_, err = accepted.Read(make([]byte, 1))
				g.Expect(err).To(MatchError(io.EOF))
			}
			g.Eventually(accepted.unread).Should(BeNumerically("==", len(each.sent)-each.read))
			g.Expect(accepted.Close()).To(Succeed())
			_ = accepted.Close()
			g.Expect(reported).To(Equal(each.reported))
		})
	}
}

// Guards against requests that arrive just before an idle connection is closed and are not
// read: the wait for them has ended, and nothing looked whether they had arrived.
func TestRequestThatArrivesAtTheCloseIsRead(t *testing.T) {
	g := NewWithT(t)
	accepted, dialed := acceptOpaque(t, nil)
	accepted.setIdle(true)
	// Read has been called, but the goroutine has not got to wait for bytes yet.
	accepted.mutex.Lock()
	accepted.reading = true
	accepted.mutex.Unlock()
	g.Expect(accepted.closeIdle()).To(BeTrue())
	_, err := io.WriteString(dialed, "request")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(accepted.unread).Should(BeNumerically("==", 7))
	buffer := make([]byte, 16)
	count, err := accepted.Read(buffer)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(buffer[:count])).To(Equal("request"))
	go func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(dialed, "more")
	}()
	count, err = accepted.Read(buffer)
	g.Expect(err).NotTo(HaveOccurred(), "the connection stays open")
	g.Expect(string(buffer[:count])).To(Equal("more"))
}
