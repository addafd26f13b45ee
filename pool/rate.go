package pool

import (
	"time"

	"github.com/basilkeel/basilkeel/permit"
)

// Gate returns the gate that decides about requests to servers that declare a request
// rate.
func (pool *Pool) Gate() *permit.Gate { return pool.config.Gate }

// Identity identifies this incarnation of the server.
func (server *Server) Identity() permit.Server {
	return permit.Server{ID: server.ID, Incarnation: server.Incarnation}
}

// listed reports whether the pool knows an incarnation of a server. The caller holds
// the mutex.
func (pool *Pool) listed(server permit.Server) bool {
	member, found := pool.members[server.ID]
	return found && member.server.Incarnation == server.Incarnation
}

// returnTime returns after how long a caller should return if only paused and closed
// servers can run its request: the time until the first pause ends, zero if there is
// none, or until a closed server has a permit for the caller. Next is [permit.Gate.Return]
// or [permit.Gate.NextReturn]. The caller holds the mutex.
func (pool *Pool) returnTime(pause time.Duration, closed []permit.Server, next func([]permit.Server, time.Time) time.Duration, now time.Time) time.Duration {
	if len(closed) == 0 {
		return pause
	}
	wait := next(closed, now)
	if pause == 0 {
		return wait
	}
	return min(pause, wait)
}
