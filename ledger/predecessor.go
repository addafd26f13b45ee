package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/engine"
)

// predecessor is about a predecessor that may still send orders and generations.
// It ends in two steps. First a report shows the agent's own epoch, so that the
// predecessor finds no evidence for its permission any more. Once the
// permission has ended for certain, a second order is given out, and a report
// that follows it and shows no generation ends the state.
type predecessor struct {
	active bool
	// latestArrival bounds the time at which the predecessor's last order or generation
	// reaches the engine.
	latestArrival time.Time
	// boot is the engine's start in which the agent's epoch was seen; empty
	// before it was.
	boot string
	// barrier is an order given out after until; zero while there is none.
	barrier engine.Fence
}

// needsOrder tells that an order given out at now moves the state on.
func (predecessor *predecessor) needsOrder(now time.Time) bool {
	return predecessor.active && (predecessor.boot == "" || now.After(predecessor.latestArrival))
}

// orderSent notes that fence was given out at now.
func (predecessor *predecessor) orderSent(now time.Time, fence engine.Fence) {
	if predecessor.barrier == noFence && predecessor.boot != "" && now.After(predecessor.latestArrival) {
		predecessor.barrier = fence
	}
}

// epochReported takes a report that shows the agent's own epoch. The predecessor's
// evidence ends within window from now on.
func (predecessor *predecessor) epochReported(now time.Time, report engine.Report, window time.Duration) {
	if predecessor.boot != report.Boot {
		predecessor.boot, predecessor.barrier = report.Boot, noFence
		predecessor.latestArrival = later(predecessor.latestArrival, now.Add(window))
		return
	}
	barrierApplied := predecessor.barrier != noFence && report.Applied.Compare(predecessor.barrier) >= 0
	if barrierApplied && report.Running == 0 && report.Waiting == 0 {
		predecessor.active = false
	}
}
