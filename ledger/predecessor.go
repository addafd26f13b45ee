package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/engine"
)

// predecessor is the state of an earlier agent that may still send orders and
// generations. It becomes inactive in two steps. First, a report shows the
// agent's own epoch, so that later reports no longer extend the predecessor's
// permission. Once that permission has expired for certain, the agent sends
// another order, and a report that includes this order and shows no generations
// ends the state.
type predecessor struct {
	active bool
	// latestArrival bounds the time at which the predecessor's last order or
	// generation reaches the engine.
	latestArrival time.Time
	// boot identifies the run of the engine that reported the agent's epoch; empty
	// before the first such report. After a restart of the engine both steps
	// start over.
	boot string
	// barrier is the fence of the first order emitted after latestArrival;
	// noFence if there is none.
	barrier engine.Fence
}

// needsOrder reports whether an order emitted at now would advance the state.
func (predecessor *predecessor) needsOrder(now time.Time) bool {
	return predecessor.active && (predecessor.boot == "" || now.After(predecessor.latestArrival))
}

// orderSent records that an order with fence was emitted at now.
func (predecessor *predecessor) orderSent(now time.Time, fence engine.Fence) {
	if predecessor.barrier == noFence && predecessor.boot != "" && now.After(predecessor.latestArrival) {
		predecessor.barrier = fence
	}
}

// epochReported handles a report that shows the agent's own epoch. The last
// message that the predecessor sends because of an earlier report arrives within
// window from now.
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
