package sched

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// Engine is what the coordinator knows of an engine.
type Engine struct {
	Server   *pool.Server
	Models   []names.Model
	Adapters []pool.Adapter
	// Busy reports whether the engine executes an order and accepts no other.
	Busy bool
}

// engineState is the scheduler's state of an engine.
type engineState struct {
	engine Engine
	// readyAt is when the engine will have read all prompts placed on it, at the rate at
	// which prompts are placed.
	readyAt time.Time
	// reported counts the requests in flight in the entries' last reports.
	reported int
	// placements are those that the entries' reports don't contain yet.
	placements []placement
	// recent and lasting measure the event times of the engine's streams.
	recent  speed
	lasting speed
	// slowdown is the latest one that the engine has stated.
	slowdown pool.Slowdown
	prompts  promptCache
	readings readingSums
	// failingUntil is until when the engine is avoided because an entry has reported it as
	// failing.
	failingUntil time.Time
}

// placement is a request that was placed on an engine.
type placement struct {
	instance names.Instance
	// sentAt is when the entry sends it.
	sentAt time.Time
}

// running returns the number of requests in flight.
func (state *engineState) running() int { return state.reported + len(state.placements) }

// slots returns how many requests the engine runs at once.
func (state *engineState) slots() float64 { return float64(max(state.engine.Server.Slots, 1)) }

// hasAdapter reports whether the engine holds an adapter.
func (state *engineState) hasAdapter(adapter pool.Adapter) bool {
	return slices.Contains(state.engine.Adapters, adapter)
}

// dropReported drops the placements of an entry that its report of now must contain, and
// those that are too old.
func (state *engineState) dropReported(instance names.Instance, now time.Time) {
	state.placements = slices.DeleteFunc(state.placements, func(placement placement) bool {
		age := now.Sub(placement.sentAt)
		return age > placementLifetime || (placement.instance == instance && age > reportDelay)
	})
}

// hasPlacements reports whether placements of an entry are left.
func (state *engineState) hasPlacements(instance names.Instance) bool {
	return slices.ContainsFunc(state.placements, func(placement placement) bool { return placement.instance == instance })
}
