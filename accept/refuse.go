package accept

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// headSlackBytes is how much longer than the limit a head may be, as callers may count without
	// the request line or the line ends.
	headSlackBytes = 4 << 10
	// refuseTimeout bounds the time to send a refusal, which fits into the kernel's buffer unless
	// the caller leaves earlier responses unread.
	refuseTimeout = 100 * time.Millisecond
	// lingerTime and lingerBytes bound what is read after a refusal, so that it is not lost by the
	// reset that unread bytes cause.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 128 << 10
	// memoryRetryAfter is the time to a retry after a refusal for lack of memory.
	memoryRetryAfter = time.Second
)

// refusal is why a head is not passed on. Its request has not run.
type refusal struct {
	status int
	reason string
	// retryAfter is in whole seconds, the unit of the header.
	retryAfter time.Duration
}

var (
	refusalOfEmptyLines = &refusal{status: http.StatusBadRequest, reason: "badRequest"}
	refusalOfLongHead   = &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "headTooLarge"}
	refusalOfLateHead   = &refusal{status: http.StatusRequestTimeout, reason: "headNotRead"}
	refusalOfMemory     = &refusal{status: http.StatusServiceUnavailable, reason: "memory", retryAfter: memoryRetryAfter}
)

// format returns the response.
func (refusal *refusal) format() string {
	body := fmt.Sprintf(`{"error":%q}`, refusal.reason)
	retry := ""
	if refusal.retryAfter > 0 {
		retry = fmt.Sprintf("Retry-After: %d\r\n", refusal.retryAfter/time.Second)
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		refusal.status, http.StatusText(refusal.status), retry, len(body), body)
}

// refuse responds to a head that is not passed on, and closes the connection. It returns the error
// by which package net/http closes it without a response of its own.
func (conn *Conn) refuse(refusal *refusal) error {
	conn.listener.config.Table.countRefusal()
	conn.partial, conn.unscanned = nil, nil
	// Errors mean that the connection has ended.
	_ = conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = io.WriteString(conn, refusal.format())
	conn.linger()
	return io.EOF
}

// lingerBuffers holds buffers for bytes that are not used.
var lingerBuffers = sync.Pool{New: func() any { return new([4 << 10]byte) }}

// linger closes the connection. Before, it reads what comes, within limits, or until the connection
// has to make way.
func (conn *Conn) linger() {
	// An error means that the connection has ended.
	defer func() { _ = conn.TCPConn.Close() }()
	conn.mutex.Lock()
	ending := conn.ending
	conn.mutex.Unlock()
	if ending != notEnding || conn.TCPConn.CloseWrite() != nil || conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	conn.listener.config.Table.move(conn, phaseHead)
	buffer, ok := lingerBuffers.Get().(*[4 << 10]byte)
	if !ok {
		return
	}
	defer lingerBuffers.Put(buffer)
	for read := 0; read < lingerBytes; {
		count, err := conn.receive(buffer[:])
		read += count
		if err != nil || count == 0 {
			return
		}
		conn.mutex.Lock()
		ending := conn.ending
		conn.mutex.Unlock()
		if ending != notEnding {
			return
		}
	}
}
