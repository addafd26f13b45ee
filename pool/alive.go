package pool

import "time"

// underWay is how long bytes may be on their way from a server that has ended: a
// link's delay and one retransmission of TCP, 200 ms.
const underWay = 300 * time.Millisecond

// AliveAfter tells whether this incarnation of a server has shown that it outlived
// a moment, and when its last bytes came. It has where it answered a request that
// was sent later, or where bytes came so much later that they were not under way.
func (pool *Pool) AliveAfter(server *Server, moment time.Time) (time.Time, bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, found := pool.members[server.ID]
	if !found || member.server.Incarnation != server.Incarnation {
		return time.Time{}, false
	}
	alive := member.lastAnswered.After(moment) || member.answeredAt.Sub(moment) > underWay
	return member.answeredAt, alive
}

// RegistryExpiry is how long the registry takes to lose the entry of a server that has
// ended, with one period for the news.
func (pool *Pool) RegistryExpiry() time.Duration {
	return (lapseBeats + 1) * pool.config.RegistryPeriod
}

// Crashed tells whether the registry shows that an incarnation has ended without
// having announced it.
func (pool *Pool) Crashed(server *Server, now time.Time) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.departing(server.ID, server.Incarnation) {
		return false
	}
	member, found := pool.members[server.ID]
	if !found || member.server.Incarnation != server.Incarnation {
		return !server.Draining
	}
	return pool.gone(member, now) && !member.server.Draining
}
