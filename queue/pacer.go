package queue

import "time"

const (
	// decreaseThreshold is the mean gap between tokens, relative to its objective,
	// above which the limit decreases; below increaseThreshold it increases by one.
	decreaseThreshold = 0.92
	increaseThreshold = 0.88
	// fastIncreaseThreshold is the relative gap below which the limit increases by
	// fastIncreaseShare.
	fastIncreaseThreshold = 0.6
	// decreaseShare and fastIncreaseShare are the changes of the limit relative to
	// its value.
	decreaseShare     = 0.05
	fastIncreaseShare = 0.25
	// minLimitInterval is the least time between two changes of the limit.
	minLimitInterval = 500 * time.Millisecond
	// gapWindow is the time over which gaps are averaged, so that a single slow
	// step doesn't change the limit.
	gapWindow = time.Second
	// gapTimeout is how long after the last gap that had an objective the limit
	// increases without regard to gaps.
	gapTimeout = 2 * time.Second
	// minLimit keeps the server in use however slow it is.
	minLimit = 1
	// initialLimit is the limit before any gap is measured, or initialLimitShare
	// of the slots if that is more.
	initialLimit      = 8
	initialLimitShare = 0.25
)

// pacer limits how many requests run at once, so that the gap between tokens
// meets its objective: a larger batch makes each step of the engine longer.
type pacer struct {
	limit int
	// gap is the mean gap between tokens, relative to the objective.
	gap        float64
	observedAt time.Time
	changedAt  time.Time
}

func newPacer(slots int) pacer {
	return pacer{limit: min(slots, max(initialLimit, int(initialLimitShare*float64(slots))))}
}

// observe updates the limit with a gap between tokens, in seconds, of a request
// with the given objective; zero means that it has none. Batch requests leave
// reserved of the slots free.
func (pacer *pacer) observe(now time.Time, gap float64, objective time.Duration, running, reserved, slots int) {
	if objective > 0 {
		weight := min(1, now.Sub(pacer.observedAt).Seconds()/gapWindow.Seconds())
		pacer.observedAt = now
		pacer.gap += weight * (gap/objective.Seconds() - pacer.gap)
	}
	if now.Sub(pacer.changedAt) < minLimitInterval {
		return
	}
	if limit := pacer.nextLimit(now, running, reserved, slots); limit != pacer.limit {
		pacer.limit, pacer.changedAt = limit, now
	}
}

// nextLimit returns the limit that follows from the mean gap.
func (pacer *pacer) nextLimit(now time.Time, running, reserved, slots int) int {
	noGaps := now.Sub(pacer.observedAt) > gapTimeout
	// Batch requests alone fill only the unreserved slots. That counts as full only
	// while no gap has an objective.
	full := running >= pacer.limit || noGaps && running >= pacer.limit-reserved
	increase := max(1, int(fastIncreaseShare*float64(pacer.limit)))
	switch {
	case !noGaps && pacer.gap > decreaseThreshold:
		decrease := max(1, int(decreaseShare*float64(pacer.limit)))
		return max(minLimit, min(pacer.limit, running)-decrease)
	case full && (noGaps || pacer.gap < fastIncreaseThreshold):
		return min(slots, pacer.limit+increase)
	case full && pacer.gap < increaseThreshold:
		return min(slots, pacer.limit+1)
	default:
		return pacer.limit
	}
}
