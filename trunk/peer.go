package trunk

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasPeer reports whether the socket of conn still has a peer. That is so when the peer has closed
// its side, and not any more when the peer has reset the connection.
func HasPeer(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peerErr error
	err = raw.Control(func(descriptor uintptr) { _, peerErr = unix.Getpeername(int(descriptor)) })
	return err == nil && peerErr == nil
}
