package stand

import (
	"net"
	"sync"
)

// toggleListener is a listener that can be made to refuse connections. While it
// refuses, it closes each new connection at once; when it begins to, it closes
// all connections that it has accepted.
type toggleListener struct {
	net.Listener
	// mu guards refusing and conns.
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

// setRefusing makes the listener refuse connections or accept them again.
func (toggleListener *toggleListener) setRefusing(refusing bool) {
	toggleListener.mu.Lock()
	toggleListener.refusing = refusing
	var open []net.Conn
	if refusing {
		for conn := range toggleListener.conns {
			open = append(open, conn.Conn)
		}
	}
	toggleListener.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

// toggleConn is a connection accepted by a toggleListener.
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
