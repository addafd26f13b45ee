package queue

import (
	"math/bits"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

const (
	// batchBuckets counts the powers of two that batch sizes are grouped by.
	batchBuckets = 12
	// smoothing is the weight of the newest observation in a mean.
	smoothing = 0.1
	// serviceSmoothing is the weight of the newest request in the service rate. It
	// is lower than smoothing as requests differ widely in length.
	serviceSmoothing = 0.02
	// defaultOutputRatio is the expected ratio of the output to its bound until it
	// is measured.
	defaultOutputRatio = 0.5
)

// estimator predicts how long requests take, from those that ran, per model and
// batch size.
type estimator struct {
	config Config
	models map[names.Model]*modelEstimate
	// meanCost and meanResidence are the mean cost of finished requests and their
	// mean time in a slot, in seconds. Their ratio is the service rate of one slot.
	meanCost      float64
	meanResidence float64
	finished      int64
}

// modelEstimate holds the measurements of one model.
type modelEstimate struct {
	// promptGap is the time per prompt token, in seconds.
	promptGap float64
	// outputRatio is the ratio of the output to its bound.
	outputRatio float64
	// tokenGaps are in seconds, by batch bucket; zero means not measured.
	tokenGaps [batchBuckets]float64
}

func newEstimator(config Config) *estimator {
	return &estimator{config: config, models: map[names.Model]*modelEstimate{}}
}

func (estimator *estimator) model(model names.Model) *modelEstimate {
	found, ok := estimator.models[model]
	if !ok {
		found = &modelEstimate{
			promptGap:   estimator.config.PromptGap.Seconds(),
			outputRatio: defaultOutputRatio,
		}
		estimator.models[model] = found
	}
	return found
}

func batchBucket(batch int) int {
	return min(bits.Len(uint(max(batch, 0))), batchBuckets-1)
}

// tokenGap returns the expected seconds per output token in a batch, from the
// nearest batch size that was measured.
func (estimator *estimator) tokenGap(model *modelEstimate, batch int) float64 {
	at := batchBucket(batch)
	for distance := range batchBuckets {
		if low := at - distance; low >= 0 && model.tokenGaps[low] > 0 {
			return model.tokenGaps[low]
		}
		if high := at + distance; high < batchBuckets && model.tokenGaps[high] > 0 {
			return model.tokenGaps[high]
		}
	}
	return estimator.config.TokenGap.Seconds()
}

// expectedOutput returns the expected number of output tokens of an item.
func (estimator *estimator) expectedOutput(item *Item) float64 {
	return estimator.model(item.Model).outputRatio * float64(item.MaxTokens)
}

// requestCost returns the cost of a prompt and an output, in output tokens.
func (estimator *estimator) requestCost(prompt call.Tokens, output float64) float64 {
	return max(1, estimator.config.PromptWeight*float64(prompt)+output)
}

// firstToken returns the expected time from start to the first token.
func (estimator *estimator) firstToken(item *Item, batch int) time.Duration {
	model := estimator.model(item.Model)
	return seconds(model.promptGap*float64(item.PromptTokens) + estimator.tokenGap(model, batch))
}

// whole returns the expected time from start to the end of the answer.
func (estimator *estimator) whole(item *Item, batch int) time.Duration {
	if item.Model == "" {
		return seconds(estimator.meanSlotSeconds())
	}
	model := estimator.model(item.Model)
	return estimator.firstToken(item, batch) + seconds(estimator.expectedOutput(item)*estimator.tokenGap(model, batch))
}

// meanSlotSeconds returns the mean time that a request occupies a slot.
func (estimator *estimator) meanSlotSeconds() float64 { return estimator.meanResidence }

// serviceRate returns the cost per second that the slots work off together.
func (estimator *estimator) serviceRate(slots int) float64 {
	if estimator.meanResidence <= 0 {
		return float64(slots) / estimator.config.TokenGap.Seconds()
	}
	return float64(slots) * estimator.meanCost / estimator.meanResidence
}

// observeFirstToken updates the time per prompt token with the first token of a
// request.
func (estimator *estimator) observeFirstToken(request *request, now time.Time) {
	if request.item.PromptTokens <= 0 {
		return
	}
	model := estimator.model(request.item.Model)
	spent := now.Sub(request.started).Seconds() - estimator.tokenGap(model, request.batchSize)
	updateMean(&model.promptGap, max(0, spent)/float64(request.item.PromptTokens))
}

// observeTokens updates the time per output token with tokens that took spent, and
// returns the seconds that each took.
func (estimator *estimator) observeTokens(request *request, batch int, spent time.Duration, tokens call.Tokens) float64 {
	gap := spent.Seconds() / float64(tokens)
	model := estimator.model(request.item.Model)
	updateMean(&model.tokenGaps[batchBucket(batch)], gap)
	return gap
}

// observeFinish updates the estimates with a request that ran to its end.
func (estimator *estimator) observeFinish(request *request, now time.Time, used call.Tokens, cost float64) {
	if request.item.MaxTokens > 0 {
		model := estimator.model(request.item.Model)
		model.outputRatio += smoothing * (min(1, float64(used)/float64(request.item.MaxTokens)) - model.outputRatio)
	}
	estimator.finished++
	weight := max(serviceSmoothing, 1/float64(estimator.finished))
	residence := max(now.Sub(request.started).Seconds(), time.Microsecond.Seconds())
	estimator.meanCost += weight * (cost - estimator.meanCost)
	estimator.meanResidence += weight * (residence - estimator.meanResidence)
}

// updateMean adds value to a moving average; an average of zero is replaced by it.
func updateMean(mean *float64, value float64) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += smoothing * (value - *mean)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
