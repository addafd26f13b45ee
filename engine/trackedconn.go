package engine

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync/atomic"

	"github.com/basilkeel/basilkeel/trunk"
)

// writeState is the state of the request that currently uses a connection:
// unwritten, written, or sealed against any write.
type writeState = int32

const (
	stateUnwritten writeState = iota
	stateWritten
	stateSealed
)

// trackedConn is a connection that records whether its current request has
// begun to write. If not, it can be sealed to prevent any write. It also records how
// it ended, and what it received up to the head of the response.
type trackedConn struct {
	net.Conn
	state atomic.Int32
	// received is what was read before takeReceived was called, which sets headRead. Reads don't
	// overlap that call: the HTTP client has returned a response, whose body is read afterwards.
	received []byte
	headRead bool
	// closedByPeer reports whether a read has met the regular end of the connection.
	closedByPeer atomic.Bool
}

// beginRequest resets the state for the next request on the connection.
func (trackedConn *trackedConn) beginRequest() { trackedConn.state.Store(stateUnwritten) }

// sealUnwritten seals the connection if the current request has written
// nothing, and reports whether it is sealed. Every write to a sealed connection
// fails.
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

// Read implements net.Conn.
func (trackedConn *trackedConn) Read(buffer []byte) (int, error) {
	count, err := trackedConn.Conn.Read(buffer)
	if !trackedConn.headRead {
		trackedConn.received = append(trackedConn.received, buffer[:count]...)
	}
	if errors.Is(err, io.EOF) {
		conn := trackedConn.Conn
		// Package crypto/tls accepts an end without the peer's alert between two records.
		if tlsConn, isTLS := conn.(*tls.Conn); isTLS {
			conn = tlsConn.NetConn()
		}
		trackedConn.closedByPeer.Store(trunk.HasPeer(conn))
	}
	return count, err
}

// takeReceived returns what the connection received with the head of a response, and keeps no more.
func (trackedConn *trackedConn) takeReceived() []byte {
	received := trackedConn.received
	trackedConn.received, trackedConn.headRead = nil, true
	return received
}
