package pool

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
)

// maxReadings and maxSlowdowns bound the readings and slowdowns of an engine in one
// report.
const (
	maxReadings  = 8
	maxSlowdowns = 4
)

// EngineUse is what an entry has measured on the responses of an engine.
type EngineUse struct {
	Server      names.BackendServer
	Incarnation int64
	// Events is the number of events of streams, and EventMilliseconds the sum of the times
	// between them.
	Events            int
	EventMilliseconds float64
	Readings          []Reading
	// Slowdowns are those that the engine has stated in its responses.
	Slowdowns []Slowdown
}

// Slowdown is how long work takes on an engine's machine at a time relative to usual.
type Slowdown struct {
	At     time.Time
	Factor float64
}

// Reading is the time that an engine took to begin to answer a prompt that did not have
// to wait for others.
type Reading struct {
	Tokens       int64
	Milliseconds float64
}

// RecordEvents records a number of events of a stream and the time in which they arrived.
func (pool *Pool) RecordEvents(server *Server, events int, duration time.Duration) {
	pool.updateUse(server, func(use *EngineUse) {
		use.Events += events
		use.EventMilliseconds += float64(duration) / float64(time.Millisecond)
	})
}

// RecordReading records the time to the first event of a prompt that did not have to wait
// for others.
func (pool *Pool) RecordReading(server *Server, tokens int64, duration time.Duration) {
	pool.updateUse(server, func(use *EngineUse) {
		if len(use.Readings) < maxReadings {
			use.Readings = append(use.Readings, Reading{Tokens: tokens, Milliseconds: float64(duration) / float64(time.Millisecond)})
		}
	})
}

// RecordSlowdown records the slowdown that a response of an engine states.
func (pool *Pool) RecordSlowdown(server *Server, factor float64, now time.Time) {
	pool.updateUse(server, func(use *EngineUse) {
		use.Slowdowns = append(use.Slowdowns, Slowdown{At: now, Factor: factor})
		if len(use.Slowdowns) > maxSlowdowns {
			use.Slowdowns = use.Slowdowns[1:]
		}
	})
}

// TakeSlowdowns returns the slowdowns that engines have stated since the last call.
func (pool *Pool) TakeSlowdowns() []EngineUse {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var uses []EngineUse
	for _, use := range pool.uses {
		if len(use.Slowdowns) > 0 {
			uses = append(uses, EngineUse{Server: use.Server, Incarnation: use.Incarnation, Slowdowns: use.Slowdowns})
			use.Slowdowns = nil
		}
	}
	return uses
}

// updateUse edits what has been measured on a server since the last report.
func (pool *Pool) updateUse(server *Server, edit func(*EngineUse)) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	use, found := pool.uses[server.Identity()]
	if !found {
		use = &EngineUse{Server: server.ID, Incarnation: server.Incarnation}
		pool.uses[server.Identity()] = use
	}
	edit(use)
}

// TakeUses returns what has been measured since the last call.
func (pool *Pool) TakeUses() []EngineUse {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	uses := make([]EngineUse, 0, len(pool.uses))
	for _, use := range pool.uses {
		uses = append(uses, *use)
	}
	clear(pool.uses)
	return uses
}

// UsableServer returns a server by its identity, and whether it may be sent a request.
func (pool *Pool) UsableServer(id names.BackendServer, incarnation int64, now time.Time) (*Server, bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, found := pool.members[id]
	if !found || member.server.Incarnation != incarnation || !pool.accepting(member, now) || member.paused(now) {
		return nil, false
	}
	return member.server, true
}

// Unusable are the servers that a query must not get.
type Unusable struct {
	// Excluded are those with the model that it must not get, and Closed those of them that
	// are excluded only because their rates are used up, or because they have just become
	// cold, with or without the model.
	Excluded []names.BackendServer
	Closed   []names.BackendServer
	// Failing are all those that have failed lately.
	Failing []names.BackendServer
}

// Unusable returns the servers that a query must not get. The coordinator offers no others,
// unless it knows of copies that this instance does not know of; what it offers is checked. In
// a large fleet those that lack the model would be most of what is sent.
func (pool *Pool) Unusable(query Query, now time.Time) Unusable {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var unusable Unusable
	restrictions := pool.config.Gate.Restrictions(now)
	for _, member := range pool.byService[query.Service] {
		id := member.server.ID
		closed := restrictions[member.server.Identity()] == permit.RestrictionClosed
		barred := pool.barred(member, &query, now)
		if closed && !barred {
			unusable.Closed = append(unusable.Closed, id)
		}
		switch {
		case member.refusesModel(query.Model, now):
			unusable.Excluded = append(unusable.Excluded, id)
		case barred, closed:
			if member.listsModel(query.Model, now) {
				unusable.Excluded = append(unusable.Excluded, id)
			}
		case member.ejected(now), member.silent(now):
			unusable.Failing = append(unusable.Failing, id)
		}
	}
	return unusable
}

// barred reports whether a server of the query's service must not get it, whatever its rate.
// The caller holds the mutex.
func (pool *Pool) barred(member *member, query *Query, now time.Time) bool {
	return !pool.accepting(member, now) || !query.Permits(member.server) || member.paused(now) ||
		slices.Contains(query.Tried, member.server.ID) || member.refusesModel(query.Model, now)
}
