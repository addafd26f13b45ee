package sched

import (
	"math"

	"github.com/basilkeel/basilkeel/pool"
)

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

// readingSums are sums over readings with decaying weights.
type readingSums struct {
	count, tokens, milliseconds, products, squares float64
	// observed is the number of readings of all engines up to which the weights have decayed.
	observed int
}

func (sums *readingSums) add(tokens, milliseconds, weight float64) {
	sums.count += weight
	sums.tokens += weight * tokens
	sums.milliseconds += weight * milliseconds
	sums.products += weight * tokens * milliseconds
	sums.squares += weight * tokens * tokens
}

// decay reduces the weights to those after a number of readings of all engines.
func (sums *readingSums) decay(observed int) {
	if observed == sums.observed {
		return
	}
	factor := math.Pow(readingDecay, float64(observed-sums.observed))
	sums.count *= factor
	sums.tokens *= factor
	sums.milliseconds *= factor
	sums.products *= factor
	sums.squares *= factor
	sums.observed = observed
}

// merge adds the readings of an engine of the given pace, converted to the usual pace.
func (sums *readingSums) merge(engine readingSums, pace float64) {
	engine.decay(sums.observed)
	sums.count += engine.count
	sums.tokens += engine.tokens
	sums.milliseconds += engine.milliseconds / pace
	sums.products += engine.products / pace
	sums.squares += engine.squares
}

// readings fits a line to readings: the time to the first event as a function of the
// prompt's tokens. Sums are kept for each engine and converted by its present pace, as the first
// readings of an engine arrive before its pace is known.
type readings struct {
	// former holds the default and the readings of engines that have gone, with weights as of
	// the latest reading.
	former readingSums
	// rate is the prompt tokens that a usual engine reads in a millisecond, first the
	// milliseconds to the first event that do not depend on the prompt.
	rate, first float64
}

// newReadings returns readings that have the default rate.
func newReadings() *readings {
	result := &readings{}
	for _, tokens := range []float64{500, 1500, 3000} {
		result.former.add(tokens, defaultFirst+tokens/defaultReadRate, readingWeight/3)
	}
	result.fit(result.former)
	return result
}

// observe adds a reading of an engine. It is taken into account from the next update on.
func (readings *readings) observe(state *engineState, reading pool.Reading) {
	readings.former.decay(readings.former.observed + 1)
	state.readings.decay(readings.former.observed)
	state.readings.add(float64(reading.Tokens), reading.Milliseconds, 1)
}

// drop keeps the readings of an engine that goes.
func (readings *readings) drop(state *engineState, pace float64) {
	readings.former.merge(state.readings, pace)
}

// update fits the line to the readings of all engines.
func (readings *readings) update(states []*engineState, paces *paces) {
	sums := readings.former
	for _, state := range states {
		if state.readings.count > 0 {
			sums.merge(state.readings, paces.workPace(state))
		}
	}
	readings.fit(sums)
}

func (readings *readings) fit(sums readingSums) {
	variance := sums.count*sums.squares - sums.tokens*sums.tokens
	covariance := sums.count*sums.products - sums.tokens*sums.milliseconds
	readings.rate = defaultReadRate
	if variance > 0 && covariance > 0 {
		readings.rate = min(max(variance/covariance, minReadRate), maxReadRate)
	}
	readings.first = min(max((sums.milliseconds-sums.tokens/readings.rate)/max(sums.count, 1), minFirst), maxFirst)
}
