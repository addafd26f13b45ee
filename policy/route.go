package policy

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Target is a service that gets a part of a route's requests, by its relative weight.
type Target struct {
	Service names.Service
	Weight  float64
}

// Route is the configuration of the requests to one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable reports whether a stream may continue on another server after its last
	// complete event.
	Resumable bool
	// Timeout bounds the time until a response is complete.
	Timeout time.Duration
	// Objective is the intended time to the complete response, or to a stream's first
	// event.
	Objective time.Duration
	// GapObjective is the intended maximum pause between a stream's events.
	GapObjective time.Duration
	// Priority ranks the route's requests; zero is the highest priority.
	Priority int
	// Targets is never empty.
	Targets []Target
	// MaxAttempts bounds the number of servers that may run a request.
	MaxAttempts int
	// Open reports whether requests need no key.
	Open bool
	// Homes are the regions outside of which no server gets the route's requests; empty
	// means that they are not restricted.
	Homes []names.Region
}

// Sends reports whether some of the route's requests go to a service.
func (route *Route) Sends(service names.Service) bool {
	return slices.ContainsFunc(route.Targets, func(target Target) bool { return target.Service == service && target.Weight > 0 })
}

// Target returns the service for a request. The number draw selects it and is uniformly
// distributed over [0, 1).
func (route *Route) Target(draw float64) names.Service {
	total := 0.0
	for _, target := range route.Targets {
		total += target.Weight
	}
	remaining := draw * total
	for _, target := range route.Targets {
		if remaining < target.Weight {
			return target.Service
		}
		remaining -= target.Weight
	}
	return route.Targets[len(route.Targets)-1].Service
}

const (
	// minStreamPatience is the least time without an event after which callers give a
	// stream up. Where objectives are longer they wait for objectivePatience times that to
	// the first event, or for gapPatience times that between events.
	minStreamPatience = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// StreamPatience returns how long callers wait for an event of a stream.
func (route *Route) StreamPatience() time.Duration {
	return max(minStreamPatience, objectivePatience*route.Objective, gapPatience*route.GapObjective)
}

// Repeatable reports whether a request may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == KindSafe || (route.Kind == KindStream && route.Resumable)
}
