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
	// delay is a decaying sum of the times, in milliseconds at the usual pace, for which the
	// engine's requests were to wait for the prompts that were placed on it.
	delay float64
	// inFlight is a decaying sum of the times, in milliseconds, for which requests were in flight,
	// also those between whose events no times are measured.
	inFlight  float64
	updatedAt time.Time
}

// add adds a number of events and the sum of the times between them.
func (speed *speed) add(events int, milliseconds float64, now time.Time) {
	speed.decay(now)
	speed.events += float64(events)
	speed.milliseconds += milliseconds
}

// addInFlight adds a time for which requests were in flight.
func (speed *speed) addInFlight(milliseconds float64, now time.Time) {
	speed.decay(now)
	speed.inFlight += milliseconds
}

// addDelay adds a time for which requests wait for a prompt.
func (speed *speed) addDelay(milliseconds float64, now time.Time) {
	speed.decay(now)
	speed.delay += milliseconds
}

func (speed *speed) decay(now time.Time) {
	if !now.After(speed.updatedAt) {
		return
	}
	decay := math.Exp2(-now.Sub(speed.updatedAt).Seconds() / speed.halfLife.Seconds())
	speed.events, speed.milliseconds, speed.updatedAt = speed.events*decay, speed.milliseconds*decay, now
	speed.delay, speed.inFlight = speed.delay*decay, speed.inFlight*decay
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

// eventDelay returns the part of an event time in which a usual engine would have read
// prompts. Only the measured part of the requests has a part in it: responses that are not streams
// and streams whose server an entry has chosen are not measured. It is bounded by what
// intakeFraction allows, as streams that have ended and prompts that were never sent count in the
// sum as well.
func (speed *speed) eventDelay(eventTime float64) float64 {
	delay := speed.delay
	if speed.inFlight > speed.milliseconds {
		delay *= speed.milliseconds / speed.inFlight
	}
	return min(delay/speed.events, intakeFraction*eventTime)
}

// paces compares the event times of engines.
type paces struct {
	// recent and lasting are the medians of the engines' event times in milliseconds, or
	// zero if they are unknown.
	recent  float64
	lasting float64
	// undelayed is the median of the lasting event times without the reading of prompts.
	undelayed float64
}

// update recomputes the medians.
func (paces *paces) update(states []*engineState) {
	paces.recent = median(states, paces.recent, func(state *engineState) (float64, bool) { return state.recent.eventTime() })
	paces.lasting = median(states, paces.lasting, func(state *engineState) (float64, bool) { return state.lasting.eventTime() })
	paces.undelayed = median(states, paces.undelayed, func(state *engineState) (float64, bool) {
		eventTime, known := state.lasting.eventTime()
		if !known {
			return 0, false
		}
		return eventTime - state.lasting.eventDelay(eventTime), true
	})
}

// median returns the median of the engines' times, or former if none is known.
func median(states []*engineState, former float64, timeOf func(*engineState) (float64, bool)) float64 {
	var times []float64
	for _, state := range states {
		if milliseconds, known := timeOf(state); known {
			times = append(times, milliseconds)
		}
	}
	if len(times) == 0 {
		return former
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// pace returns the lasting pace of an engine's streams, with the prompts that it reads
// meanwhile: one for a usual engine, two for one half as fast. An engine without events counts as
// usual.
func (paces *paces) pace(state *engineState) float64 {
	milliseconds, known := state.lasting.eventTime()
	return plausiblePace(milliseconds, paces.lasting, known)
}

// workPace returns the lasting pace of an engine relative to a usual one that reads the same
// prompts. [paces.pace] takes an engine 2.4 times as slow for 1.7 times as slow where it gets few
// prompts and the others read half of the time.
func (paces *paces) workPace(state *engineState) float64 {
	milliseconds, known := state.lasting.eventTime()
	if !known {
		return 1
	}
	return plausiblePace(milliseconds, paces.undelayed+state.lasting.eventDelay(milliseconds), paces.undelayed > 0)
}

// plausiblePace returns the pace of an engine that takes a time where a usual one takes
// another, or one if they are unknown.
func plausiblePace(milliseconds, usual float64, known bool) float64 {
	if !known || usual <= 0 {
		return 1
	}
	pace := min(max(milliseconds/usual, minPace), maxPace)
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
