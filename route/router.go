package route

import (
	"math/rand/v2"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// absentTimeout is how long a server isn't picked for a target after it refused
// a request because it hasn't loaded the target.
const absentTimeout = time.Second

// Router picks servers for one entry. It is not safe for concurrent use.
type Router struct {
	config  Config
	random  *rand.Rand
	views   map[Target]*view
	servers map[names.BackendServer]*server
	retries budget
	hedges  budget
	// refusedShare is the moving average of the share of attempts refused because
	// of overload.
	refusedShare float64
	// meanWait is the moving average of the reported times to the first token, in
	// seconds.
	meanWait float64
	changes  []Change
	// candidateBuffer and ejectedBuffer are reused by each Pick.
	candidateBuffer []*member
	ejectedBuffer   []*member
}

// New returns a router.
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

// Sent records that a request was sent to a server.
func (router *Router) Sent(_ time.Time, name names.BackendServer) {
	router.hedges.earn()
	server, ok := router.servers[name]
	if !ok {
		return
	}
	server.sentSinceReport++
	server.inFlight++
	if server.ejected() {
		server.probing = true
	}
}

// Answered records a complete answer of a server.
func (router *Router) Answered(now time.Time, name names.BackendServer, observation Observation) {
	router.retries.earn()
	router.refusedShare -= smoothing * router.refusedShare
	server, ok := router.servers[name]
	if !ok {
		return
	}
	router.endAttempt(now, server, &observation)
	server.consecutiveFailures = 0
	if server.probing {
		router.endProbe(now, server, &observation)
		return
	}
	router.recordLatency(server, &observation)
	if server.slow() && !server.ejected() && !router.config.Policy.NoEjection {
		router.eject(now, server)
	}
}

// Failed records an attempt that a server refused, broke off or never answered.
func (router *Router) Failed(now time.Time, name names.BackendServer, observation Observation) {
	server, ok := router.servers[name]
	overloaded := observation.Code == call.CodeOverloaded
	if overloaded {
		router.refusedShare += smoothing * (1 - router.refusedShare)
	}
	if !ok {
		return
	}
	router.endAttempt(now, server, &observation)
	switch observation.Code {
	case call.CodeOverloaded, call.CodeCancelled, call.CodeDeadline, call.CodeQuarantined, call.CodeRateLimited:
		server.probing = false
	case call.CodeDraining:
		server.probing = false
		server.drainingUntil = now.Add(drainTimeout)
	case call.CodeLoading:
		server.probing = false
		router.markAbsent(now, server, observation.Target)
	default:
		router.countFailure(now, server)
	}
}

// Reported records a load report that did not come with the end of an attempt.
func (router *Router) Reported(now time.Time, name names.BackendServer, load Load) {
	if server, ok := router.servers[name]; ok {
		router.acceptLoad(now, server, &load)
	}
}

// Tick evicts targets that have not been used for longer than unused.
func (router *Router) Tick(now time.Time, unused time.Duration) {
	for target, view := range router.views {
		if now.Sub(view.lastUsed) > unused {
			router.evict(target)
		}
	}
}

// Size returns the number of targets and servers that the router keeps state of.
func (router *Router) Size() (targets, servers int) {
	return len(router.views), len(router.servers)
}

// endAttempt records the end of an attempt and the load report that came with it.
func (router *Router) endAttempt(now time.Time, server *server, observation *Observation) {
	server.inFlight = max(0, server.inFlight-1)
	server.sentSinceReport = min(server.sentSinceReport, server.inFlight)
	if observation.Load == nil {
		return
	}
	router.acceptLoad(now, server, observation.Load)
}

// acceptLoad records a load report of a server.
func (router *Router) acceptLoad(now time.Time, server *server, load *Load) {
	server.acceptLoad(now, load, !router.config.Policy.NoSequence)
	router.meanWait += smoothing * (load.FirstToken.Seconds() - router.meanWait)
}

// recordLatency compares the latency of an answer with the mean of the target's
// answers and records the ratio as the server's slowness.
func (router *Router) recordLatency(server *server, observation *Observation) {
	view, ok := router.views[observation.Target]
	if !ok {
		return
	}
	slowness := 0.0
	if observation.FirstToken > 0 {
		slowness = compareWithMean(&view.firstToken, observation.FirstToken)
	}
	if observation.TokenGap > 0 {
		// The gap between tokens takes precedence, as it doesn't depend on how long
		// the request waited.
		slowness = compareWithMean(&view.tokenGap, observation.TokenGap)
	}
	if slowness > 0 {
		server.recordSlowness(slowness)
	}
}

// endProbe restores a server whose probe was answered, unless the answer was
// slow, in which case it ejects the server again.
func (router *Router) endProbe(now time.Time, server *server, observation *Observation) {
	view, ok := router.views[observation.Target]
	slow := ok && observation.TokenGap > 0 && view.tokenGap > 0 &&
		observation.TokenGap.Seconds() > slowRatio*view.tokenGap
	if slow {
		router.eject(now, server)
		return
	}
	router.restore(server)
}

// compareWithMean returns the ratio of a measurement to the mean and adds the
// measurement to the mean. A slow one is added with a bounded value, so that a
// slow server does not raise the mean to its own level.
func compareWithMean(mean *float64, measured time.Duration) float64 {
	value := measured.Seconds()
	if *mean == 0 {
		*mean = value
		return 1
	}
	ratio := value / *mean
	*mean += smoothing * (min(value, slowRatio**mean) - *mean) / 2
	return ratio
}

// markAbsent excludes a server from a target that it hasn't loaded.
func (router *Router) markAbsent(now time.Time, server *server, target Target) {
	view, ok := router.views[target]
	if !ok {
		return
	}
	for i := range view.members {
		if view.members[i].server == server {
			view.members[i].absentUntil = now.Add(absentTimeout)
		}
	}
}

// countFailure ejects a server that failed a probe or too many requests in a row.
func (router *Router) countFailure(now time.Time, server *server) {
	server.consecutiveFailures++
	if router.config.Policy.NoEjection {
		return
	}
	if server.probing || server.consecutiveFailures >= ejectionFailures && !server.ejected() {
		router.eject(now, server)
	}
}
