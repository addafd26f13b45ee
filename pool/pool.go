package pool

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
)

const (
	// outageGrace is how long after a registry outage an entry that was dropped around
	// the outage may be missing before its server counts as gone.
	outageGrace = 2 * time.Second
	// expiryPeriods is how many periods without a report make the registry drop an
	// entry.
	expiryPeriods = 3
	// missingModelLifetime is how long a server gets no requests for a model that it
	// reported missing, while the coordinator's view catches up.
	missingModelLifetime = 400 * time.Millisecond
	// ejectAfterFailures is how many consecutive failures eject a server.
	ejectAfterFailures = 2
	// minEjection and maxEjection bound the duration of an ejection, which doubles
	// with each consecutive one.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// errorWeight is the weight of one outcome in the moving average of errors.
	errorWeight = 0.1
	// toleratedErrorRate is the error rate that adds no penalty: one in seven lookups
	// fails for a reason other than the server.
	toleratedErrorRate = 0.25
	// errorPenalty is the load that an error rate of one counts as, beyond the
	// tolerated one.
	errorPenalty = 3
	// slowPenalty is the load that a request whose first byte is overdue counts as.
	slowPenalty = 0.5
	// promptPenalty is the load that each promptChunkTokens of unread prompts count as.
	// Each chunk delays every stream of the engine by 50 ms; a stream is late after a
	// pause of more than 250 ms.
	promptPenalty     = 0.2
	promptChunkTokens = 2048
	// unseenSpread is the load over which an instance with a small part of the requests
	// randomizes its choices. It does not see what others have sent since their last
	// report; without the randomness, all instances would choose the same server.
	unseenSpread = 0.8
	// silentAfter is how long a server with requests in flight may send nothing. An
	// engine sends an event every 50 ms, and plain servers respond within 110 ms.
	silentAfter = 500 * time.Millisecond
	// silentPenalty is the load that is added for such silence.
	silentPenalty = 1
	// crossDomainPenalty is the load that a server in another failure domain counts as:
	// traffic between domains is expensive and takes 5 ms each way.
	crossDomainPenalty = 0.12
	// adapterSlack is how much higher the score of a server that holds the adapter may
	// be than that of the best server that could load it.
	adapterSlack = 0.3
	// maxEngineLoad and maxPlainLoad are the loads from which a server gets no further
	// requests. Engines run requests beyond their slots in turn; plain servers queue
	// up to four times their slots.
	maxEngineLoad = 1.05
	maxPlainLoad  = 4
)

// Config configures a [Pool].
type Config struct {
	// RegistryPeriod is the interval at which servers report to the registry.
	RegistryPeriod time.Duration
	// Gate decides about requests to servers that declare a request rate; nil means a
	// new gate.
	Gate *permit.Gate
	// Random returns a uniformly distributed number in [0, 1).
	Random func() float64
}

// Pool is an entry's view of backend servers. It is safe for concurrent use.
type Pool struct {
	config Config
	// mutex guards the fields below.
	mutex   sync.Mutex
	members map[names.BackendServer]*member
	// byService holds the members of each service by ID. A choice goes through them in this
	// order, so that the same random numbers lead to the same choices.
	byService map[names.Service][]*member
	// ownRequests and otherRequests are the sums of those of the members.
	ownRequests   int
	otherRequests int
	// usable is the memory of the candidates of the last choice, which the next one uses.
	usable []*member
	// departures are the incarnations that announced that they are leaving.
	departures map[names.BackendServer]departure
	// registryLostAt is when the registry stopped responding, or zero while it
	// responds; registryRecoveredAt is when it last responded again.
	registryLostAt      time.Time
	registryRecoveredAt time.Time
	// holdings is what the coordinator reported last; it takes precedence over the
	// registry until holdingsUntil.
	holdings      map[names.BackendServer]*Holding
	holdingsUntil time.Time
	// changed is closed and replaced whenever a server may have become usable.
	changed chan struct{}
	// coldStarts is what the policy declares of cold servers. registryRead reports whether
	// the registry has been read.
	coldStarts   map[names.Service]ColdStart
	registryRead bool
	// uses is what has been measured since the last report.
	uses map[permit.Server]*EngineUse
	// evacuated are the failure domains whose servers get no requests. returnedAt is when
	// the evacuations of others ended.
	evacuated  map[names.FailureDomain]struct{}
	returnedAt map[names.FailureDomain]time.Time
	// modelRequests counts this instance's requests in flight for models.
	modelRequests map[modelOnServer]int
}

// New returns an empty pool.
func New(config Config) *Pool {
	if config.Gate == nil {
		config.Gate = permit.NewGate()
	}
	return &Pool{
		config: config, members: map[names.BackendServer]*member{}, byService: map[names.Service][]*member{}, departures: map[names.BackendServer]departure{},
		holdings: map[names.BackendServer]*Holding{}, changed: make(chan struct{}),
		uses: map[permit.Server]*EngineUse{}, modelRequests: map[modelOnServer]int{}, returnedAt: map[names.FailureDomain]time.Time{},
	}
}

// Changed returns a channel that is closed when the registry or the coordinator next
// reports something about servers, so that one may have become usable.
func (pool *Pool) Changed() <-chan struct{} {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.changed
}

// notifyChanged wakes those who wait for [Pool.Changed]. The caller holds the mutex.
func (pool *Pool) notifyChanged() {
	close(pool.changed)
	pool.changed = make(chan struct{})
}

// Put stores the registry's entry of a server. A new incarnation or address drops what
// was known of the server, except its requests in flight. An incarnation that was draining
// still is, also if the registry has lost that.
func (pool *Pool) Put(server *Server) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	known, found := pool.members[server.ID]
	appeared := !found || known.server.Incarnation != server.Incarnation || known.server.Address != server.Address || !known.delistedAt.IsZero()
	used := !pool.registryRead || found && known.server.Incarnation == server.Incarnation && !pool.gone(known, server.ListedAt)
	if !found || known.server.Incarnation != server.Incarnation || known.server.Address != server.Address {
		fresh := &member{server: server, missingModels: map[names.Model]time.Time{}}
		if found {
			fresh.ownRequests, fresh.unreadTokens = known.ownRequests, known.unreadTokens
			pool.otherRequests -= known.otherRequests
			pool.unlist(known)
		}
		pool.applyHolding(fresh)
		pool.members[server.ID] = fresh
		pool.list(fresh)
	} else {
		if known.server.Draining && !server.Draining {
			draining := *server
			draining.Draining, draining.Remaining = true, known.server.Remaining
			server = &draining
		}
		if known.server.Service != server.Service {
			pool.unlist(known)
			known.server = server
			pool.list(known)
		}
		known.server = server
		known.delistedAt, known.outagePossible = time.Time{}, false
	}
	pool.observeCold(pool.members[server.ID], appeared, used)
	pool.notifyChanged()
}

// list adds a member to those of its service. The caller holds the mutex.
func (pool *Pool) list(member *member) {
	listed := pool.byService[member.server.Service]
	index, _ := place(listed, member)
	pool.byService[member.server.Service] = slices.Insert(listed, index, member)
}

// unlist removes a member from those of its service. The caller holds the mutex.
func (pool *Pool) unlist(member *member) {
	service := member.server.Service
	listed := pool.byService[service]
	if index, found := place(listed, member); found {
		pool.byService[service] = slices.Delete(listed, index, index+1)
	}
	if len(pool.byService[service]) == 0 {
		delete(pool.byService, service)
	}
}

// place returns the position of a member in a list by ID.
func place(listed []*member, wanted *member) (int, bool) {
	return slices.BinarySearchFunc(listed, wanted.server.ID, func(member *member, id names.BackendServer) int {
		return cmp.Compare(member.server.ID, id)
	})
}

// Remove records that the registry no longer lists a server.
func (pool *Pool) Remove(id names.BackendServer, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	known, found := pool.members[id]
	if !found || !known.delistedAt.IsZero() {
		return
	}
	known.delistedAt = now
	known.outagePossible = !pool.registryLostAt.IsZero() ||
		(!pool.registryRecoveredAt.IsZero() && now.Sub(pool.registryRecoveredAt) < expiryPeriods*pool.config.RegistryPeriod)
}

// Reject records that the registry's entry of a server does not describe a usable one.
// The server counts as gone until it has another entry; unlike a missing entry, no
// outage explains that.
func (pool *Pool) Reject(id names.BackendServer, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	known, found := pool.members[id]
	if !found {
		return
	}
	if known.delistedAt.IsZero() {
		known.delistedAt = now
	}
	known.outagePossible = false
}

// RegistryLost records that the registry has stopped responding. Servers that were gone
// before remain gone.
func (pool *Pool) RegistryLost(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, member := range pool.members {
		if pool.gone(member, now) {
			member.outagePossible = false
		}
	}
	pool.registryLostAt = now
}

// RegistryRecovered records that the registry responds again.
func (pool *Pool) RegistryRecovered(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.registryLostAt, pool.registryRecoveredAt = time.Time{}, now
}

// gone reports whether a server counts as gone: its entry is missing, and a registry
// outage does not explain that. The caller holds the mutex.
func (pool *Pool) gone(member *member, now time.Time) bool {
	switch {
	case member.delistedAt.IsZero():
		return false
	case !member.outagePossible:
		return true
	default:
		return pool.registryLostAt.IsZero() && now.Sub(pool.registryRecoveredAt) > outageGrace
	}
}

// accepting reports whether a server accepts new requests, as far as is known. The
// caller holds the mutex.
func (pool *Pool) accepting(member *member, now time.Time) bool {
	return pool.closure(member, now) == ExclusionNone
}

// closure returns why a server accepts no new requests, or ExclusionNone. The caller
// holds the mutex.
func (pool *Pool) closure(member *member, now time.Time) Exclusion {
	switch {
	case member.server.Draining:
		return ExclusionDraining
	case pool.gone(member, now):
		return ExclusionGone
	case pool.departed(member.server.ID, member.server.Incarnation):
		return ExclusionDeparted
	case pool.isEvacuated(member.server.Domain):
		return ExclusionEvacuated
	default:
		return ExclusionNone
	}
}

// Sweep drops servers that are idle and have been gone for longer than
// [Pool.RegistryExpiry], and old departures and declared rates. It returns the servers of
// these rates.
func (pool *Pool) Sweep(now time.Time) []permit.Server {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for id, member := range pool.members {
		if member.ownRequests == 0 && pool.gone(member, now) && now.Sub(member.delistedAt) > pool.RegistryExpiry() {
			delete(pool.members, id)
			pool.otherRequests -= member.otherRequests
			pool.unlist(member)
		}
	}
	pool.expireDepartures(now)
	pool.assumeUnseen(now)
	return pool.config.Gate.Expire(pool.listed, now)
}

// Servers returns every server that is not gone, sorted by ID.
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

// Usable reports whether a server that was picked earlier may still be sent a request.
func (pool *Pool) Usable(server *Server, now time.Time) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, found := pool.members[server.ID]
	return found && member.server.Incarnation == server.Incarnation && pool.accepting(member, now) && !member.paused(now)
}

// ApplyUpdate stores an update from the coordinator.
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
			pool.otherRequests += update.Others[id] - member.otherRequests
			member.otherRequests = update.Others[id]
		}
		pool.applyHolding(member)
	}
	pool.notifyChanged()
}

// applyHolding sets a member's holding from the coordinator's report on its
// incarnation, if there is one. The caller holds the mutex.
func (pool *Pool) applyHolding(member *member) {
	member.holding, member.holdingUntil = nil, pool.holdingsUntil
	if holding, found := pool.holdings[member.server.ID]; found && holding.Incarnation == member.server.Incarnation {
		member.holding = holding
	}
}
