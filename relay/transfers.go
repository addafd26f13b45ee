package relay

import (
	"sync"
	"time"
)

// transferSweepPeriod is the time between two looks at the transfers under way, so that a
// stalled one is found after stallDelay to one and a half times that.
const transferSweepPeriod = stallDelay / 2

// transfers holds the reads from callers and writes to callers that are under way. One timer
// for all of them finds those that take long: a timer for each would be reset for each event
// of each stream.
type transfers struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex  sync.Mutex
	active map[*callerWatch]time.Time
	// armed reports whether the timer will fire.
	armed bool
	timer *time.Timer
	now   func() time.Time
}

func newTransfers(now func() time.Time) *transfers {
	return &transfers{active: map[*callerWatch]time.Time{}, now: now}
}

// begin records that a transfer begins.
func (transfers *transfers) begin(watch *callerWatch, now time.Time) {
	transfers.mutex.Lock()
	defer transfers.mutex.Unlock()
	transfers.active[watch] = now
	if !transfers.armed {
		transfers.arm()
	}
}

// end records that a transfer has ended.
func (transfers *transfers) end(watch *callerWatch) {
	transfers.mutex.Lock()
	defer transfers.mutex.Unlock()
	delete(transfers.active, watch)
}

// arm makes the timer fire. It is called with the mutex held.
func (transfers *transfers) arm() {
	transfers.armed = true
	if transfers.timer == nil {
		transfers.timer = time.AfterFunc(transferSweepPeriod, transfers.sweep)
		return
	}
	transfers.timer.Reset(transferSweepPeriod)
}

// sweep handles the transfers that have taken stallDelay. The timer fires again while any is
// under way.
func (transfers *transfers) sweep() {
	transfers.mutex.Lock()
	now := transfers.now()
	var stalled []*callerWatch
	for watch, began := range transfers.active {
		if now.Sub(began) >= stallDelay {
			stalled = append(stalled, watch)
		}
	}
	transfers.armed = false
	if len(transfers.active) > 0 {
		transfers.arm()
	}
	transfers.mutex.Unlock()
	for _, watch := range stalled {
		watch.stall()
	}
}
