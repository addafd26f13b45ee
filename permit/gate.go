package permit

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// standaloneAfter is how long after the coordinator's last answer an entry uses its
	// standalone share. Until then the coordinator issues permits from it.
	standaloneAfter = 1600 * time.Millisecond
	// standaloneLifetime is how long an entry uses its standalone share. From then on the
	// coordinator may count the entry as gone.
	standaloneLifetime = 10 * time.Second
	// standaloneFraction is the fraction of a rate that all standalone shares use. A
	// coordinator that some entries cannot reach issues permits beside them.
	standaloneFraction = 0.5
	// noCoordinatorWait is how long a server gets no requests from an entry that may not
	// send any without a coordinator.
	noCoordinatorWait = 250 * time.Millisecond
)

// Gate decides when an entry may send a request to a server that declares a rate. While
// a coordinator answers the entry's reports, each request needs a permit from it. Without
// one, some of the entries may use a share of the rate for some time. It is safe for
// concurrent use.
type Gate struct {
	observed chan struct{}
	// mutex guards the fields below.
	mutex    sync.Mutex
	register *Register
	servers  map[Server]*serverState
	// cold holds the servers that are or lately were cold.
	cold map[Server]*coldState
	// place is the entry's place among all entries. The coordinator reported it in the
	// answer to a report that was sent at answeredAt.
	place      Place
	answeredAt time.Time
}

// Place is an entry's place among all entries, which share rates without a coordinator.
type Place struct {
	// Rank is between zero and Entries.
	Rank int
	// Entries is the number of entries, or zero if the place is not known.
	Entries int
}

// serverState is the state of a server that declares a rate or is cold.
type serverState struct {
	// closedUntil is until when the server gets no request, closedFor for how long from
	// the start.
	closedUntil time.Time
	closedFor   time.Duration
	// yieldingUntil is until when it gets only requests that can go to no other server.
	yieldingUntil time.Time
	// nextReturn is when the next caller that is refused should return.
	nextReturn time.Time
	// share is this entry's standalone share.
	share bucket
}

// NewGate returns a gate that knows no declarations and no coordinator.
func NewGate() *Gate {
	return &Gate{observed: make(chan struct{}, 1), register: NewRegister(), servers: map[Server]*serverState{}, cold: map[Server]*coldState{}}
}

// Observed returns a channel that receives a value after [Gate.Observe] has changed a
// declaration.
func (gate *Gate) Observed() <-chan struct{} { return gate.observed }

// Observe records the declaration in a response; see [Register.Observe].
func (gate *Gate) Observe(server Server, declaration Declaration, sent, now time.Time) bool {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	changed := gate.register.Observe(server, declaration, sent, now)
	if !changed {
		return false
	}
	gate.open(server, now)
	select {
	case gate.observed <- struct{}{}:
	default:
	}
	return true
}

// Merge records statements that the coordinator sent; see [Register.Merge].
func (gate *Gate) Merge(statements []Statement, now time.Time) []Statement {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	changed := gate.register.Merge(statements)
	for _, statement := range changed {
		gate.open(statement.Server, now)
	}
	return changed
}

// open ends what was decided by a server's former declaration.
func (gate *Gate) open(server Server, now time.Time) {
	if !gate.limited(server, now) {
		delete(gate.servers, server)
		return
	}
	known, found := gate.servers[server]
	if !found {
		gate.servers[server] = &serverState{share: bucket{level: 1, refilledAt: now}}
		return
	}
	known.closedUntil, known.yieldingUntil, known.nextReturn = time.Time{}, time.Time{}, time.Time{}
}

// Since returns the statements that changed after a number; see [Register.Since].
func (gate *Gate) Since(number int64) ([]Statement, int64) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.register.Since(number)
}

// Rate returns the rate that a server declares, or false if it declares none.
func (gate *Gate) Rate(server Server) (Limited, bool) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.register.Rate(server)
}

// Expire drops declarations that ended long ago, and those of servers that are not
// listed any more. It returns the servers of these declarations.
func (gate *Gate) Expire(listed func(Server) bool, now time.Time) []Server {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	expired := gate.register.Expire(listed, now)
	for server, cold := range gate.cold {
		if !cold.active(now) {
			delete(gate.cold, server)
		}
	}
	for server := range gate.servers {
		gate.drop(server, now)
	}
	return expired
}

// RecordAnswer records that the coordinator has answered a report that was sent at asked,
// and the entry's place that the answer contains.
func (gate *Gate) RecordAnswer(place Place, asked time.Time) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.place, gate.answeredAt = place, asked
}

// Admission is the result of [Gate.Admit]: [Free], [NeedsPermit], [Admitted] or [Closed].
type Admission interface{ admission() }

// Free admits a request to a server that declares no rate and is not cold.
type Free struct{}

// NeedsPermit requires a permit from the coordinator.
type NeedsPermit struct {
	// Statement is what the server declared.
	Statement Statement
	// Cold is until when the server is cold, or the zero value.
	Cold Cold
}

// Admitted admits one request from this entry's standalone share.
type Admitted struct{}

// Closed admits no request now.
type Closed struct{}

func (Free) admission()        {}
func (NeedsPermit) admission() {}
func (Admitted) admission()    {}
func (Closed) admission()      {}

// Admit decides about one request to a server.
func (gate *Gate) Admit(server Server, now time.Time) Admission {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	known, found := gate.servers[server]
	if !found || !gate.limited(server, now) {
		return Free{}
	}
	cold := gate.activeCold(server, now)
	if now.Before(cold.closedUntil) {
		known.close(cold.closedUntil.Sub(now), now)
	}
	if now.Before(known.closedUntil) {
		return Closed{}
	}
	sinceAnswer := now.Sub(gate.answeredAt)
	if sinceAnswer < standaloneAfter {
		statement := gate.register.statement(server)
		statement.Server = server
		return NeedsPermit{Statement: statement, Cold: cold.Cold}
	}
	perSecond := gate.standaloneRate(server, cold.Cold)
	if perSecond <= 0 || sinceAnswer >= standaloneLifetime {
		known.close(noCoordinatorWait, now)
		return Closed{}
	}
	known.share.strict = cold.active(now)
	known.share.refill(perSecond, now)
	if !known.share.take(0) {
		known.close(known.share.timeFor(1-known.share.level), now)
		return Closed{}
	}
	return Admitted{}
}

// standaloneRate returns this entry's standalone share of a server's rate. So that the
// entries do not exceed a low rate together with their first requests, only as many have a
// share as the server accepts requests a second, and at least one; fewer if it is cold.
func (gate *Gate) standaloneRate(server Server, cold Cold) float64 {
	entries := gate.place.Entries
	if entries <= 0 {
		return 0
	}
	turn := (gate.place.Rank + int(xxhash.Sum64String(string(server.ID))%uint64(entries))) % entries
	rate := math.Inf(1)
	if limited, declared := gate.register.Rate(server); declared {
		sharers := min(entries, max(int(limited.PerSecond), 1))
		if turn >= sharers {
			return 0
		}
		rate = standaloneFraction * limited.PerSecond / float64(sharers)
	}
	if cold.PerSecond > 0 {
		sharers, perSecond := cold.standalone(entries)
		if turn >= sharers {
			return 0
		}
		rate = min(rate, perSecond)
	}
	return rate
}

// Close records that there is no permit for a server for some time.
func (gate *Gate) Close(server Server, wait time.Duration, now time.Time) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if known, limited := gate.servers[server]; limited {
		known.close(wait, now)
	}
}

// CloseYielding records that there is no permit for some time for requests that can go
// to another server.
func (gate *Gate) CloseYielding(server Server, wait time.Duration, now time.Time) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if known, limited := gate.servers[server]; limited {
		known.yieldingUntil = now.Add(wait)
	}
}

func (serverState *serverState) close(wait time.Duration, now time.Time) {
	serverState.closedUntil, serverState.closedFor = now.Add(wait), wait
}

// Restriction is how far a server is closed.
type Restriction int

const (
	// RestrictionNone means that the server gets requests.
	RestrictionNone Restriction = iota
	// RestrictionYielding means that it gets only requests that can go to no other server.
	RestrictionYielding
	// RestrictionClosed means that it gets no request.
	RestrictionClosed
)

// Restrictions returns the servers that get not all requests now, or nil if there is none.
func (gate *Gate) Restrictions(now time.Time) map[Server]Restriction {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	var restrictions map[Server]Restriction
	for server, state := range gate.servers {
		if !gate.limited(server, now) {
			continue
		}
		var restriction Restriction
		switch {
		case now.Before(state.closedUntil):
			restriction = RestrictionClosed
		case now.Before(state.yieldingUntil):
			restriction = RestrictionYielding
		default:
			continue
		}
		if restrictions == nil {
			restrictions = map[Server]Restriction{}
		}
		restrictions[server] = restriction
	}
	return restrictions
}

// Return returns after how long a caller whose request could only go to the given
// closed servers should return. Callers are told different times, so that each finds a
// permit, but none more than maxWait: many of them will not return at all.
func (gate *Gate) Return(servers []Server, now time.Time) time.Duration {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	wait, first := gate.nextReturn(servers, now)
	if first != nil {
		first.nextReturn = now.Add(wait + first.closedFor)
	}
	return wait
}

// NextReturn returns what [Gate.Return] would return. The next caller is told the same time.
func (gate *Gate) NextReturn(servers []Server, now time.Time) time.Duration {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	wait, _ := gate.nextReturn(servers, now)
	return wait
}

// nextReturn returns when the next caller should return, and the server for whose permit it
// does, or nil if there is none or the wait is the longest. The caller holds the mutex.
func (gate *Gate) nextReturn(servers []Server, now time.Time) (time.Duration, *serverState) {
	var first *serverState
	for _, server := range servers {
		if state, limited := gate.servers[server]; limited && (first == nil || state.returnTime().Before(first.returnTime())) {
			first = state
		}
	}
	if first == nil {
		return 0, nil
	}
	due := first.returnTime()
	if due.Sub(now) > maxWait {
		return maxWait, nil
	}
	return due.Sub(now), first
}

// returnTime returns when the next caller that is refused should return.
func (serverState *serverState) returnTime() time.Time {
	if serverState.nextReturn.After(serverState.closedUntil) {
		return serverState.nextReturn
	}
	return serverState.closedUntil
}
