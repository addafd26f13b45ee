package stand

import "time"

// tokenBucket bounds a rate, with a burst of one second's worth.
type tokenBucket struct {
	tokens  float64
	updated time.Time
}

// allow tells whether one more event at now is inside perSecond; zero admits all.
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
