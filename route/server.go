package route

import (
	"math"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

const (
	// ejectionFailures is the number of consecutive failures after which a server
	// is ejected.
	ejectionFailures = 3
	// slowRatio is how many times the mean latency of its target's replicas a
	// server may have before it counts as slow.
	slowRatio = 2.5
	// minSlowSamples is the least number of measurements to call a server slow.
	minSlowSamples = 8
	// minEjectionTime and maxEjectionTime bound how long a server is ejected; the
	// time doubles with each ejection.
	minEjectionTime = time.Second
	maxEjectionTime = 30 * time.Second
	// drainTimeout is how long a server counts as draining after it last said so.
	drainTimeout = 30 * time.Second
	// sequenceTimeout is the age of the last report after which one with a lower
	// sequence is accepted, as from a restarted agent.
	sequenceTimeout = 30 * time.Second
	// smoothing is the weight of the newest value in a moving average.
	smoothing = 0.2
)

// server is a router's state of one backend server.
type server struct {
	name names.BackendServer
	hash uint64
	// references counts the targets that list the server.
	references int
	load       Load
	reportedAt time.Time
	// sentSinceReport counts the requests sent since the last report, and inFlight
	// those that have not ended.
	sentSinceReport     int
	inFlight            int
	consecutiveFailures int
	// slowness is the moving average of the server's latency relative to its
	// peers, over samples measurements.
	slowness float64
	samples  int
	// ejectedUntil is when an ejected server is probed; zero means not ejected.
	ejectedUntil time.Time
	// ejectionTime is the length of the last ejection.
	ejectionTime  time.Duration
	probing       bool
	drainingUntil time.Time
}

// acceptLoad records a load report. If ordered, it drops one that arrives after
// a newer one.
func (server *server) acceptLoad(now time.Time, load *Load, ordered bool) {
	late := load.Sequence <= server.load.Sequence && now.Sub(server.reportedAt) < sequenceTimeout
	if ordered && late && !server.reportedAt.IsZero() {
		return
	}
	server.load, server.reportedAt, server.sentSinceReport = *load, now, 0
	server.drainingUntil = time.Time{}
	if load.Draining {
		server.drainingUntil = now.Add(drainTimeout)
	}
}

// reportWeight returns the weight of the last report, which halves with each
// half-life.
func (server *server) reportWeight(now time.Time, halfLife time.Duration) float64 {
	if server.reportedAt.IsZero() {
		return 0
	}
	return math.Exp2(-float64(now.Sub(server.reportedAt)) / float64(halfLife))
}

// leaving reports whether the server takes no new requests.
func (server *server) leaving(now time.Time) bool { return now.Before(server.drainingUntil) }

// ejected reports whether the server gets no requests except for probes.
func (server *server) ejected() bool { return !server.ejectedUntil.IsZero() }

// probeDue reports whether the ejection time is over and no probe is running.
func (server *server) probeDue(now time.Time) bool {
	return server.ejected() && !server.probing && !now.Before(server.ejectedUntil)
}

// eject takes the server out of use, for twice as long as the last time.
func (server *server) eject(now time.Time) {
	server.ejectionTime = min(max(minEjectionTime, 2*server.ejectionTime), maxEjectionTime)
	server.ejectedUntil = now.Add(server.ejectionTime)
	server.probing = false
}

// restore puts the server back into use.
func (server *server) restore() {
	server.ejectedUntil, server.probing = time.Time{}, false
	server.consecutiveFailures, server.samples, server.slowness = 0, 0, 0
}

// recordSlowness adds a measurement, relative to the mean of the target, to the
// server's slowness.
func (server *server) recordSlowness(ratio float64) {
	server.samples++
	if server.samples == 1 {
		server.slowness = ratio
		return
	}
	server.slowness += smoothing * (ratio - server.slowness)
}

// slow reports whether the server is clearly slower than its peers.
func (server *server) slow() bool {
	return server.samples >= minSlowSamples && server.slowness > slowRatio
}
