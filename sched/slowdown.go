package sched

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/pool"
)

const (
	// slowdownLifetime is how long a stated slowdown counts, less with its age. Slowdowns
	// last for a fraction of a second.
	slowdownLifetime = 600 * time.Millisecond
	// minSlowdown and maxSlowdown bound the slowdowns that are plausible.
	minSlowdown = 0.1
	maxSlowdown = 20.0
	// slowdownSamples is the number of latest slowdowns from which the margin follows, and
	// slowdownQuantile the quantile of them that the margin covers.
	slowdownSamples  = 200
	slowdownQuantile = 0.9
)

// slowdowns keeps the latest slowdowns of all engines of a service.
type slowdowns struct {
	samples []float64
	next    int
	// margin is the factor by which an engine may become slower at any moment.
	margin float64
	// since counts the samples since the margin was computed.
	since int
}

func newSlowdowns() *slowdowns { return &slowdowns{margin: 1} }

// add adds a slowdown.
func (slowdowns *slowdowns) add(factor float64) {
	if len(slowdowns.samples) < slowdownSamples {
		slowdowns.samples = append(slowdowns.samples, factor)
	} else {
		slowdowns.samples[slowdowns.next] = factor
		slowdowns.next = (slowdowns.next + 1) % slowdownSamples
	}
	if slowdowns.since++; slowdowns.since < slowdownSamples/10 {
		return
	}
	slowdowns.since = 0
	sorted := slices.Sorted(slices.Values(slowdowns.samples))
	slowdowns.margin = max(sorted[int(slowdownQuantile*float64(len(sorted)-1))], 1)
}

// observe stores the slowdowns that an engine has stated, and returns the number of
// implausible ones.
func (scheduler *Scheduler) observe(uses []pool.EngineUse, now time.Time) int {
	invalid := 0
	for _, use := range uses {
		state, known := scheduler.engines[use.Server]
		if !known || state.engine.Server.Incarnation != use.Incarnation {
			continue
		}
		for _, slowdown := range use.Slowdowns {
			if !plausibleSlowdown(slowdown, now) {
				invalid++
				continue
			}
			scheduler.slowdowns.add(slowdown.Factor)
			if slowdown.At.After(state.slowdown.At) {
				state.slowdown = slowdown
			}
		}
	}
	return invalid
}

// slowdownAt returns how long work is expected to take relative to usual.
func (state *engineState) slowdownAt(now time.Time) float64 {
	age := now.Sub(state.slowdown.At)
	if age < 0 || age >= slowdownLifetime {
		return 1
	}
	return 1 + (state.slowdown.Factor-1)*(1-float64(age)/float64(slowdownLifetime))
}
