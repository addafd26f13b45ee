package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// recentHalfLife smooths an engine's event times over the time of a few reports, and
	// lastingHalfLife over that of many streams.
	recentHalfLife  = 800 * time.Millisecond
	lastingHalfLife = 8 * time.Second
	// usualPace is the pace up to which an engine counts as one of the usual pace: its event
	// times also depend on its load.
	usualPace = 1.5
	// minPace and maxPace bound the pace of an engine relative to its peers.
	minPace = 0.5
	maxPace = 6
	// maxEventMilliseconds is the longest plausible mean time between two events.
	maxEventMilliseconds = 10_000
)

// speed measures the time between the events of an engine's streams.
type speed struct {
	halfLife time.Duration
	// events and milliseconds are decaying sums as of updatedAt.
	events       float64
	milliseconds float64
	updatedAt    time.Time
}

// add adds a number of events and the sum of the times between them.
func (speed *speed) add(events int, milliseconds float64, now time.Time) {
	if now.After(speed.updatedAt) {
		decay := math.Exp2(-now.Sub(speed.updatedAt).Seconds() / speed.halfLife.Seconds())
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

// paces compares the event times of engines.
type paces struct {
	// recent and lasting are the medians of the engines' event times in milliseconds, or
	// zero if they are unknown.
	recent  float64
	lasting float64
}

// update recomputes the medians.
func (paces *paces) update(states []*engineState) {
	paces.recent = median(states, paces.recent, func(state *engineState) *speed { return &state.recent })
	paces.lasting = median(states, paces.lasting, func(state *engineState) *speed { return &state.lasting })
}

// median returns the median of the engines' event times, or former if none is known.
func median(states []*engineState, former float64, speedOf func(*engineState) *speed) float64 {
	var times []float64
	for _, state := range states {
		if milliseconds, known := speedOf(state).eventTime(); known {
			times = append(times, milliseconds)
		}
	}
	if len(times) == 0 {
		return former
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// pace returns the lasting pace of an engine: one for a usual engine, two for one half as
// fast. An engine without events counts as usual.
func (paces *paces) pace(state *engineState) float64 {
	milliseconds, known := state.lasting.eventTime()
	if !known || paces.lasting <= 0 {
		return 1
	}
	pace := min(max(milliseconds/paces.lasting, minPace), maxPace)
	if pace < usualPace {
		return 1
	}
	return pace
}

// eventTime returns the expected time between the events of an engine's streams in
// milliseconds.
func (paces *paces) eventTime(state *engineState) float64 {
	expected := paces.recent * paces.pace(state)
	if milliseconds, known := state.recent.eventTime(); known {
		return max(milliseconds, expected)
	}
	return expected
}
