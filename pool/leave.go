package pool

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

const (
	// longestRest bounds how long a server's answer keeps requests from it; servers
	// ask for seconds.
	longestRest = time.Minute
	// departedLifetime is how long a server that said that it leaves is remembered
	// after its entry has gone; it ends within minutes.
	departedLifetime = 10 * time.Minute
)

// departure is an incarnation of a server that said that it leaves.
type departure struct {
	born int64
	at   time.Time
}

// Leaving tells that a server said in an answer that it leaves. It gets no further
// requests until it has started again, whatever the registry tells. It returns
// whether that is new.
func (pool *Pool) Leaving(server *Server, now time.Time) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.departing(server) {
		return false
	}
	pool.departures[server.ID] = departure{born: server.Born, at: now}
	return true
}

// departing is called with the mutex held.
func (pool *Pool) departing(server *Server) bool {
	known, found := pool.departures[server.ID]
	return found && known.born == server.Born
}

// forgetDepartures is called with the mutex held.
func (pool *Pool) forgetDepartures(now time.Time) {
	for id, departure := range pool.departures {
		member, listed := pool.members[id]
		if (listed && member.server.Born != departure.born) || (!listed && now.Sub(departure.at) > departedLifetime) {
			delete(pool.departures, id)
		}
	}
}

// Rest tells that a server wants no requests for a time.
func (pool *Pool) Rest(id names.BackendServer, pause time.Duration, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, found := pool.members[id]
	if !found {
		return
	}
	if until := now.Add(min(pause, longestRest)); until.After(member.restsUntil) {
		member.restsUntil = until
	}
}
