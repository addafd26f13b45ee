package accept

import (
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

func TestConnectionsOfOneAddressAreLimited(t *testing.T) {
	g := NewWithT(t)
	limited := listenLocally(t, ListenerConfig{Table: newTestTable(nil), PerAddress: 2})
	accepted := make(chan net.Conn)
	go func() {
		for {
			connection, err := limited.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- connection
		}
	}()
	dial := func() (net.Conn, error) {
		connection, err := net.Dial("tcp", limited.Addr().String())
		if err == nil {
			t.Cleanup(func() { connection.Close() })
		}
		return connection, err
	}
	connect := func() {
		_, err := dial()
		g.Expect(err).NotTo(HaveOccurred())
	}
	// A reset may come while the connection is being opened or later.
	expectReset := func() {
		refused, err := dial()
		if err == nil {
			_, err = refused.Read(make([]byte, 1))
		}
		g.Expect(err).To(MatchError(syscall.ECONNRESET))
	}
	connect()
	first := <-accepted
	connect()
	<-accepted
	expectReset()
	g.Expect(first.Close()).To(Succeed())
	g.Expect(first.Close()).NotTo(Succeed(), "a second close does not decrement the count again")
	connect()
	g.Expect(<-accepted).NotTo(BeNil())
	expectReset()
}
