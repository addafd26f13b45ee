package node

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/clock"
)

// idleConnections tracks the callers' connections without a request in progress.
type idleConnections struct {
	clock *clock.Service
	// mutex guards the fields below. It is taken before that of a connection.
	mutex sync.Mutex
	idle  map[*callerConn]idlePeriod
	// limit is the longest time that a connection may be idle, by the policy in force.
	limit time.Duration
}

// idlePeriod is since when a connection has been idle, and the limit at that time.
type idlePeriod struct {
	since time.Time
	limit time.Duration
}

func newIdleConnections(clock *clock.Service) *idleConnections {
	return &idleConnections{clock: clock, idle: map[*callerConn]idlePeriod{}}
}

// setState is a value of [http.Server.ConnState]. It ignores connections that are not from a
// callerListener.
func (idleConnections *idleConnections) setState(conn net.Conn, state http.ConnState) {
	callerConn, ok := conn.(*callerConn)
	if !ok {
		return
	}
	idleConnections.mutex.Lock()
	defer idleConnections.mutex.Unlock()
	switch state {
	case http.StateIdle:
		idleConnections.idle[callerConn] = idlePeriod{since: idleConnections.clock.Now(), limit: idleConnections.limit}
		callerConn.setIdle(true)
	case http.StateNew, http.StateActive, http.StateClosed, http.StateHijacked:
		delete(idleConnections.idle, callerConn)
		callerConn.setIdle(false)
	}
}

// closeIdle closes the connections that have been idle for longer than limit. If the limit was
// higher when a connection became idle, it is judged by that, since its caller may not know
// the new one.
func (idleConnections *idleConnections) closeIdle(limit time.Duration, now time.Time) {
	idleConnections.mutex.Lock()
	defer idleConnections.mutex.Unlock()
	idleConnections.limit = limit
	for conn, period := range idleConnections.idle {
		if now.Sub(period.since) > max(limit, period.limit) && conn.closeIdle() {
			delete(idleConnections.idle, conn)
		}
	}
}

// closeAll closes all idle connections.
func (idleConnections *idleConnections) closeAll() {
	idleConnections.mutex.Lock()
	defer idleConnections.mutex.Unlock()
	for conn := range idleConnections.idle {
		if conn.closeIdle() {
			delete(idleConnections.idle, conn)
		}
	}
}
