package stand

import "time"

// tokenBucket limits the rate of events. Its burst is the number of events of
// one second, and at least one.
type tokenBucket struct {
	tokens  float64
	updated time.Time
}

// allow reports whether one more event at now stays within perSecond, and
// counts the event if so. Zero means no limit.
func (tokenBucket *tokenBucket) allow(now time.Time, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	burst := max(perSecond, 1)
	if tokenBucket.updated.IsZero() {
		tokenBucket.tokens = burst
	} else {
		tokenBucket.tokens = min(burst, tokenBucket.tokens+perSecond*now.Sub(tokenBucket.updated).Seconds())
	}
	tokenBucket.updated = now
	if tokenBucket.tokens < 1 {
		return false
	}
	tokenBucket.tokens--
	return true
}
