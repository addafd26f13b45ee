package copies

import (
	"time"

	"github.com/basilkeel/basilkeel/rate"
)

const (
	// fastHalfLife and slowHalfLife smooth demand: the first over a few dozen requests
	// for a busy model, the second over the time in which demand changes. The difference
	// of the two shows the direction of the change.
	fastHalfLife = 700 * time.Millisecond
	slowHalfLife = 2 * time.Second
	// trendFraction is the fraction of the difference between fast and slow demand that
	// the forecast adds to fast demand. It is less than one as the difference contains noise.
	trendFraction = 0.7
	// steadyHalfLife is long compared to the time between two requests for a rarely
	// requested model.
	steadyHalfLife = 15 * time.Second
)

// Trend measures the demand for a model. It is not safe for concurrent use.
type Trend struct {
	fast *rate.Meter
	slow *rate.Meter
	// steady distinguishes models that are requested rarely from those that are not
	// requested at all.
	steady *rate.Meter
}

// NewTrend returns a trend without demand.
func NewTrend() *Trend {
	return &Trend{fast: rate.NewMeter(fastHalfLife), slow: rate.NewMeter(slowHalfLife), steady: rate.NewMeter(steadyHalfLife)}
}

// Add counts work, in seconds of an engine.
func (trend *Trend) Add(work float64, now time.Time) {
	trend.fast.Add(work, now)
	trend.slow.Add(work, now)
	trend.steady.Add(work, now)
}

// Steady returns the work per second, smoothed over a longer time.
func (trend *Trend) Steady(now time.Time) float64 { return trend.steady.PerSecond(now) }

// Forecast returns the work per second that is expected by the time a load ordered now
// is done.
func (trend *Trend) Forecast(now time.Time) float64 {
	fast := trend.fast.PerSecond(now)
	return max(fast+trendFraction*(fast-trend.slow.PerSecond(now)), 0)
}
