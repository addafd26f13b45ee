package accept

import (
	"net"
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
	dial := func() net.Conn {
		connection, err := net.Dial("tcp", limited.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { connection.Close() })
		return connection
	}
	dial()
	first := <-accepted
	dial()
	<-accepted
	refused := dial()
	_, err := refused.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred(), "the third connection is closed")
	g.Expect(first.Close()).To(Succeed())
	g.Expect(first.Close()).NotTo(Succeed(), "a second close does not decrement the count again")
	dial()
	g.Expect(<-accepted).NotTo(BeNil())
	over := dial()
	_, err = over.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
}
