package sched

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/rate"
)

const (
	// holdFraction and maxHold bound how long a request that has missed its objective is
	// held: callers give up on a stream after some seconds without an event.
	holdFraction = 0.25
	maxHold      = 1500 * time.Millisecond
	// minHoldPart is the part of that time for which requests are held beyond their objective
	// although others that were held have been refused in the end.
	minHoldPart = 0.1
	// minReturn and maxReturn bound the time after which a refused caller should return.
	// A copy of a model that is loaded meanwhile takes some seconds.
	minReturn = 300 * time.Millisecond
	maxReturn = 3 * time.Second
	// minSpacing and maxSpacing bound the time between the returns of two callers.
	minSpacing = 5 * time.Millisecond
	maxSpacing = 500 * time.Millisecond
	// modelHalfLife smooths what became of the requests for a model.
	modelHalfLife = 2 * time.Second
)

// modelState is what became of the requests for a model.
type modelState struct {
	placed *rate.Meter
	// overduePlaced and overdueRefused are the requests that had missed their objective.
	overduePlaced  *rate.Meter
	overdueRefused *rate.Meter
	// nextReturn is when the next refused caller should return.
	nextReturn time.Time
	// refusedAt is when a request was last refused for lack of room, and refusedPriority the
	// highest priority of those refused within refusalSpan before.
	refusedAt       time.Time
	refusedPriority int
}

// model returns the state of a model, a new one if nothing has been recorded for it.
func (scheduler *Scheduler) model(name names.Model) *modelState {
	if state, known := scheduler.models[name]; known {
		return state
	}
	return &modelState{placed: rate.NewMeter(modelHalfLife), overduePlaced: rate.NewMeter(modelHalfLife), overdueRefused: rate.NewMeter(modelHalfLife)}
}

// recordedModel returns the state of a model and keeps it.
func (scheduler *Scheduler) recordedModel(name names.Model) *modelState {
	state := scheduler.model(name)
	scheduler.models[name] = state
	return state
}

// negligibleRate is the rate of requests for a model below which its state is dropped.
const negligibleRate = 0.01

// recordPlaced records that a request was placed.
func (scheduler *Scheduler) recordPlaced(request *Request, now time.Time) {
	state := scheduler.recordedModel(request.Model)
	state.placed.Add(1, now)
	if request.Elapsed > request.Objective {
		state.overduePlaced.Add(1, now)
	}
}

// holdLimit returns the time from its arrival on after which a request that has missed its
// objective is refused. The fewer of such requests have been served, the shorter it is.
func (state *modelState) holdLimit(request *Request, now time.Time) time.Duration {
	limit := min(time.Duration(holdFraction*float64(request.Elapsed+request.Left)), maxHold)
	if limit <= request.Objective {
		return request.Objective
	}
	placed, refused := state.overduePlaced.PerSecond(now), state.overdueRefused.PerSecond(now)
	part := max(placed/max(placed+refused, 1), minHoldPart)
	if placed+refused < 1 {
		part = 1
	}
	return request.Objective + time.Duration(part*float64(limit-request.Objective))
}

// hold decides about a request that cannot meet its objective and finds no engine: it waits
// for a while, and is refused then.
func (scheduler *Scheduler) hold(request *Request, wait time.Duration, load float64, now time.Time) Decision {
	state := scheduler.model(request.Model)
	if request.Elapsed < state.holdLimit(request, now) && request.Left > 2*maxLater {
		return scheduler.later(request, wait+2*minLater, load, now)
	}
	return scheduler.refuse(request, wait, load, now)
}

// refuse returns the refusal of a request. The times at which callers return are spread, see
// recordRefused.
func (scheduler *Scheduler) refuse(request *Request, wait time.Duration, load float64, now time.Time) Decision {
	state := scheduler.model(request.Model)
	due := now.Add(max(wait, minReturn))
	if state.nextReturn.After(due) {
		due = state.nextReturn
	}
	due = earlier(due, now.Add(maxReturn))
	return Refused{RetryAfter: due.Sub(now), Load: load}
}

// recordRefused records a refusal and takes the time at which its caller returns.
func (scheduler *Scheduler) recordRefused(request *Request, refused Refused, now time.Time) {
	state := scheduler.recordedModel(request.Model)
	state.overdueRefused.Add(1, now)
	if now.Sub(state.refusedAt) >= refusalSpan || request.Priority <= state.refusedPriority {
		state.refusedAt, state.refusedPriority = now, request.Priority
	}
	spacing := maxSpacing
	if perSecond := state.placed.PerSecond(now); perSecond > 0 {
		spacing = min(max(duration(1000/perSecond), minSpacing), maxSpacing)
	}
	state.nextReturn = now.Add(refused.RetryAfter + spacing)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
