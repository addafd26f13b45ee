package relay

import (
	"context"
	"sync"
	"time"
)

// progress tracks the requests in progress so that they can be ended. It is safe for
// concurrent use.
type progress struct {
	// mutex guards the fields below.
	mutex   sync.Mutex
	cancels map[*exchange]context.CancelFunc
	ended   bool
}

// begin has end call cancel until finish is called.
func (progress *progress) begin(exchange *exchange, cancel context.CancelFunc) {
	progress.mutex.Lock()
	defer progress.mutex.Unlock()
	if progress.ended {
		cancel()
	}
	progress.cancels[exchange] = cancel
}

func (progress *progress) finish(exchange *exchange) {
	progress.mutex.Lock()
	defer progress.mutex.Unlock()
	delete(progress.cancels, exchange)
}

// end cancels the requests in progress and all further ones.
func (progress *progress) end() {
	progress.mutex.Lock()
	defer progress.mutex.Unlock()
	progress.ended = true
	for _, cancel := range progress.cancels {
		cancel()
	}
}

// countBefore returns the number of requests in progress that began before a time.
func (progress *progress) countBefore(when time.Time) int {
	progress.mutex.Lock()
	defer progress.mutex.Unlock()
	count := 0
	for exchange := range progress.cancels {
		if exchange.started.Before(when) {
			count++
		}
	}
	return count
}

// hasEnded reports whether end has been called.
func (progress *progress) hasEnded() bool {
	progress.mutex.Lock()
	defer progress.mutex.Unlock()
	return progress.ended
}
