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
	// serviceSmoothing is the weight of the newest request in the drain rate, which
	// short and long requests make noisy.
	serviceSmoothing = 0.02
	// defaultOutputRatio is the expected part of the output bound that is used.
	defaultOutputRatio = 0.5
)

// estimator learns how long requests take, per model and batch size.
type estimator struct {
	config Config
	models map[names.Model]*modelEstimate
	// meanCost and residence are means over finished requests; their ratio is the
	// drain rate of one slot.
	meanCost      float64
	meanResidence float64
	finished      int64
}

// modelEstimate is what was learned about one model.
type modelEstimate struct {
	promptGap   float64
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

// tokenGap is the expected seconds a token of output takes in a batch, from
// the nearest batch size that was measured.
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

// expectedOutput is the expected output of an item.
func (estimator *estimator) expectedOutput(item *Item) float64 {
	return estimator.model(item.Model).outputRatio * float64(item.MaxTokens)
}

// requestCost is the cost of a prompt and an output, in output tokens.
func (estimator *estimator) requestCost(prompt call.Tokens, output float64) float64 {
	return max(1, estimator.config.PromptWeight*float64(prompt)+output)
}

// firstToken is the expected time from start to the first token.
func (estimator *estimator) firstToken(item *Item, batch int) time.Duration {
	model := estimator.model(item.Model)
	return seconds(model.promptGap*float64(item.PromptTokens) + estimator.tokenGap(model, batch))
}

// whole is the expected time from start to the end of the answer.
func (estimator *estimator) whole(item *Item, batch int) time.Duration {
	if item.Model == "" {
		return seconds(estimator.meanSlotSeconds())
	}
	model := estimator.model(item.Model)
	return estimator.firstToken(item, batch) + seconds(estimator.expectedOutput(item)*estimator.tokenGap(model, batch))
}

// meanSlotSeconds is the mean time a request holds a slot.
func (estimator *estimator) meanSlotSeconds() float64 { return estimator.meanResidence }

// serviceRate is the cost per second that slots work off together.
func (estimator *estimator) serviceRate(slots int) float64 {
	if estimator.meanResidence <= 0 {
		return float64(slots) / estimator.config.TokenGap.Seconds()
	}
	return float64(slots) * estimator.meanCost / estimator.meanResidence
}

// observeFirstToken learns from the first token of a request.
func (estimator *estimator) observeFirstToken(request *request, now time.Time) {
	if request.item.PromptTokens <= 0 {
		return
	}
	model := estimator.model(request.item.Model)
	spent := now.Sub(request.started).Seconds() - estimator.tokenGap(model, request.batchSize)
	updateMean(&model.promptGap, max(0, spent)/float64(request.item.PromptTokens))
}

// observeTokens learns from output tokens that took some time.
func (estimator *estimator) observeTokens(request *request, batch int, spent time.Duration, tokens call.Tokens) float64 {
	gap := spent.Seconds() / float64(tokens)
	model := estimator.model(request.item.Model)
	updateMean(&model.tokenGaps[batchBucket(batch)], gap)
	return gap
}

// observeFinish learns from a request that ended whole.
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

// updateMean moves a mean towards value; a mean of zero takes it over.
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
