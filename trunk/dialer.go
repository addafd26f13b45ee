package trunk

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection. Links take 5 ms one way; a
	// lost opening packet is sent again after a second or more.
	dialTimeout = 600 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a silent connection
	// within two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// sendTimeout is how long sent bytes may stay unacknowledged.
	sendTimeout = 2 * time.Second
)

// NewDialer returns a dialer whose connections notice within seconds that the
// other side has gone silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: KeepAlive(), Control: control}
}

// KeepAlive returns the keep-alive probes of every connection.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

func control(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(sendTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
