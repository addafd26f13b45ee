package member

import "time"

// limiter is a token bucket that limits how often an operation runs.
type limiter struct {
	period     time.Duration
	burst      int
	tokens     int
	refilledAt time.Time
}

// allow reports whether the operation may run now. If so, it uses up a token.
func (limiter *limiter) allow(now time.Time) bool {
	if limiter.refilledAt.IsZero() {
		limiter.refilledAt, limiter.tokens = now, limiter.burst
	}
	if gained := int(now.Sub(limiter.refilledAt) / limiter.period); gained > 0 {
		limiter.tokens = min(limiter.burst, limiter.tokens+gained)
		limiter.refilledAt = limiter.refilledAt.Add(time.Duration(gained) * limiter.period)
	}
	if limiter.tokens == 0 {
		return false
	}
	limiter.tokens--
	return true
}
