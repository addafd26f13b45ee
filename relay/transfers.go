package relay

import (
	"sync"
	"time"
)

// transferSweepPeriod is the least time between two looks at the transfers under way, so that
// a stalled one is found after stallDelay to one and a half times that.
const transferSweepPeriod = stallDelay / 2

// transfers holds the reads from callers and writes to callers that are under way. One timer
// for all of them finds those that take long: a timer for each would be reset for each event
// of each stream. It fires when the oldest would have stalled, as each firing costs processor
// time and most transfers take microseconds.
type transfers struct {
	// mutex guards the fields below and the places of all watches. No other lock is taken
	// while it is held.
	mutex sync.Mutex
	// first and last are the ends of a list in the order in which the transfers began. Those
	// that have stalled are not in it.
	first, last *callerWatch
	// armed reports whether the timer will fire.
	armed bool
	timer *time.Timer
	now   func() time.Time
}

// transferPlace is the place of a watch in [transfers].
type transferPlace struct {
	listed         bool
	began          time.Time
	previous, next *callerWatch
}

func newTransfers(now func() time.Time) *transfers { return &transfers{now: now} }

// begin records that a transfer begins.
func (transfers *transfers) begin(watch *callerWatch, now time.Time) {
	transfers.mutex.Lock()
	defer transfers.mutex.Unlock()
	watch.place = transferPlace{listed: true, began: now, previous: transfers.last}
	if transfers.last == nil {
		transfers.first = watch
	} else {
		transfers.last.place.next = watch
	}
	transfers.last = watch
	if !transfers.armed {
		transfers.arm(stallDelay)
	}
}

// end records that a transfer has ended.
func (transfers *transfers) end(watch *callerWatch) {
	transfers.mutex.Lock()
	defer transfers.mutex.Unlock()
	transfers.remove(watch)
}

// remove takes a watch out of the list. It is called with the mutex held.
func (transfers *transfers) remove(watch *callerWatch) {
	place := watch.place
	if !place.listed {
		return
	}
	watch.place = transferPlace{}
	if place.previous == nil {
		transfers.first = place.next
	} else {
		place.previous.place.next = place.next
	}
	if place.next == nil {
		transfers.last = place.previous
	} else {
		place.next.place.previous = place.previous
	}
}

// arm makes the timer fire after a delay. It is called with the mutex held.
func (transfers *transfers) arm(delay time.Duration) {
	transfers.armed = true
	if transfers.timer == nil {
		transfers.timer = time.AfterFunc(delay, transfers.sweep)
		return
	}
	transfers.timer.Reset(delay)
}

// sweep handles the transfers that have taken stallDelay. The timer fires again while others
// are under way.
func (transfers *transfers) sweep() {
	transfers.mutex.Lock()
	now := transfers.now()
	stalled := transfers.takeStalled(now)
	transfers.armed = false
	if transfers.first != nil {
		transfers.arm(max(transfers.first.place.began.Add(stallDelay).Sub(now), transferSweepPeriod))
	}
	transfers.mutex.Unlock()
	for _, watch := range stalled {
		watch.stall()
	}
}

// takeStalled removes and returns the transfers that have taken stallDelay. It is called with
// the mutex held.
func (transfers *transfers) takeStalled(now time.Time) []*callerWatch {
	var stalled []*callerWatch
	for watch := transfers.first; watch != nil && now.Sub(watch.place.began) >= stallDelay; watch = transfers.first {
		stalled = append(stalled, watch)
		transfers.remove(watch)
	}
	return stalled
}
