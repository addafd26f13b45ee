package relay

import (
	"net/http"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
)

// callerWatch notices when reading from a caller or writing to it takes long. One goroutine
// reads or writes.
type callerWatch struct {
	exchange *exchange
	// reads reports whether the caller is read from, not written to.
	reads bool
	// stalled, if it is not nil, is called when a read or write has taken stallDelay.
	stalled func()
	// place is guarded by the mutex of transfers.
	place transferPlace
	// mutex guards the fields below. The mutex of stalls may be taken while it is held.
	mutex sync.Mutex
	// active reports whether a read or write is under way, began when it began, waiting
	// whether it has taken stallDelay.
	active  bool
	began   time.Time
	waiting bool
	// silenceTimer fires silentCallerTime after began.
	silenceTimer *time.Timer
}

// begin watches a read or write, which may wait for the caller, until finish is called.
// Without a bound for memory nothing is watched.
func (callerWatch *callerWatch) begin() {
	if callerWatch.exchange.relay.config.Memory.Limit() == 0 {
		return
	}
	began := callerWatch.exchange.now()
	callerWatch.mutex.Lock()
	callerWatch.active, callerWatch.began = true, began
	callerWatch.mutex.Unlock()
	callerWatch.exchange.relay.transfers.begin(callerWatch, began)
}

// finish ends the watch of a read or write.
func (callerWatch *callerWatch) finish() {
	if callerWatch.exchange.relay.config.Memory.Limit() == 0 {
		return
	}
	callerWatch.exchange.relay.transfers.end(callerWatch)
	callerWatch.mutex.Lock()
	defer callerWatch.mutex.Unlock()
	callerWatch.active = false
	if callerWatch.waiting {
		callerWatch.waiting = false
		callerWatch.silenceTimer.Stop()
		callerWatch.exchange.relay.stalls.remove(callerWatch)
	}
}

// stall handles a read or write that has taken stallDelay. It may have ended meanwhile, and
// another one may have begun.
func (callerWatch *callerWatch) stall() {
	callerWatch.mutex.Lock()
	defer callerWatch.mutex.Unlock()
	now := callerWatch.exchange.now()
	if !callerWatch.active || callerWatch.waiting || now.Sub(callerWatch.began) < stallDelay/2 {
		return
	}
	callerWatch.waiting = true
	callerWatch.exchange.relay.stalls.add(callerWatch, now)
	callerWatch.silenceTimer = time.AfterFunc(silentCallerTime-stallDelay, callerWatch.endSilent)
	if callerWatch.stalled != nil {
		callerWatch.stalled()
	}
}

// endSilent ends the request if its caller has read or sent nothing for silentCallerTime.
func (callerWatch *callerWatch) endSilent() {
	callerWatch.mutex.Lock()
	silent := callerWatch.waiting && callerWatch.exchange.now().Sub(callerWatch.began) >= silentCallerTime/2
	callerWatch.mutex.Unlock()
	if silent {
		callerWatch.end()
	}
}

// end makes the read or write that is under way fail. One that has begun since the watch was
// found to wait is not meant.
func (callerWatch *callerWatch) end() {
	callerWatch.mutex.Lock()
	defer callerWatch.mutex.Unlock()
	if !callerWatch.waiting {
		return
	}
	relay := callerWatch.exchange.relay
	metrics.GetOrRegisterCounter("memory.slowCallersEnded", relay.config.Metrics).Inc(1)
	event.SlowCallerEnded.Log(relay.config.Log, logrus.Fields{
		"request": callerWatch.exchange.info.ID, "seconds": callerWatch.exchange.now().Sub(callerWatch.began).Seconds(),
	})
	if callerWatch.reads {
		callerWatch.exchange.interruptRead()
		return
	}
	// An error means that the connection has ended already.
	_ = http.NewResponseController(callerWatch.exchange.writer).SetWriteDeadline(interruptedAt)
}
