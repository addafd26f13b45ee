package relay

import (
	"container/list"
	"net/http"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
)

const (
	// stallDelay is how long a write to a caller takes before the server's response is read
	// ahead of it.
	stallDelay = 100 * time.Millisecond
	// slowCallerTime is how long a caller must have read nothing to be ended in favour of
	// others when memory is exhausted.
	slowCallerTime = 2 * time.Second
	// silentCallerTime is how long a caller may read nothing at all.
	silentCallerTime = 30 * time.Second
	// writeBytes is the most that is written at once. A caller that takes it within
	// slowCallerTime is not slow.
	writeBytes = 16 << 10
)

// stalls are the callers that a write waits for.
type stalls struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// writers are *callerWriter, that which has waited longest first.
	writers *list.List
	places  map[*callerWriter]*list.Element
}

func newStalls() *stalls {
	return &stalls{writers: list.New(), places: map[*callerWriter]*list.Element{}}
}

// add records that writer has waited for its caller for stallDelay.
func (stalls *stalls) add(writer *callerWriter) {
	stalls.mutex.Lock()
	defer stalls.mutex.Unlock()
	stalls.places[writer] = stalls.writers.PushBack(stall{writer: writer, since: writer.began})
}

// remove records that writer does not wait.
func (stalls *stalls) remove(writer *callerWriter) {
	stalls.mutex.Lock()
	defer stalls.mutex.Unlock()
	if place, found := stalls.places[writer]; found {
		stalls.writers.Remove(place)
		delete(stalls.places, writer)
	}
}

// takeSlowest removes and returns the writer that has waited longest, if that is at least
// slowCallerTime, or nil.
func (stalls *stalls) takeSlowest(now time.Time) *callerWriter {
	stalls.mutex.Lock()
	defer stalls.mutex.Unlock()
	first := stalls.writers.Front()
	if first == nil {
		return nil
	}
	slowest, ok := first.Value.(stall)
	if !ok || now.Sub(slowest.since) < slowCallerTime {
		return nil
	}
	stalls.writers.Remove(first)
	delete(stalls.places, slowest.writer)
	return slowest.writer
}

// stall is a writer that has waited for its caller since a time.
type stall struct {
	writer *callerWriter
	since  time.Time
}

// endSlowCaller ends the response whose caller has read nothing for longest, if there is one
// that is slow, since memory is exhausted.
func (relay *Relay) endSlowCaller() {
	if writer := relay.stalls.takeSlowest(relay.config.Clock.Now()); writer != nil {
		writer.end()
	}
}

// callerWriter writes a response to its caller and notices when the caller does not read. It
// calls stalled when a write has taken stallDelay. One goroutine writes.
type callerWriter struct {
	exchange   *exchange
	controller *http.ResponseController
	stalled    func()
	// mutex guards the fields below. The mutex of stalls may be taken while it is held.
	mutex sync.Mutex
	// writing reports whether a write is under way, began when it began, waiting whether it
	// has taken stallDelay.
	writing bool
	began   time.Time
	waiting bool
	// stallTimer and silenceTimer fire stallDelay and silentCallerTime after began.
	stallTimer   *time.Timer
	silenceTimer *time.Timer
}

// newCallerWriter returns a writer of the exchange's response; stalled may be nil.
func (exchange *exchange) newCallerWriter(stalled func()) *callerWriter {
	return &callerWriter{exchange: exchange, controller: http.NewResponseController(exchange.writer), stalled: stalled}
}

// Write implements [io.Writer].
func (callerWriter *callerWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		part := data[written:min(len(data), written+writeBytes)]
		count, err := 0, error(nil)
		callerWriter.watch(func() { count, err = callerWriter.exchange.writer.Write(part) })
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// flush sends what has been written.
func (callerWriter *callerWriter) flush() error {
	var err error
	callerWriter.watch(func() { err = callerWriter.controller.Flush() })
	return err
}

// watch calls write, which may wait for the caller. Without a bound for memory nothing is
// watched.
func (callerWriter *callerWriter) watch(write func()) {
	if callerWriter.exchange.relay.config.Memory.Limit() == 0 {
		write()
		return
	}
	callerWriter.mutex.Lock()
	callerWriter.writing, callerWriter.began = true, callerWriter.exchange.now()
	if callerWriter.stallTimer == nil {
		callerWriter.stallTimer = time.AfterFunc(stallDelay, callerWriter.stall)
	} else {
		callerWriter.stallTimer.Reset(stallDelay)
	}
	callerWriter.mutex.Unlock()
	defer callerWriter.wrote()
	write()
}

// wrote ends the watch of a write.
func (callerWriter *callerWriter) wrote() {
	callerWriter.mutex.Lock()
	defer callerWriter.mutex.Unlock()
	callerWriter.writing = false
	callerWriter.stallTimer.Stop()
	if callerWriter.waiting {
		callerWriter.waiting = false
		callerWriter.silenceTimer.Stop()
		callerWriter.exchange.relay.stalls.remove(callerWriter)
	}
}

// stall handles a write that has taken stallDelay. A timer that fires late may belong to an
// earlier write.
func (callerWriter *callerWriter) stall() {
	callerWriter.mutex.Lock()
	defer callerWriter.mutex.Unlock()
	if !callerWriter.writing || callerWriter.waiting || callerWriter.exchange.now().Sub(callerWriter.began) < stallDelay/2 {
		return
	}
	callerWriter.waiting = true
	callerWriter.exchange.relay.stalls.add(callerWriter)
	callerWriter.silenceTimer = time.AfterFunc(silentCallerTime-stallDelay, callerWriter.endSilent)
	if callerWriter.stalled != nil {
		callerWriter.stalled()
	}
}

// endSilent ends the response if its caller has read nothing for silentCallerTime.
func (callerWriter *callerWriter) endSilent() {
	callerWriter.mutex.Lock()
	silent := callerWriter.waiting && callerWriter.exchange.now().Sub(callerWriter.began) >= silentCallerTime/2
	callerWriter.mutex.Unlock()
	if silent {
		callerWriter.end()
	}
}

// end makes the write that is under way fail.
func (callerWriter *callerWriter) end() {
	callerWriter.mutex.Lock()
	defer callerWriter.mutex.Unlock()
	if !callerWriter.writing {
		return
	}
	relay := callerWriter.exchange.relay
	metrics.GetOrRegisterCounter("memory.slowCallersEnded", relay.config.Metrics).Inc(1)
	event.SlowCallerEnded.Log(relay.config.Log, logrus.Fields{
		"request": callerWriter.exchange.info.ID, "seconds": callerWriter.exchange.now().Sub(callerWriter.began).Seconds(),
	})
	// An error means that the connection has ended already.
	_ = callerWriter.controller.SetWriteDeadline(time.Unix(1, 0))
}
