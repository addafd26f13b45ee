package share

import (
	"math"
	"time"
)

// bucket is the part of an account's limits that one entry holds.
type bucket struct {
	share float64
	rate  float64
	burst float64
	level float64
	at    time.Time
}

// refill brings the level up to now.
func (bucket *bucket) refill(now time.Time) {
	if now.After(bucket.at) {
		bucket.level += now.Sub(bucket.at).Seconds() * bucket.rate * bucket.share
		bucket.at = now
	}
	bucket.level = min(bucket.level, bucket.burst*bucket.share)
}

// wait returns how long until cost can be taken.
func (bucket *bucket) wait(cost float64) time.Duration {
	pace := bucket.rate * bucket.share
	if pace <= 0 {
		return math.MaxInt64
	}
	return time.Duration((cost - bucket.level) / pace * float64(time.Second))
}
