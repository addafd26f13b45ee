package share

import (
	"math"
	"time"
)

// bucket is a token bucket over a share of an account's rate and burst.
type bucket struct {
	share float64
	rate  float64
	burst float64
	level float64
	at    time.Time
}

// refill adds the tokens due since the last refill, up to the share of the burst.
func (bucket *bucket) refill(now time.Time) {
	if now.After(bucket.at) {
		bucket.level += now.Sub(bucket.at).Seconds() * bucket.rate * bucket.share
		bucket.at = now
	}
	bucket.level = min(bucket.level, bucket.burst*bucket.share)
}

// waitFor returns how long it takes until the level reaches cost.
func (bucket *bucket) waitFor(cost float64) time.Duration {
	pace := bucket.rate * bucket.share
	if pace <= 0 {
		return math.MaxInt64
	}
	return time.Duration((cost - bucket.level) / pace * float64(time.Second))
}
