package entry

import (
	"time"

	"github.com/basilkeel/basilkeel/clock"
)

// stopwatch measures one request as its caller sees it. It is used by one
// goroutine.
type stopwatch struct {
	clock      *clock.Service
	started    time.Time
	latest     time.Time
	firstToken time.Duration
	largestGap time.Duration
}

func newStopwatch(clock *clock.Service) *stopwatch {
	return &stopwatch{clock: clock, started: clock.Now()}
}

// recordPiece records the time of a piece of output.
func (stopwatch *stopwatch) recordPiece() {
	now := stopwatch.clock.Now()
	if stopwatch.latest.IsZero() {
		stopwatch.firstToken = now.Sub(stopwatch.started)
	} else {
		stopwatch.largestGap = max(stopwatch.largestGap, now.Sub(stopwatch.latest))
	}
	stopwatch.latest = now
}

// elapsed returns the time since the request arrived.
func (stopwatch *stopwatch) elapsed() time.Duration {
	return stopwatch.clock.Now().Sub(stopwatch.started)
}
