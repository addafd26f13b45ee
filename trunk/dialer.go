package trunk

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection. Links take 5 ms one way; TCP
	// retransmits a lost SYN only after a second or more.
	dialTimeout = 600 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead connection
	// within two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// sendTimeout is how long sent bytes may stay unacknowledged.
	sendTimeout = 2 * time.Second
	// unsentBytes bounds what the kernel holds of a connection that it can't send yet. By
	// itself it would hold up to some MB for a receiver that does not read.
	unsentBytes = 128 << 10
)

// NewDialer returns a dialer whose connections detect within seconds that the peer
// no longer responds.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: KeepAlive(), Control: func(network, address string, raw syscall.RawConn) error {
		if err := setSendTimeout(network, address, raw); err != nil {
			return err
		}
		return limitUnsent(network, address, raw)
	}}
}

// KeepAlive returns the configuration of TCP keep-alive probes for all connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// setSendTimeout sets TCP_USER_TIMEOUT on a new socket.
func setSendTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(sendTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// limitUnsent bounds what the kernel holds of a new connection that it can't send yet.
func limitUnsent(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
	})
	if err != nil {
		return err
	}
	return optionErr
}
