package stand

import (
	"net"
	"sync"
)

// toggleListener is a listener that can be shut: it then closes the connections it gave
// out and each new one at once.
type toggleListener struct {
	net.Listener
	// mu guards shut and conns.
	mu       sync.Mutex
	refusing bool
	conns    map[*toggleConn]struct{}
}

func newToggleListener(listener net.Listener) *toggleListener {
	return &toggleListener{Listener: listener, conns: map[*toggleConn]struct{}{}}
}

// Accept implements [net.Listener].
func (toggleListener *toggleListener) Accept() (net.Conn, error) {
	for {
		conn, err := toggleListener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := toggleListener.admit(conn); admitted != nil {
			return admitted, nil
		}
		_ = conn.Close()
	}
}

func (toggleListener *toggleListener) admit(conn net.Conn) net.Conn {
	toggleListener.mu.Lock()
	defer toggleListener.mu.Unlock()
	if toggleListener.refusing {
		return nil
	}
	admitted := &toggleConn{Conn: conn, listener: toggleListener}
	toggleListener.conns[admitted] = struct{}{}
	return admitted
}

// setRefusing opens or shuts the gate.
func (toggleListener *toggleListener) setRefusing(shut bool) {
	toggleListener.mu.Lock()
	toggleListener.refusing = shut
	var open []net.Conn
	if shut {
		for conn := range toggleListener.conns {
			open = append(open, conn.Conn)
		}
	}
	toggleListener.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

// toggleConn is a connection that a gate can cut.
type toggleConn struct {
	net.Conn
	listener *toggleListener
}

// Close implements [net.Conn].
func (conn *toggleConn) Close() error {
	conn.listener.mu.Lock()
	delete(conn.listener.conns, conn)
	conn.listener.mu.Unlock()
	return conn.Conn.Close()
}
