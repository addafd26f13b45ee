package memory

import (
	"slices"
	"sync"
	"time"
)

const (
	// fixedBytes is the memory that a process takes without any request: its program, its
	// view of the fleet and the runtime of Go.
	fixedBytes = 48 << 20
	// limitRatio is the fraction of the remaining memory that is held for callers and
	// servers. The rest is left for garbage, stacks and the kernel's socket buffers.
	limitRatio = 0.65
	// minLimitRatio is the least fraction of the whole memory, for very small instances.
	minLimitRatio = 0.2
	// SmallBytes is the length of the longest body that is read without a promise for all
	// of it.
	SmallBytes = MaxPieceBytes
	// spareRatio is the fraction of the limit that only small bodies, responses and streams
	// use, so that large bodies don't keep them out.
	spareRatio = 1.0 / 10
	// maxPromiseRatio bounds one promise as a fraction of the limit.
	maxPromiseRatio = 1.0 / 4
	// maxWaitingRatio bounds the bytes that requests wait for as a fraction of the limit.
	// What waits behind more than that would not get its turn in time.
	maxWaitingRatio = 1.0 / 2
	// promiseTime is the time for which a promise is kept without a further piece of the
	// body. It allows a rate of 32 kB/s, which is the share of one among 40 bodies on the
	// slowest links.
	promiseTime = 2 * time.Second
	// MaxWait is how long a body waits for memory before its request is refused.
	MaxWait = time.Second
	// connectionReserveRatio is what connections and heads have beyond the limit, as a fraction of
	// it: bodies, responses and streams can't use it, so that requests can always be received.
	connectionReserveRatio = 3.0 / 13
	// maxConnectionRatio bounds what connections and heads use of the limit, as a fraction of it,
	// so that they don't keep bodies out.
	maxConnectionRatio = 1.0 / 2
	// spareHeadRatio is the fraction of the room of connections and heads that only small heads
	// use, so that large ones don't keep them out.
	spareHeadRatio = 1.0 / 4
	// SmallHeadBytes is what the largest small head takes. Usual heads take a fraction of it.
	SmallHeadBytes = 16 << 10
	// reportPeriod is the least time between two reports that the budget is exhausted.
	reportPeriod = time.Second
)

// LimitOf returns the bytes that a process with memoryBytes may hold for its callers and
// servers. Zero means no bound.
func LimitOf(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return 0
	}
	return int64(max(limitRatio*float64(memoryBytes-fixedBytes), minLimitRatio*float64(memoryBytes)))
}

// Budget bounds the bytes that all requests of a process hold together. It is safe for
// concurrent use.
//
// A body that is longer than [SmallBytes] gets a promise for all of it before more of it is
// read. Bodies that begin together would otherwise fill the budget with their halves, and
// none of them could be completed. A promise lapses if the body does not arrive.
type Budget struct {
	limit int64
	// mutex guards the fields below and those of all accounts and waits.
	mutex sync.Mutex
	// held are the bytes that are held, promised those that bodies will need. connections is the
	// sum of those for connections and heads, total that of all others.
	held        [purposeCount]int64
	connections int64
	total       int64
	promised    int64
	// promises are the accounts with a promise, the oldest first.
	promises []*Account
	// waits are served in order; waiting is the sum of their bytes.
	waits      []*Wait
	waiting    int64
	reportedAt time.Time
}

// NewBudget returns a budget of limit bytes. Zero means no bound.
func NewBudget(limit int64) *Budget { return &Budget{limit: max(limit, 0)} }

// Limit returns the bytes that may be held, or zero if there is no bound.
func (budget *Budget) Limit() int64 { return budget.limit }

// Held returns the bytes that are held for a purpose.
func (budget *Budget) Held(purpose Purpose) int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.held[purpose]
}

// Promised returns the bytes that are kept free for bodies which are being read.
func (budget *Budget) Promised() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.promised
}

// Waiting returns the number of bodies that wait for memory.
func (budget *Budget) Waiting() int {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return len(budget.waits)
}

// ShouldReport reports whether exhaustion at a time is to be logged: once in a
// reportPeriod.
func (budget *Budget) ShouldReport(now time.Time) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if !budget.reportedAt.IsZero() && now.Sub(budget.reportedAt) < reportPeriod {
		return false
	}
	budget.reportedAt = now
	return true
}

// fits reports whether bytes more may be held. It is called with the mutex held.
func (budget *Budget) fits(bytes int64, large bool) bool {
	if budget.limit == 0 {
		return true
	}
	limit := budget.limit
	if large {
		limit -= int64(spareRatio * float64(limit))
	}
	return budget.total+budget.promised+max(budget.connections-budget.reserve(), 0)+bytes <= limit
}

// reserve returns the bytes that only connections and heads use.
func (budget *Budget) reserve() int64 { return int64(connectionReserveRatio * float64(budget.limit)) }

// connectionRoom returns the most that connections and heads may use.
func (budget *Budget) connectionRoom() int64 {
	return budget.reserve() + int64(maxConnectionRatio*float64(budget.limit))
}

// fitsConnections reports whether bytes more may be held for connections and heads. It is called
// with the mutex held.
func (budget *Budget) fitsConnections(bytes int64, room int64) bool {
	held := budget.connections + bytes
	return budget.limit == 0 || held <= room &&
		(held <= budget.reserve() || budget.total+budget.promised+held-budget.reserve() <= budget.limit)
}

// maxPromise returns the greatest promise.
func (budget *Budget) maxPromise() int64 { return int64(maxPromiseRatio * float64(budget.limit)) }

// expirePromises takes back the promises to bodies that don't arrive. It is called with the
// mutex held.
func (budget *Budget) expirePromises(now time.Time) {
	budget.promises = slices.DeleteFunc(budget.promises, func(account *Account) bool {
		if now.Sub(account.progressAt) < promiseTime {
			return false
		}
		budget.promised -= account.promised
		account.promised = 0
		account.lapsed = true
		return true
	})
}

// serveWaits grants what waits, in order, as long as it fits. Small bodies don't wait behind
// large ones. It is called with the mutex held.
func (budget *Budget) serveWaits(now time.Time) {
	largeBlocked := false
	budget.waits = slices.DeleteFunc(budget.waits, func(wait *Wait) bool {
		switch {
		case wait.large && largeBlocked:
			return false
		case !budget.fits(wait.bytes, wait.large):
			largeBlocked = largeBlocked || wait.large
			return false
		}
		wait.account.addPromise(wait.bytes, now)
		budget.waiting -= wait.bytes
		close(wait.granted)
		return true
	})
}

// removeWait is called with the mutex held.
func (budget *Budget) removeWait(wait *Wait) {
	index := slices.Index(budget.waits, wait)
	if index < 0 {
		return
	}
	budget.waits = slices.Delete(budget.waits, index, index+1)
	budget.waiting -= wait.bytes
}
