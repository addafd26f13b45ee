package pool

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

const (
	// maxPause bounds the pause that a server can ask for; servers usually ask for
	// seconds.
	maxPause = time.Minute
	// departureLifetime is how long a departure is kept if the server is not listed;
	// a departing server ends within minutes.
	departureLifetime = 10 * time.Minute
)

// Departure identifies an incarnation of a server that announced that it is leaving.
type Departure struct {
	Server      names.BackendServer
	Incarnation int64
}

// departure is what is known of a [Departure].
type departure struct {
	incarnation int64
	at          time.Time
	// observed reports whether the server announced it to this instance.
	observed bool
	// reportedTerm is the term of the coordinator that it was last reported to.
	reportedTerm int64
}

// RecordDeparture records that a server announced in a response that it is leaving.
// The server gets no further requests until it has restarted, whatever the registry
// says. RecordDeparture reports whether the departure was unknown before.
func (pool *Pool) RecordDeparture(server *Server, now time.Time) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.addDeparture(server.ID, departure{incarnation: server.Incarnation, at: now, observed: true})
}

// addDeparture stores a departure and reports whether it was unknown before. The
// caller holds the mutex.
func (pool *Pool) addDeparture(id names.BackendServer, departure departure) bool {
	if pool.departed(id, departure.incarnation) {
		return false
	}
	pool.departures[id] = departure
	return true
}

// departed reports whether an incarnation has announced that it is leaving. The caller
// holds the mutex.
func (pool *Pool) departed(id names.BackendServer, incarnation int64) bool {
	if len(pool.departures) == 0 {
		return false
	}
	known, found := pool.departures[id]
	return found && known.incarnation == incarnation
}

// UnreportedDepartures returns the departures that servers announced to this instance
// and that the coordinator of a term has not acknowledged.
func (pool *Pool) UnreportedDepartures(term int64) []Departure {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var departures []Departure
	for id, departure := range pool.departures {
		if departure.observed && departure.reportedTerm != term {
			departures = append(departures, Departure{Server: id, Incarnation: departure.incarnation})
		}
	}
	return departures
}

// MarkDeparturesReported records that the coordinator of a term has acknowledged
// departures.
func (pool *Pool) MarkDeparturesReported(departures []Departure, term int64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, departure := range departures {
		if known, found := pool.departures[departure.Server]; found && known.incarnation == departure.Incarnation {
			known.reportedTerm = term
			pool.departures[departure.Server] = known
		}
	}
}

// ApplyDepartures stores departures that servers announced to other instances.
func (pool *Pool) ApplyDepartures(departures []Departure, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, reported := range departures {
		pool.addDeparture(reported.Server, departure{incarnation: reported.Incarnation, at: now})
	}
}

// expireDepartures drops the departures of servers that have restarted, and those
// older than [departureLifetime] of servers that are not listed. The caller holds the
// mutex.
func (pool *Pool) expireDepartures(now time.Time) {
	for id, departure := range pool.departures {
		member, listed := pool.members[id]
		if (listed && member.server.Incarnation != departure.incarnation) || (!listed && now.Sub(departure.at) > departureLifetime) {
			delete(pool.departures, id)
		}
	}
}

// Pause withholds requests from a server that asked for a pause. It never shortens an
// earlier pause.
func (pool *Pool) Pause(id names.BackendServer, duration time.Duration, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, found := pool.members[id]
	if !found {
		return
	}
	if until := now.Add(min(duration, maxPause)); until.After(member.pausedUntil) {
		member.pausedUntil = until
	}
}
