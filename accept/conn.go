package accept

import (
	"container/list"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/basilkeel/basilkeel/memory"
)

const (
	// connectionBytes is what a connection takes: the buffers, stacks and structures of its server,
	// a head of up to unheldHeadBytes, and what the kernel holds of it in both directions.
	connectionBytes = 64 << 10
	// unheldHeadBytes is the length up to which a head that is not whole is a part of connectionBytes.
	unheldHeadBytes = 4 << 10
	// progressBytes is the part of a body for which a connection counts as if it had just begun to
	// send the request.
	progressBytes = 64 << 10
	// opaquePieceBytes is the unit in which bytes of opaque connections are held.
	opaquePieceBytes = 16 << 10
	// maxUnread bounds the bytes that are counted as unread.
	maxUnread = 1 << 10
)

// Unanswered are the bytes that a caller has sent since its last response, on a connection
// that was closed without another one.
type Unanswered struct {
	Remote net.Addr
	// Read is the number that this process has read, Unread the number of others that have
	// arrived, up to 1 KiB.
	Read, Unread int64
}

// phase is how far a connection's request is.
type phase int

const (
	// phaseHead: no whole head has been read since the last request.
	phaseHead phase = iota
	// phaseBody: the head is whole, the body is not.
	phaseBody
	// phaseWhole: the request is whole and in progress.
	phaseWhole
)

// ending is why the read that is under way is to end.
type ending int

const (
	notEnding ending = iota
	// endingIdle ends a wait for the first byte of a request.
	endingIdle
	// endingEvicted makes way for others, unless the request is whole.
	endingEvicted
	// endingLate ends a head or a body that takes too long.
	endingLate
)

// Conn is an accepted connection. It can be closed while it is idle without losing a request:
// package net/http counts a connection as idle until it has read the whole header of a request; if
// it were closed then, the request would be executed without an answer.
type Conn struct {
	*net.TCPConn
	listener *Listener
	// address is the IP address of the peer.
	address netip.Addr
	account *memory.Account

	// The mutex of the table guards the next fields. Element is the place in a list of the table, and
	// phase which list that is. ProgressAt is when the connection was put there. MakingWay reports
	// whether it was told to make way.
	element    *list.Element
	phase      phase
	progressAt time.Time
	makingWay  bool
	idle       idlePeriod
	stall      stall

	// mutex guards the fields below. That of the table may not be taken while it is held.
	mutex sync.Mutex
	// read counts the bytes that were read since the connection was last idle. Answered reports
	// whether any were written since, ended whether the peer has closed or reset the connection,
	// and closed whether this process has closed it.
	read                    int64
	answered, ended, closed bool
	// empty reports whether no bytes have been read since the last request ended, reading whether
	// a read is under way, and ending why it is to end without bytes.
	empty, reading bool
	ending         ending
	// unfinished is, for an opaque connection, how many bytes have been read beyond those of whole
	// calls, and held what is held for them.
	unfinished, held int64
	// opaqueRatio is how often these bytes are held.
	opaqueRatio int64
	// writing reports whether a write is under way, and writes counts them.
	writing bool
	writes  int64

	// The fields below belong to the goroutine that reads.
	head headScanner
	body bodyScanner
	// inBody reports whether bytes of a body come next. Partial is a head that is not whole, ready
	// what was scanned and not returned yet, and unscanned what follows that.
	inBody                    bool
	partial, ready, unscanned []byte
	// progress counts the bytes of the body since they were last reported to the table.
	progress int64
	// receivesMore reports whether the kernel receives bodyReceiveBytes ahead.
	receivesMore bool
}

// pastDeadline ends a read or write that is under way.
var pastDeadline = time.Unix(1, 0)

// Read implements [net.Conn]. The head of a request is returned once it is whole. If the connection
// is to end and no whole request has come, it returns an error.
func (conn *Conn) Read(buffer []byte) (int, error) {
	switch {
	case len(conn.ready) > 0:
		return conn.takeReady(buffer), nil
	case conn.inBody:
		return conn.readBody(buffer)
	case conn.listener.config.Opaque:
		return conn.readOpaque(buffer)
	case len(buffer) == 0:
		return 0, nil
	case len(buffer) == 1 && len(conn.partial) == 0:
		return conn.readAhead(buffer)
	}
	return conn.readHead(buffer)
}

func (conn *Conn) takeReady(buffer []byte) int {
	count := copy(buffer, conn.ready)
	conn.ready = conn.ready[count:]
	if len(conn.ready) == 0 {
		conn.ready = nil
	}
	return count
}

// next returns bytes that were not scanned, from the peer if there are no others.
func (conn *Conn) next(buffer []byte) (int, error) {
	if len(conn.unscanned) == 0 {
		return conn.receive(buffer)
	}
	count := copy(buffer, conn.unscanned)
	conn.unscanned = conn.unscanned[count:]
	if len(conn.unscanned) == 0 {
		conn.unscanned = nil
	}
	return count, nil
}

// readAhead reads the byte by which package net/http waits for the peer's end while a request is in
// progress.
func (conn *Conn) readAhead(buffer []byte) (int, error) {
	count, err := conn.next(buffer)
	conn.head.scan(buffer[:count])
	return count, err
}

// readHead reads until a head is whole.
func (conn *Conn) readHead(buffer []byte) (int, error) {
	for {
		count, err := conn.next(buffer)
		if err != nil && count == 0 {
			return 0, conn.headEnded(err)
		}
		length, whole := conn.head.scan(buffer[:count])
		if refusal := conn.holdHead(whole); refusal != nil {
			return 0, conn.refuse(refusal)
		}
		if !whole {
			conn.partial = append(conn.partial, buffer[:length]...)
			continue
		}
		conn.unscanned = append(append([]byte(nil), buffer[length:count]...), conn.unscanned...)
		head := buffer[:length]
		if len(conn.partial) > 0 {
			head = append(conn.partial, head...)
			conn.partial = nil
		}
		conn.beginBody(bodyOf(head))
		if len(head) > length {
			conn.ready = head
			return conn.takeReady(buffer), nil
		}
		return length, nil
	}
}

// headEnded returns the error of a read that has ended before the head was whole.
func (conn *Conn) headEnded(err error) error {
	conn.mutex.Lock()
	ending := conn.ending
	conn.mutex.Unlock()
	switch {
	case !conn.head.begun() && ending != notEnding:
		return io.EOF
	case ending == endingEvicted:
		return conn.refuse(refusalOfMemory)
	case ending == endingLate, errors.Is(err, os.ErrDeadlineExceeded) && conn.head.begun():
		return conn.refuse(refusalOfLateHead)
	}
	return err
}

// holdHead checks and holds what the head takes, as far as it has been read.
func (conn *Conn) holdHead(whole bool) *refusal {
	head := &conn.head
	switch {
	case head.leading > maxLeadingBytes:
		return refusalOfEmptyLines
	case int64(head.bytes) > conn.listener.limits.Load().HeadBytes+headSlackBytes:
		return refusalOfLongHead
	}
	need := int64(parsedRatio * head.bytes)
	switch {
	case whole:
		need = head.parsedBytes()
	case head.bytes <= unheldHeadBytes:
		return nil
	}
	if !conn.listener.config.Table.holdHead(conn, need) {
		return refusalOfMemory
	}
	return nil
}

// beginBody begins to read the body that follows a head.
func (conn *Conn) beginBody(body bodyScanner) {
	conn.head, conn.body = headScanner{}, body
	conn.inBody = !conn.body.ended()
	conn.progress = 0
	if conn.inBody {
		conn.listener.config.Table.move(conn, phaseBody)
	} else {
		conn.requestWhole()
	}
}

// requestWhole records that the request has been read to its end: it no longer makes way.
func (conn *Conn) requestWhole() {
	conn.mutex.Lock()
	conn.ending = notEnding
	conn.mutex.Unlock()
	conn.listener.config.Table.move(conn, phaseWhole)
}

// readBody reads bytes of a body, and keeps those that follow it.
func (conn *Conn) readBody(buffer []byte) (int, error) {
	conn.mutex.Lock()
	ending := conn.ending
	conn.mutex.Unlock()
	if ending != notEnding {
		return 0, os.ErrDeadlineExceeded
	}
	count, err := conn.next(buffer)
	length := conn.body.scan(buffer[:count])
	if length < count {
		conn.unscanned = append(append([]byte(nil), buffer[length:count]...), conn.unscanned...)
	}
	conn.progress += int64(length)
	if conn.progress >= headReceiveBytes {
		conn.receiveMore()
	}
	switch {
	case conn.body.ended():
		conn.inBody = false
		conn.requestWhole()
	case conn.progress >= progressBytes:
		conn.progress = 0
		conn.listener.config.Table.move(conn, phaseBody)
	}
	return length, err
}

// readOpaque reads bytes whose protocol is not known here. Those beyond the calls that have been
// received are held, as they may be messages that never end.
func (conn *Conn) readOpaque(buffer []byte) (int, error) {
	count, err := conn.receive(buffer)
	conn.mutex.Lock()
	conn.unfinished += int64(count)
	need := conn.opaqueRatio * (conn.unfinished / opaquePieceBytes * opaquePieceBytes)
	changed := need != conn.held
	conn.held = need
	conn.mutex.Unlock()
	if changed && !conn.listener.config.Table.holdHead(conn, need) {
		conn.listener.config.Table.countRefusal()
		conn.reset()
		return 0, net.ErrClosed
	}
	return count, err
}

// finish records that a call has been received that was at most bytes long.
func (conn *Conn) finish(bytes int64) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.unfinished = max(conn.unfinished-bytes, 0)
}

// receiveMore has the kernel receive more ahead from now on. Less than before would leave the peer
// with segments that exceed the window, which it sends only when a timer of some 100 ms expires.
func (conn *Conn) receiveMore() {
	if conn.receivesMore {
		return
	}
	conn.receivesMore = true
	conn.account.Hold(memory.Connection, bodyReceiveBytes-headReceiveBytes)
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// Errors mean that the connection has ended. The window keeps the bound that it had when the
	// connection was opened unless that is set, too.
	_ = setOption(raw, unix.SOL_SOCKET, unix.SO_RCVBUF, bodyReceiveBytes)
	_ = setOption(raw, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bodyReceiveBytes)
}

// receive reads bytes of the peer. If the connection is to end, those that have arrived before are
// read.
func (conn *Conn) receive(buffer []byte) (int, error) {
	conn.mutex.Lock()
	conn.reading = true
	conn.mutex.Unlock()
	count, err := conn.TCPConn.Read(buffer)
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.reading = false
	if conn.ending != notEnding && count == 0 {
		count = conn.readArrived(buffer)
	}
	conn.read += int64(count)
	conn.ended = conn.ended || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case count > 0:
		if conn.ending == endingIdle {
			conn.ending = notEnding
			// An error means that the connection has ended, which the next read reports.
			_ = conn.SetReadDeadline(time.Time{})
		}
		conn.empty = false
		err = nil
	case conn.ending == endingIdle:
		err = io.EOF
	}
	return count, err
}

// readArrived reads bytes that have arrived, without waiting. The read that was waiting for
// them may have been ended before its goroutine ran.
func (conn *Conn) readArrived(buffer []byte) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	// An error means that the connection has ended.
	_ = raw.Control(func(descriptor uintptr) {
		count, err = unix.Read(int(descriptor), buffer)
	})
	if err != nil {
		return 0
	}
	return count
}

// Write implements [net.Conn].
func (conn *Conn) Write(data []byte) (int, error) {
	conn.mutex.Lock()
	conn.answered, conn.writing = true, true
	conn.writes++
	conn.mutex.Unlock()
	count, err := conn.TCPConn.Write(data)
	conn.mutex.Lock()
	conn.writing = false
	conn.mutex.Unlock()
	return count, err
}

// CloseWrite closes the connection after a response to a request that was not read to its end.
// Package net/http would then keep it and its buffers for half a second without reading, while the
// kernel receives what it has room for. Instead, what comes is read for some time, so that the
// response is not lost, and the panic, which package net/http expects of handlers, ends the wait.
func (conn *Conn) CloseWrite() error {
	conn.linger()
	panic(http.ErrAbortHandler)
}

// Close implements [net.Conn]. It reports a connection that is closed under a request, unless
// the caller has closed it before.
func (conn *Conn) Close() error {
	conn.mutex.Lock()
	lost := Unanswered{Remote: conn.RemoteAddr(), Read: conn.read}
	report := conn.listener.config.ReportUnanswered
	reported := report != nil && !conn.answered && !conn.ended
	first := !conn.closed
	conn.ended, conn.closed = true, true
	conn.mutex.Unlock()
	if reported {
		lost.Unread = conn.unread()
	}
	if lost.Read+lost.Unread > 0 && reported {
		report(lost)
	}
	err := conn.TCPConn.Close()
	if first {
		conn.listener.config.Table.remove(conn)
	}
	return err
}

// unread returns the number of bytes that have arrived and were not read, up to maxUnread.
func (conn *Conn) unread() int64 {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	// An error means that the connection has ended.
	_ = raw.Control(func(descriptor uintptr) {
		count, _, err = unix.Recvfrom(int(descriptor), make([]byte, maxUnread), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0
	}
	return int64(count)
}

// setIdle records whether the connection has no request in progress.
func (conn *Conn) setIdle(idle bool) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.empty = idle
	conn.opaqueRatio = parsedRatio
	if idle {
		conn.read, conn.answered = 0, false
		conn.opaqueRatio = conn.listener.opaqueHeadRatio()
	}
}

// responded records that the response to a request has been written. It returns false if the
// connection has to be closed.
func (conn *Conn) responded() bool {
	conn.account.TryHoldHead(0)
	conn.finish(math.MaxInt64)
	if conn.inBody {
		// Package net/http has found the end of the body elsewhere: what follows could be neither
		// counted nor bounded.
		return false
	}
	conn.listener.config.Table.idle(conn)
	return true
}

// closeIdle has the server close the connection, and reports whether it does unless bytes
// have arrived already. It does not while the connection does not wait for a request.
func (conn *Conn) closeIdle() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.empty && conn.end(endingIdle)
}

// evict has the connection make way, unless its goroutine has still to read what has arrived. It
// reports whether it does.
func (conn *Conn) evict() bool {
	if conn.listener.config.Opaque {
		conn.reset()
		return true
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.end(endingEvicted)
}

// endLate ends the read of a head or a body that takes too long.
func (conn *Conn) endLate() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.end(endingLate)
}

// end ends the read that is under way. It is called with the mutex held.
func (conn *Conn) end(why ending) bool {
	if !conn.reading || conn.ending != notEnding || conn.SetReadDeadline(pastDeadline) != nil {
		return false
	}
	conn.ending = why
	return true
}

// reset closes the connection so that what was written does not look complete.
func (conn *Conn) reset() {
	// Errors mean that the connection has ended.
	_ = conn.SetLinger(0)
	_ = conn.TCPConn.Close()
}
