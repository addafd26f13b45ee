package place

import (
	"math"
	"time"
)

// smoothedRate is an exponential moving average of a rate, with separate time
// constants for a rising and a falling rate.
type smoothedRate struct {
	rate float64
	at   time.Time
}

func (smoothedRate *smoothedRate) observe(now time.Time, rate float64, rise, fall time.Duration) {
	if smoothedRate.at.IsZero() {
		smoothedRate.rate, smoothedRate.at = rate, now
		return
	}
	timeConstant := fall
	if rate > smoothedRate.rate {
		timeConstant = rise
	}
	weight := 1 - math.Exp(-now.Sub(smoothedRate.at).Seconds()/timeConstant.Seconds())
	smoothedRate.rate += weight * (rate - smoothedRate.rate)
	smoothedRate.at = now
}
