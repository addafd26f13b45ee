package pool

import "time"

// transitTime is how long bytes may be in transit from a server that has ended:
// the delay of a link and one TCP retransmission of 200 ms.
const transitTime = 300 * time.Millisecond

// AliveAfter reports whether this incarnation of a server was alive after a moment,
// and when its last bytes arrived. Proof is a response to a request that was sent after
// the moment, or bytes that arrived so long after it that they cannot have been in
// transit then.
func (pool *Pool) AliveAfter(server *Server, moment time.Time) (time.Time, bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, found := pool.members[server.ID]
	if !found || member.server.Incarnation != server.Incarnation {
		return time.Time{}, false
	}
	alive := member.lastAnsweredSentAt.After(moment) || member.lastBytesAt.Sub(moment) > transitTime
	return member.lastBytesAt, alive
}

// RegistryExpiry returns how long the registry takes to expire the entry of a server
// that has ended, plus one period for the change to arrive.
func (pool *Pool) RegistryExpiry() time.Duration {
	return (expiryPeriods + 1) * pool.config.RegistryPeriod
}

// Crashed reports whether the registry shows that an incarnation has ended without
// announcing it.
func (pool *Pool) Crashed(server *Server, now time.Time) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.departed(server.ID, server.Incarnation) {
		return false
	}
	member, found := pool.members[server.ID]
	if !found || member.server.Incarnation != server.Incarnation {
		return !server.Draining
	}
	return pool.gone(member, now) && !member.server.Draining
}
