package copies

import (
	"time"

	"github.com/basilkeel/basilkeel/rate"
)

const (
	// fastHalfLife and slowHalfLife smooth demand: over a few dozen requests for a
	// busy model, and over the time in which demand moves. Their difference tells
	// where it is going.
	fastHalfLife = 700 * time.Millisecond
	slowHalfLife = 2 * time.Second
	// trendFraction is how much of the difference between fast and slow demand is added:
	// it is noise as well.
	trendFraction = 0.7
	// steadyHalfLife is long beside the time between two requests for a rare model.
	steadyHalfLife = 15 * time.Second
)

// Trend is demand for a model. It is not safe for concurrent use.
type Trend struct {
	fast *rate.Meter
	slow *rate.Meter
	// steady tells models that are asked for now and then from those that nobody asks
	// for.
	steady *rate.Meter
}

// NewTrend returns a trend at zero.
func NewTrend() *Trend {
	return &Trend{fast: rate.NewMeter(fastHalfLife), slow: rate.NewMeter(slowHalfLife), steady: rate.NewMeter(steadyHalfLife)}
}

// Add counts work, in seconds of an engine.
func (trend *Trend) Add(work float64, now time.Time) {
	trend.fast.Add(work, now)
	trend.slow.Add(work, now)
	trend.steady.Add(work, now)
}

// Steady is the work a second over the last while.
func (trend *Trend) Steady(now time.Time) float64 { return trend.steady.PerSecond(now) }

// Forecast is the work a second that is to be expected when a load ordered now is
// done.
func (trend *Trend) Forecast(now time.Time) float64 {
	fast := trend.fast.PerSecond(now)
	return max(fast+trendFraction*(fast-trend.slow.PerSecond(now)), 0)
}
