package relay

import (
	"container/list"
	"sync"
	"time"
)

const (
	// stallDelay is how long a write to a caller takes before the server's response is read
	// ahead of it.
	stallDelay = 100 * time.Millisecond
	// slowCallerTime is how long a caller must have read or sent nothing to be ended in favour of
	// others when memory is exhausted.
	slowCallerTime = 2 * time.Second
	// silentCallerTime is how long a caller may read or send nothing at all.
	silentCallerTime = 30 * time.Second
)

// stalls are the callers that a read or write waits for.
type stalls struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// watches holds a stall for each, that which has waited longest first.
	watches *list.List
	places  map[*callerWatch]*list.Element
}

func newStalls() *stalls {
	return &stalls{watches: list.New(), places: map[*callerWatch]*list.Element{}}
}

// add records that watch waits for its caller since now. The time before does not count, as the
// process itself may have been frozen.
func (stalls *stalls) add(watch *callerWatch, now time.Time) {
	stalls.mutex.Lock()
	defer stalls.mutex.Unlock()
	stalls.places[watch] = stalls.watches.PushBack(stall{watch: watch, since: now})
}

// remove records that watch does not wait.
func (stalls *stalls) remove(watch *callerWatch) {
	stalls.mutex.Lock()
	defer stalls.mutex.Unlock()
	if place, found := stalls.places[watch]; found {
		stalls.watches.Remove(place)
		delete(stalls.places, watch)
	}
}

// takeSlowest removes and returns the watch that has waited longest, if that is at least
// slowCallerTime, or nil.
func (stalls *stalls) takeSlowest(now time.Time) *callerWatch {
	stalls.mutex.Lock()
	defer stalls.mutex.Unlock()
	first := stalls.watches.Front()
	if first == nil {
		return nil
	}
	slowest, ok := first.Value.(stall)
	if !ok || now.Sub(slowest.since) < slowCallerTime {
		return nil
	}
	stalls.watches.Remove(first)
	delete(stalls.places, slowest.watch)
	return slowest.watch
}

// stall is a watch that has waited for its caller since a time.
type stall struct {
	watch *callerWatch
	since time.Time
}

// endSlowCaller ends the request whose caller has read or sent nothing for longest, if there is
// one that is slow, since memory is exhausted.
func (relay *Relay) endSlowCaller() {
	if watch := relay.stalls.takeSlowest(relay.config.Clock.Now()); watch != nil {
		watch.end()
	}
}
