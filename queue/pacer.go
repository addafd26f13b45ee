package queue

import "time"

const (
	// decreaseThreshold and quickGap are parts of the objective between tokens; above the
	// first the limit falls, below the second it rises by one.
	decreaseThreshold = 0.92
	increaseThreshold = 0.88
	// fastIncreaseThreshold is the part of the objective below which the limit rises fast.
	fastIncreaseThreshold = 0.6
	// decreaseShare is the part of the limit by which it falls, riseStep the part by
	// which it rises fast.
	decreaseShare     = 0.05
	fastIncreaseShare = 0.25
	// minLimitInterval is the least time between two changes of the limit.
	minLimitInterval = 500 * time.Millisecond
	// gapWindow is the time over which gaps are averaged, so that one slow step
	// doesn't count.
	gapWindow = time.Second
	// gapTimeout is how long no gap was owed to anyone before the limit rises
	// without one.
	gapTimeout = 2 * time.Second
	// minLimit keeps the server in use however slow it is.
	minLimit = 1
	// initialLimit is the limit before anything was measured, and firstShare the
	// part of the slots that it is at least.
	initialLimit      = 8
	initialLimitShare = 0.25
)

// pacer bounds how many requests run at once so that tokens come as often as
// is owed, where a larger batch makes each step longer.
type pacer struct {
	limit      int
	gap        float64
	observedAt time.Time
	changedAt  time.Time
}

func newPacer(slots int) pacer {
	return pacer{limit: min(slots, max(initialLimit, int(initialLimitShare*float64(slots))))}
}

// observe learns a gap between tokens, in seconds, of a request that is owed at
// most owed, while running requests run of at most slots, of which batch work
// leaves reserved free.
func (pacer *pacer) observe(now time.Time, gap float64, owed time.Duration, running, reserved, slots int) {
	if owed > 0 {
		since := min(1, now.Sub(pacer.observedAt).Seconds()/gapWindow.Seconds())
		pacer.observedAt = now
		pacer.gap += since * (gap/owed.Seconds() - pacer.gap)
	}
	if now.Sub(pacer.changedAt) < minLimitInterval {
		return
	}
	if limit := pacer.nextLimit(now, running, reserved, slots); limit != pacer.limit {
		pacer.limit, pacer.changedAt = limit, now
	}
}

// nextLimit is the limit that the gaps seen so far call for.
func (pacer *pacer) nextLimit(now time.Time, running, reserved, slots int) int {
	silent := now.Sub(pacer.observedAt) > gapTimeout
	// Batch work raises the limit only while no gap is owed to anyone.
	full := running >= pacer.limit || silent && running >= pacer.limit-reserved
	fast := max(1, int(fastIncreaseShare*float64(pacer.limit)))
	switch {
	case !silent && pacer.gap > decreaseThreshold:
		fall := max(1, int(decreaseShare*float64(pacer.limit)))
		return max(minLimit, min(pacer.limit, running)-fall)
	case full && (silent || pacer.gap < fastIncreaseThreshold):
		return min(slots, pacer.limit+fast)
	case full && pacer.gap < increaseThreshold:
		return min(slots, pacer.limit+1)
	default:
		return pacer.limit
	}
}
