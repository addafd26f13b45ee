package memory

import (
	"fmt"
	"time"
)

// Wait is a body's wait for memory.
type Wait struct {
	account *Account
	bytes   int64
	large   bool
	granted chan struct{}
}

// Granted returns a channel that is closed when the body may be read on.
func (wait *Wait) Granted() <-chan struct{} { return wait.granted }

// Poll takes back promises to bodies that have not arrived in time, which may grant waits.
func (wait *Wait) Poll(now time.Time) {
	budget := wait.account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.expirePromises(now)
	budget.serveWaits(now)
}

// Cancel ends the wait. What was granted meanwhile is given back when the account is closed.
func (wait *Wait) Cancel(now time.Time) {
	budget := wait.account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.removeWait(wait)
	budget.serveWaits(now)
}

// ExhaustedError reports that a budget has no bytes left.
type ExhaustedError struct {
	// Bytes is what was asked for.
	Bytes int64
}

// Error implements [error].
func (exhaustedError *ExhaustedError) Error() string {
	return fmt.Sprintf("no memory for %d bytes more", exhaustedError.Bytes)
}
