package sched

import "github.com/basilkeel/basilkeel/pool"

const (
	// defaultReadRate is the prompt tokens that an engine reads in a millisecond until it
	// has been measured, and defaultFirst the time to the first event of an empty prompt.
	defaultReadRate = 30.0
	defaultFirst    = 40.0
	// minReadRate and maxReadRate bound the measured rate, minFirst and maxFirst the
	// measured time.
	minReadRate = 4.0
	maxReadRate = 400.0
	minFirst    = 1.0
	maxFirst    = 400.0
	// readingWeight is the weight of the default in numbers of readings, readingDecay
	// the weight of all former readings after another one.
	readingWeight = 30.0
	readingDecay  = 0.998
	// maxReadingTokens and maxReadingMilliseconds bound plausible readings.
	maxReadingTokens       = 1e6
	maxReadingMilliseconds = 20_000
)

// valid reports whether a reading is plausible.
func valid(reading pool.Reading) bool {
	return reading.Tokens > 0 && reading.Tokens <= maxReadingTokens &&
		reading.Milliseconds > 0 && reading.Milliseconds <= maxReadingMilliseconds
}

// readings fits a line to readings: the time to the first event as a function of the
// prompt's tokens.
type readings struct {
	// count and the sums are those of readings with decaying weights.
	count, tokens, milliseconds, products, squares float64
}

// newReadings returns readings that have the default rate.
func newReadings() *readings {
	fit := &readings{}
	for _, tokens := range []float64{500, 1500, 3000} {
		fit.add(tokens, defaultFirst+tokens/defaultReadRate, readingWeight/3)
	}
	return fit
}

func (readings *readings) add(tokens, milliseconds, weight float64) {
	readings.count += weight
	readings.tokens += weight * tokens
	readings.milliseconds += weight * milliseconds
	readings.products += weight * tokens * milliseconds
	readings.squares += weight * tokens * tokens
}

// observe adds a reading of an engine of the given pace.
func (readings *readings) observe(reading pool.Reading, pace float64) {
	readings.count *= readingDecay
	readings.tokens *= readingDecay
	readings.milliseconds *= readingDecay
	readings.products *= readingDecay
	readings.squares *= readingDecay
	readings.add(float64(reading.Tokens), reading.Milliseconds/pace, 1)
}

// rate returns the prompt tokens that a usual engine reads in a millisecond, and first
// the milliseconds to the first event that do not depend on the prompt.
func (readings *readings) rate() (rate, first float64) {
	variance := readings.count*readings.squares - readings.tokens*readings.tokens
	covariance := readings.count*readings.products - readings.tokens*readings.milliseconds
	rate = defaultReadRate
	if variance > 0 && covariance > 0 {
		rate = min(max(variance/covariance, minReadRate), maxReadRate)
	}
	first = min(max((readings.milliseconds-readings.tokens/rate)/max(readings.count, 1), minFirst), maxFirst)
	return rate, first
}
