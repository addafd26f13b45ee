package route

import (
	"math/rand/v2"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// absentMemory is how long a server that lacks a target is left alone.
const absentMemory = time.Second

// Router picks servers for one entry. It is not safe for concurrent use.
type Router struct {
	config  Config
	random  *rand.Rand
	views   map[Target]*view
	servers map[names.BackendServer]*server
	retries budget
	hedges  budget
	// refused is the mean share of attempts that were refused for load.
	refused float64
	// wait is the mean reported wait, in seconds.
	wait    float64
	changes []Change
	scratch []*member
	aside   []*member
}

// New returns a router that knows nothing yet.
func New(config Config) *Router {
	config = config.withDefaults()
	return &Router{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, mixFactor1)),
		views:   map[Target]*view{},
		servers: map[names.BackendServer]*server{},
		retries: newBudget(config.RetryShare, config.RetryBurst),
		hedges:  newBudget(config.HedgeShare, config.HedgeBurst),
	}
}

// Sent records that a request leaves for server.
func (router *Router) Sent(_ time.Time, name names.BackendServer) {
	router.hedges.earn()
	server, ok := router.servers[name]
	if !ok {
		return
	}
	server.sent++
	server.flying++
	if server.aside() {
		server.probing = true
	}
}

// Answered records a whole answer of server.
func (router *Router) Answered(now time.Time, name names.BackendServer, observation Observation) {
	router.retries.earn()
	router.refused -= smoothing * router.refused
	server, ok := router.servers[name]
	if !ok {
		return
	}
	router.landed(now, server, &observation)
	server.failures = 0
	if server.probing {
		router.judgeProbe(now, server, &observation)
		return
	}
	router.measure(server, &observation)
	if server.slow() && !server.aside() && !router.config.Policy.NoEjection {
		router.setAside(now, server)
	}
}

// Failed records an attempt that server refused, broke or never answered.
func (router *Router) Failed(now time.Time, name names.BackendServer, observation Observation) {
	server, ok := router.servers[name]
	overloaded := observation.Code == call.CodeOverloaded
	if overloaded {
		router.refused += smoothing * (1 - router.refused)
	}
	if !ok {
		return
	}
	router.landed(now, server, &observation)
	switch observation.Code {
	case call.CodeOverloaded, call.CodeCancelled, call.CodeDeadline, call.CodeQuarantined, call.CodeRateLimited:
		server.probing = false
	case call.CodeDraining:
		server.probing = false
		server.draining = now.Add(drainMemory)
	case call.CodeLoading:
		server.probing = false
		router.markAbsent(now, server, observation.Target)
	default:
		router.countFailure(now, server)
	}
}

// Reported records a load report that came outside of an answer's end.
func (router *Router) Reported(now time.Time, name names.BackendServer, load Load) {
	if server, ok := router.servers[name]; ok {
		router.accept(now, server, &load)
	}
}

// Tick forgets targets that the plan no longer has or that went unused.
func (router *Router) Tick(now time.Time, unused time.Duration) {
	for target, view := range router.views {
		if now.Sub(view.used) > unused {
			router.forget(target)
		}
	}
}

// Size counts the targets and servers that the router keeps state of.
func (router *Router) Size() (targets, servers int) {
	return len(router.views), len(router.servers)
}

// landed takes in what every end of an attempt brings.
func (router *Router) landed(now time.Time, server *server, observation *Observation) {
	server.flying = max(0, server.flying-1)
	server.sent = min(server.sent, server.flying)
	if observation.Load == nil {
		return
	}
	router.accept(now, server, observation.Load)
}

func (router *Router) accept(now time.Time, server *server, load *Load) {
	server.accept(now, load, !router.config.Policy.NoSequence)
	router.wait += smoothing * (load.FirstToken.Seconds() - router.wait)
}

// measure compares an answer with those of the target's other replicas.
func (router *Router) measure(server *server, observation *Observation) {
	view, ok := router.views[observation.Target]
	if !ok {
		return
	}
	slowness := 0.0
	if observation.FirstToken > 0 {
		slowness = ratio(&view.firstToken, observation.FirstToken)
	}
	if observation.TokenGap > 0 {
		// The gap between tokens doesn't depend on how long the request waited.
		slowness = ratio(&view.tokenGap, observation.TokenGap)
	}
	if slowness > 0 {
		server.measure(slowness)
	}
}

// judgeProbe takes a server back into use if its probe was quick enough.
func (router *Router) judgeProbe(now time.Time, server *server, observation *Observation) {
	view, ok := router.views[observation.Target]
	slow := ok && observation.TokenGap > 0 && view.tokenGap > 0 &&
		observation.TokenGap.Seconds() > slowRatio*view.tokenGap
	if slow {
		router.setAside(now, server)
		return
	}
	router.restore(server)
}

// ratio compares a measurement with the mean, which it then enters. A slow one
// enters with a bounded value, so that a slow server does not become the norm.
func ratio(mean *float64, measured time.Duration) float64 {
	value := measured.Seconds()
	if *mean == 0 {
		*mean = value
		return 1
	}
	found := value / *mean
	*mean += smoothing * (min(value, slowRatio**mean) - *mean) / 2
	return found
}

func (router *Router) markAbsent(now time.Time, server *server, target Target) {
	view, ok := router.views[target]
	if !ok {
		return
	}
	for i := range view.members {
		if view.members[i].server == server {
			view.members[i].absent = now.Add(absentMemory)
		}
	}
}

func (router *Router) countFailure(now time.Time, server *server) {
	server.failures++
	if router.config.Policy.NoEjection {
		return
	}
	if server.probing || server.failures >= failureLimit && !server.aside() {
		router.setAside(now, server)
	}
}
