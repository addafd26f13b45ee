package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// eventHalfLife smooths the event times of an engine over some ten of its streams'
	// events from each entry.
	eventHalfLife = 800 * time.Millisecond
	// minPace and maxPace bound the pace of an engine relative to its peers.
	minPace = 0.5
	maxPace = 6
	// maxEventMilliseconds is the longest plausible mean time between two events.
	maxEventMilliseconds = 10_000
)

// speed measures the time between the events of an engine's streams.
type speed struct {
	// events and milliseconds are decaying sums as of updatedAt.
	events       float64
	milliseconds float64
	updatedAt    time.Time
}

// add adds a number of events and the sum of the times between them.
func (speed *speed) add(events int, milliseconds float64, now time.Time) {
	if now.After(speed.updatedAt) {
		decay := math.Exp2(-now.Sub(speed.updatedAt).Seconds() / eventHalfLife.Seconds())
		speed.events, speed.milliseconds, speed.updatedAt = speed.events*decay, speed.milliseconds*decay, now
	}
	speed.events += float64(events)
	speed.milliseconds += milliseconds
}

// minEvents is the least decayed number of events for a mean.
const minEvents = 4

// eventTime returns the mean time between events in milliseconds, or false if there are
// too few.
func (speed *speed) eventTime() (float64, bool) {
	if speed.events < minEvents {
		return 0, false
	}
	return speed.milliseconds / speed.events, true
}

// paces computes the usual event time of the engines and the pace of each: its event time
// relative to that of its peers, smoothed against the last pace. An engine without events
// keeps its pace.
type paces struct {
	// usualMilliseconds is the median of the engines' event times, or zero if unknown.
	usualMilliseconds float64
}

// update recomputes the median.
func (paces *paces) update(states []*engineState) {
	var times []float64
	for _, state := range states {
		if milliseconds, known := state.speed.eventTime(); known {
			times = append(times, milliseconds)
		}
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	paces.usualMilliseconds = times[(len(times)-1)/2]
}

// pace returns the pace of an engine: one for the usual, two for one half as fast.
func (paces *paces) pace(state *engineState) float64 {
	milliseconds, known := state.speed.eventTime()
	if !known || paces.usualMilliseconds <= 0 {
		return 1
	}
	return min(max(milliseconds/paces.usualMilliseconds, minPace), maxPace)
}
