package node

import (
	"net"
	"net/netip"
	"sync"
)

// perAddressListener is a listener that closes connections beyond a limit per
// remote address, so that one caller cannot use up the connections of the process.
type perAddressListener struct {
	net.Listener

	maxConnections int

	// mu guards open, the number of open connections of each address.
	mu   sync.Mutex
	open map[netip.Addr]int
}

// limitPerAddress limits the connections of each remote address; zero means no
// limit.
func limitPerAddress(listener net.Listener, maxConnections int) net.Listener {
	if maxConnections <= 0 {
		return listener
	}
	return &perAddressListener{Listener: listener, maxConnections: maxConnections, open: make(map[netip.Addr]int)}
}

// Accept implements net.Listener.
func (perAddressListener *perAddressListener) Accept() (net.Conn, error) {
	for {
		connection, err := perAddressListener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		address := remoteAddress(connection)
		if perAddressListener.acquire(address) {
			return &countedConn{Conn: connection, release: sync.OnceFunc(func() { perAddressListener.release(address) })}, nil
		}
		connection.Close()
	}
}

func (perAddressListener *perAddressListener) acquire(address netip.Addr) bool {
	perAddressListener.mu.Lock()
	defer perAddressListener.mu.Unlock()
	if perAddressListener.open[address] >= perAddressListener.maxConnections {
		return false
	}
	perAddressListener.open[address]++
	return true
}

func (perAddressListener *perAddressListener) release(address netip.Addr) {
	perAddressListener.mu.Lock()
	defer perAddressListener.mu.Unlock()
	perAddressListener.open[address]--
	if perAddressListener.open[address] == 0 {
		delete(perAddressListener.open, address)
	}
}

// remoteAddress returns the remote IP address. Connections without one share the
// zero address.
func remoteAddress(connection net.Conn) netip.Addr {
	parsed, err := netip.ParseAddrPort(connection.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr().Unmap()
}

// countedConn is a connection that is no longer counted once it is closed.
type countedConn struct {
	net.Conn

	release func()
}

// Close implements net.Conn.
func (countedConn *countedConn) Close() error {
	defer countedConn.release()
	return countedConn.Conn.Close()
}
