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

// Departure names an incarnation of a server that said that it leaves.
type Departure struct {
	Server      names.BackendServer
	Incarnation int64
}

// departure is an incarnation of a server that said that it leaves.
type departure struct {
	born int64
	at   time.Time
	// own tells that this instance heard it from the server.
	own bool
	// told is the term whose coordinator has been told.
	told int64
}

// RecordDeparture tells that a server said in an answer that it leaves. It gets no further
// requests until it has started again, whatever the registry tells. It returns
// whether that is new.
func (pool *Pool) RecordDeparture(server *Server, now time.Time) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.depart(server.ID, departure{born: server.Incarnation, at: now, own: true})
}

// depart notes a departure and tells whether it is new. It is called with the mutex
// held.
func (pool *Pool) depart(id names.BackendServer, departure departure) bool {
	if pool.departing(id, departure.born) {
		return false
	}
	pool.departures[id] = departure
	return true
}

// departing is called with the mutex held.
func (pool *Pool) departing(id names.BackendServer, born int64) bool {
	known, found := pool.departures[id]
	return found && known.born == born
}

// UnreportedDepartures lists what servers said to this instance and the coordinator of a term
// has not been told.
func (pool *Pool) UnreportedDepartures(term int64) []Departure {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var departures []Departure
	for id, departure := range pool.departures {
		if departure.own && departure.told != term {
			departures = append(departures, Departure{Server: id, Incarnation: departure.born})
		}
	}
	return departures
}

// MarkDeparturesReported notes that the coordinator of a term has been told.
func (pool *Pool) MarkDeparturesReported(departures []Departure, term int64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, told := range departures {
		if known, found := pool.departures[told.Server]; found && known.born == told.Incarnation {
			known.told = term
			pool.departures[told.Server] = known
		}
	}
}

// ApplyDepartures takes over which servers said to other instances that they leave.
func (pool *Pool) ApplyDepartures(departures []Departure, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, told := range departures {
		pool.depart(told.Server, departure{born: told.Incarnation, at: now})
	}
}

// forgetDepartures is called with the mutex held.
func (pool *Pool) forgetDepartures(now time.Time) {
	for id, departure := range pool.departures {
		member, listed := pool.members[id]
		if (listed && member.server.Incarnation != departure.born) || (!listed && now.Sub(departure.at) > departedLifetime) {
			delete(pool.departures, id)
		}
	}
}

// Pause tells that a server wants no requests for a time.
func (pool *Pool) Pause(id names.BackendServer, pause time.Duration, now time.Time) {
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
