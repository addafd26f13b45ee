package place

import "time"

// tokenBucket is a rate limiter that starts without tokens.
type tokenBucket struct {
	level, rate, burst float64
	at                 time.Time
}

// refill adds the tokens for the time since the last call.
func (tokenBucket *tokenBucket) refill(now time.Time) {
	if !tokenBucket.at.IsZero() && now.After(tokenBucket.at) {
		tokenBucket.level = min(tokenBucket.burst, tokenBucket.level+tokenBucket.rate*now.Sub(tokenBucket.at).Seconds())
	}
	tokenBucket.at = now
}

func (tokenBucket *tokenBucket) hasToken() bool { return tokenBucket.level >= 1 }

func (tokenBucket *tokenBucket) take() { tokenBucket.level-- }
