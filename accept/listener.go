package accept

import (
	"context"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// headReceiveBytes is what the kernel receives ahead on a connection, also before it is accepted.
	// By itself it would receive 64 KiB, and up to some MB on one that has carried much.
	headReceiveBytes = 8 << 10
	// bodyReceiveBytes is what it receives ahead on one that has carried a larger body.
	bodyReceiveBytes = 32 << 10
	// unsentBytes bounds what the kernel holds of a connection that it can't send yet. A connection
	// does not have this limit from its listener.
	unsentBytes = 16 << 10
	// kernelRatio is what the kernel allocates at most for the bytes that it may receive ahead, as a
	// multiple of them.
	kernelRatio = 2
	// backlogRatio bounds what the kernel holds of connections that wait to be accepted, as a
	// fraction of the budget. Below minBacklog, connections that come in bursts would be dropped.
	backlogRatio = 1.0 / 8
	minBacklog   = 32
)

// setOption sets an option of a socket.
func setOption(raw syscall.RawConn, level, name, value int) error {
	return control(raw, func(descriptor int) error { return unix.SetsockoptInt(descriptor, level, name, value) })
}

// control calls change with the descriptor of a socket.
func control(raw syscall.RawConn, change func(descriptor int) error) error {
	var changeErr error
	if err := raw.Control(func(descriptor uintptr) { changeErr = change(int(descriptor)) }); err != nil {
		return err
	}
	return changeErr
}

// ListenerConfig holds the settings and dependencies of a [Listener].
type ListenerConfig struct {
	// Listener listens on a TCP address. [Listen] sets it.
	Listener net.Listener
	// KeepAlive is how connections are probed whose peers send nothing.
	KeepAlive net.KeepAliveConfig
	Table     *Table
	// Opaque reports whether the connections don't carry plain HTTP/1, but TLS or gRPC: heads are not
	// seen. [SetState] or [Table.Touch] tell which requests have come.
	Opaque bool
	// TLS reports whether opaque connections carry HTTP/1 under TLS.
	TLS bool
	// MaxConnections and PerAddress bound the connections of the listener and those from one remote
	// address; zero means no bound of its own.
	MaxConnections int
	PerAddress     int
	// Shared reports whether the connections leave some room to those of other listeners, which
	// the process can't do without.
	Shared bool
	// ReportUnanswered, if it is not nil, is called when a connection is closed under a request.
	ReportUnanswered func(Unanswered)
}

// Listener accepts connections within the bounds of a table.
type Listener struct {
	net.Listener
	config ListenerConfig
	limits atomic.Pointer[Limits]
	// conns are the open connections, and addresses their numbers by remote address. Both are guarded
	// by the mutex of the table.
	conns     map[*Conn]struct{}
	addresses map[netip.Addr]int
}

// Listen opens a listener at a TCP address.
func Listen(ctx context.Context, address string, config ListenerConfig) (*Listener, error) {
	ahead := headReceiveBytes
	if config.Opaque {
		ahead = bodyReceiveBytes
	}
	listenConfig := net.ListenConfig{KeepAliveConfig: config.KeepAlive, Control: func(_, _ string, raw syscall.RawConn) error {
		return setOption(raw, unix.SOL_SOCKET, unix.SO_RCVBUF, ahead)
	}}
	var err error
	if config.Listener, err = listenConfig.Listen(ctx, "tcp", address); err != nil {
		return nil, err
	}
	if err := boundBacklog(config.Listener, config.Table.config.Memory.Limit(), ahead); err != nil {
		config.Listener.Close()
		return nil, err
	}
	return NewListener(config), nil
}

// boundBacklog bounds the connections that wait to be accepted, by what they may hold of a budget of
// limit bytes. Zero means no bound but that of the operating system.
func boundBacklog(listener net.Listener, limit int64, ahead int) error {
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok || limit == 0 {
		return nil
	}
	raw, err := tcpListener.SyscallConn()
	if err != nil {
		return err
	}
	backlog := max(int(backlogRatio*float64(limit))/(kernelRatio*ahead), minBacklog)
	// A second call of listen(2) changes the backlog. The kernel has its own bound.
	return control(raw, func(descriptor int) error { return unix.Listen(descriptor, backlog) })
}

// NewListener returns a listener with the default limits.
func NewListener(config ListenerConfig) *Listener {
	listener := &Listener{Listener: config.Listener, config: config, conns: map[*Conn]struct{}{}, addresses: map[netip.Addr]int{}}
	listener.SetLimits(Limits{})
	return listener
}

// SetLimits sets what callers may send from now on.
func (listener *Listener) SetLimits(limits Limits) {
	limits = limits.withDefaults()
	listener.limits.Store(&limits)
}

// Accept implements [net.Listener]. Once the listener has been closed, it fails with
// [http.ErrServerClosed], as only a stop closes it.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, http.ErrServerClosed
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE):
			listener.config.Table.reclaimDescriptors()
			continue
		case err != nil:
			return nil, err
		}
		tcpConn, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		if raw, err := tcpConn.SyscallConn(); err == nil {
			// An error means that the connection has ended.
			_ = setOption(raw, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
		}
		var address netip.Addr
		if remote, ok := tcpConn.RemoteAddr().(*net.TCPAddr); ok {
			address = remote.AddrPort().Addr().Unmap()
		}
		conn := &Conn{TCPConn: tcpConn, listener: listener, address: address, account: listener.config.Table.config.Memory.NewAccount()}
		if listener.config.Table.admit(conn) {
			return conn, nil
		}
		conn.reset()
	}
}

// allows reports whether the listener's own bounds allow another connection, and whether there is
// room for it. It is called with the mutex of the table held.
func (listener *Listener) allows(conn *Conn) (allowed, room bool) {
	config := &listener.config
	allowed = config.PerAddress <= 0 || listener.addresses[conn.address] < config.PerAddress
	return allowed, config.MaxConnections <= 0 || len(listener.conns) < config.MaxConnections
}

// add is called with the mutex of the table held.
func (listener *Listener) add(conn *Conn) {
	listener.conns[conn] = struct{}{}
	listener.addresses[conn.address]++
}

// remove is called with the mutex of the table held.
func (listener *Listener) remove(conn *Conn) {
	delete(listener.conns, conn)
	if listener.addresses[conn.address]--; listener.addresses[conn.address] == 0 {
		delete(listener.addresses, conn.address)
	}
}

// opaqueHeadRatio is how often bytes of opaque connections are held before a request has come. Under
// TLS they may be heads of many fields.
func (listener *Listener) opaqueHeadRatio() int64 {
	if listener.config.TLS {
		return fieldBytes / minFieldBytes
	}
	return parsedRatio
}

// OpenCount returns the number of open connections.
func (listener *Listener) OpenCount() int {
	listener.config.Table.mutex.Lock()
	defer listener.config.Table.mutex.Unlock()
	return len(listener.conns)
}

// CloseIdle closes all connections that wait for a request, also unused ones.
func (listener *Listener) CloseIdle() {
	listener.config.Table.mutex.Lock()
	defer listener.config.Table.mutex.Unlock()
	for conn := range listener.conns {
		if conn.phase == phaseHead {
			conn.closeIdle()
		}
	}
}

// SetState is a value of [http.Server.ConnState] for servers of a [Listener], also under TLS.
func SetState(netConn net.Conn, state http.ConnState) {
	if tlsConn, ok := netConn.(*tls.Conn); ok {
		netConn = tlsConn.NetConn()
	}
	conn, ok := netConn.(*Conn)
	switch {
	case !ok:
	case state == http.StateIdle && !conn.responded():
		conn.reset()
	case state == http.StateActive && conn.listener.config.Opaque:
		conn.finish(math.MaxInt64)
		conn.setIdle(false)
		conn.listener.config.Table.move(conn, phaseWhole)
	}
}
