package engine

import (
	"net"
	"sync/atomic"
)

// writeState tells whether the request that has a connection began to write.
type writeState = int32

const (
	stateUnwritten writeState = iota
	stateWritten
	stateSealed
)

// trackedConn is a connection that knows whether its current request has begun
// to write, and can rule out that it ever will.
type trackedConn struct {
	net.Conn
	state atomic.Int32
}

// beginRequest starts the connection's use by another request.
func (trackedConn *trackedConn) beginRequest() { trackedConn.state.Store(stateUnwritten) }

// sealUnwritten tells that the current request wrote nothing; from then on
// every write fails.
func (trackedConn *trackedConn) sealUnwritten() bool {
	return trackedConn.state.CompareAndSwap(stateUnwritten, stateSealed) || trackedConn.state.Load() == stateSealed
}

// Write implements net.Conn.
func (trackedConn *trackedConn) Write(data []byte) (int, error) {
	if !trackedConn.state.CompareAndSwap(stateUnwritten, stateWritten) && trackedConn.state.Load() == stateSealed {
		return 0, net.ErrClosed
	}
	return trackedConn.Conn.Write(data)
}
