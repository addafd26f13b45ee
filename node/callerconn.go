package node

import (
	"io"
	"net"
	"sync"
	"time"
)

// callerListener accepts connections as callerConn.
type callerListener struct{ net.Listener }

// Accept implements [net.Listener].
func (callerListener callerListener) Accept() (net.Conn, error) {
	conn, err := callerListener.Listener.Accept()
	if tcpConn, ok := conn.(*net.TCPConn); ok && err == nil {
		return &callerConn{TCPConn: tcpConn}, nil
	}
	return conn, err
}

// callerConn is a caller's connection that can be closed while it is idle without losing a
// request. Package net/http counts a connection as idle until it has read the whole header of
// a request; if it were closed then, the request would be executed without an answer.
type callerConn struct {
	*net.TCPConn
	// mutex guards the fields below.
	mutex sync.Mutex
	// idle reports whether no bytes have been read since the last request ended, reading
	// whether a read is under way, and closing whether it is to end without bytes.
	idle, reading, closing bool
}

// pastDeadline ends a read that is under way.
var pastDeadline = time.Unix(1, 0)

// Read implements [net.Conn]. If the connection is being closed and there is nothing to read,
// it returns [io.EOF]. Bytes that have arrived before that keep the connection open.
func (callerConn *callerConn) Read(buffer []byte) (int, error) {
	callerConn.mutex.Lock()
	callerConn.reading = true
	callerConn.mutex.Unlock()
	count, err := callerConn.TCPConn.Read(buffer)
	callerConn.mutex.Lock()
	defer callerConn.mutex.Unlock()
	callerConn.reading = false
	switch {
	case count > 0:
		callerConn.idle = false
		if callerConn.closing {
			callerConn.closing = false
			// An error means that the connection has ended, which the next read reports.
			_ = callerConn.SetReadDeadline(time.Time{})
		}
	case callerConn.closing:
		err = io.EOF
	}
	return count, err
}

// setIdle records whether the connection has no request in progress.
func (callerConn *callerConn) setIdle(idle bool) {
	callerConn.mutex.Lock()
	defer callerConn.mutex.Unlock()
	callerConn.idle = idle
}

// closeIdle has the server close the connection, and reports whether it does unless bytes
// have arrived already. It does not while the connection does not wait for a request.
func (callerConn *callerConn) closeIdle() bool {
	callerConn.mutex.Lock()
	defer callerConn.mutex.Unlock()
	if !callerConn.idle || !callerConn.reading || callerConn.closing {
		return false
	}
	callerConn.closing = callerConn.SetReadDeadline(pastDeadline) == nil
	return callerConn.closing
}
