package policy

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Target is one service of a route's split with its relative weight.
type Target struct {
	Service names.Service
	Weight  float64
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may be continued on another server after the last
	// complete event.
	Resumable bool
	// Timeout is the longest that a request is kept waiting for its whole answer.
	Timeout time.Duration
	// Objective is the time to the whole answer, or to a stream's first event.
	Objective time.Duration
	// GapObjective is the longest pause between a stream's events.
	GapObjective time.Duration
	// Priority is the rank of the route's requests; zero goes first.
	Priority int
	// Targets is never empty.
	Targets []Target
	// MaxAttempts bounds the servers that one request may run at.
	MaxAttempts int
	// Open routes need no key.
	Open bool
}

// Target returns the service that a request goes to, where draw is uniform
// over [0, 1).
func (route *Route) Target(draw float64) names.Service {
	total := 0.0
	for _, target := range route.Targets {
		total += target.Weight
	}
	rest := draw * total
	for _, target := range route.Targets {
		if rest < target.Weight {
			return target.Service
		}
		rest -= target.Weight
	}
	return route.Targets[len(route.Targets)-1].Service
}

// Repeatable tells whether a request may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == KindSafe || (route.Kind == KindStream && route.Resumable)
}
