package pool

import (
	"slices"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

const (
	// lapseGrace is how long an entry that vanished around an outage of the
	// registry may be missing after its end before the server counts as gone.
	lapseGrace = 2 * time.Second
	// lapseBeats is how many registry periods of silence remove an entry.
	lapseBeats = 3
	// absentFor is how long a server is not asked again for a model that it said
	// it lacks, while the coordinator's view catches up.
	absentFor = 400 * time.Millisecond
	// ejectFailures is how many failures in a row eject a server.
	ejectFailures = 2
	// firstEjection and lastEjection bound how long a server gets no requests; it
	// doubles with each ejection in a row.
	firstEjection = time.Second
	lastEjection  = 8 * time.Second
	// errorWeight is the weight of one answer in the moving share of errors.
	errorWeight = 0.1
	// toleratedErrors is the share of errors that does not count against a server;
	// lookups fail by themselves in one of seven cases.
	toleratedErrors = 0.25
	// errorPenalty is the load that a share of errors of one counts as.
	errorPenalty = 3
	// slowPenalty is the load that a request without a first byte counts as.
	slowPenalty = 0.5
	// promptPenalty is the load that a chunk of unread prompt counts as: each delays
	// every stream of the engine by 50 ms, and pauses over 250 ms are late.
	promptPenalty = 0.2
	promptChunk   = 2048
	// unseenSpread is the load over which the choices of instances are spread that
	// have a small part of the requests: what the others have begun since they last
	// told is not seen, and all would choose the same server.
	unseenSpread = 0.8
	// silentAfter is how long a server with requests under way may send nothing: an
	// engine sends events each 50 ms, and plain servers answer within 110 ms.
	silentAfter = 500 * time.Millisecond
	// silentPenalty is the load that such silence counts as.
	silentPenalty = 1
	// distancePenalty is the load that another failure domain counts as: its bytes
	// are dear and each way takes 5 ms.
	distancePenalty = 0.12
	// adapterSlack is how much more loaded a server with the adapter may be.
	adapterSlack = 0.3
	// fullEngine and fullPlain are the loads beyond which requests are refused.
	// Engines run what is above one in turn; plain servers queue four times their
	// slots.
	fullEngine = 1.05
	fullPlain  = 4
)

// Config carries what a [Pool] is built from.
type Config struct {
	// RegistryPeriod is the time between two reports of a server.
	RegistryPeriod time.Duration
	// Random returns a uniform number over [0, 1).
	Random func() float64
}

// Pool is an entry's view of backend servers. It is safe for concurrent use.
type Pool struct {
	config Config
	// mutex guards all below.
	mutex   sync.Mutex
	members map[names.BackendServer]*member
	// departures are servers that said that they leave.
	departures map[names.BackendServer]departure
	// lostSince is when the registry stopped answering, zero while it answers;
	// regained is when it answered again.
	lostSince time.Time
	regained  time.Time
	// holdings is what the coordinator told last, which goes before the registry
	// until holdingsUntil.
	holdings      map[names.BackendServer]*Holding
	holdingsUntil time.Time
	// changed is closed and replaced whenever a server may have become usable.
	changed chan struct{}
}

// New returns an empty pool.
func New(config Config) *Pool {
	return &Pool{
		config: config, members: map[names.BackendServer]*member{}, departures: map[names.BackendServer]departure{},
		holdings: map[names.BackendServer]*Holding{}, changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed with the next change of what servers
// hold or whether they are usable.
func (pool *Pool) Changed() <-chan struct{} {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.changed
}

// wake is called with the mutex held.
func (pool *Pool) wake() {
	close(pool.changed)
	pool.changed = make(chan struct{})
}

// Put takes over what the registry says of a server.
func (pool *Pool) Put(server *Server) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	known, found := pool.members[server.ID]
	if !found || known.server.Incarnation != server.Incarnation || known.server.Address != server.Address {
		fresh := &member{server: server, absent: map[names.Model]time.Time{}}
		if found {
			fresh.own, fresh.unread = known.own, known.unread
		}
		pool.adopt(fresh)
		pool.members[server.ID] = fresh
	} else {
		known.server = server
		known.goneAt, known.lapsed = time.Time{}, false
	}
	pool.wake()
}

// Remove tells that the registry no longer lists a server.
func (pool *Pool) Remove(id names.BackendServer, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	known, found := pool.members[id]
	if !found || !known.goneAt.IsZero() {
		return
	}
	known.goneAt = now
	known.lapsed = !pool.lostSince.IsZero() ||
		(!pool.regained.IsZero() && now.Sub(pool.regained) < lapseBeats*pool.config.RegistryPeriod)
}

// RegistryLost tells that the registry does not answer. Servers that were gone before
// stay so.
func (pool *Pool) RegistryLost(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, member := range pool.members {
		if pool.gone(member, now) {
			member.lapsed = false
		}
	}
	pool.lostSince = now
}

// RegistryRecovered tells that the registry answers again.
func (pool *Pool) RegistryRecovered(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.lostSince, pool.regained = time.Time{}, now
}

// gone tells whether a server is to be taken as gone: its entry is missing and
// an outage of the registry does not explain that. It is called with the mutex
// held.
func (pool *Pool) gone(member *member, now time.Time) bool {
	switch {
	case member.goneAt.IsZero():
		return false
	case !member.lapsed:
		return true
	default:
		return pool.lostSince.IsZero() && now.Sub(pool.regained) > lapseGrace
	}
}

// open tells whether a server takes new requests, as far as is known. It is called
// with the mutex held.
func (pool *Pool) open(member *member, now time.Time) bool {
	return !member.server.Draining && !pool.gone(member, now) && !pool.departing(member.server.ID, member.server.Incarnation)
}

// Sweep forgets servers that have been gone for long and are idle.
func (pool *Pool) Sweep(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for id, member := range pool.members {
		if member.own == 0 && pool.gone(member, now) && now.Sub(member.goneAt) > pool.RegistryExpiry() {
			delete(pool.members, id)
		}
	}
	pool.forgetDepartures(now)
}

// Servers returns every server that is not gone.
func (pool *Pool) Servers(now time.Time) []*Server {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	servers := make([]*Server, 0, len(pool.members))
	for _, member := range pool.members {
		if !pool.gone(member, now) {
			servers = append(servers, member.server)
		}
	}
	slices.SortFunc(servers, func(a, b *Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return servers
}

// Usable tells whether a server picked earlier may still be sent to.
func (pool *Pool) Usable(server *Server, now time.Time) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, found := pool.members[server.ID]
	return found && member.server.Incarnation == server.Incarnation && pool.open(member, now) && !member.resting(now)
}

// ApplyUpdate takes over what the coordinator knows.
func (pool *Pool) ApplyUpdate(update Update) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if update.Complete {
		pool.holdings = map[names.BackendServer]*Holding{}
	}
	for _, holding := range update.Holdings {
		pool.holdings[holding.Server] = &holding
	}
	pool.holdingsUntil = update.Until
	for id, member := range pool.members {
		if update.Others != nil {
			member.others = update.Others[id]
		}
		pool.adopt(member)
	}
	pool.wake()
}

// adopt gives a member what the coordinator knows of its incarnation. It is called
// with the mutex held.
func (pool *Pool) adopt(member *member) {
	member.holding, member.holdingUntil = nil, pool.holdingsUntil
	if holding, found := pool.holdings[member.server.ID]; found && holding.Incarnation == member.server.Incarnation {
		member.holding = holding
	}
}
