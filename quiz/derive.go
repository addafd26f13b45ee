package quiz

import (
	"math"
	"time"

	"github.com/basilkeel/basilkeel/call"
)

const (
	percent = 100
	// usableShare is the fraction of an accelerator's memory that copies may use.
	// The engine's own buffers use the rest.
	usableShare = 0.9
	// rateFactor is the ratio of an account's rate limit to its expected load.
	rateFactor = 1.25
	// minBurstRequests is the lowest number of an account's largest requests that
	// a derived burst allowance covers.
	minBurstRequests = 10
	// maxUtilizationPercent leaves some headroom: at 100 the waiting time is
	// unbounded.
	maxUtilizationPercent = 95
	// maxAccelerators bounds the estimated size of a fleet.
	maxAccelerators = 100_000
	// maxSeconds bounds calculated times, so that they fit into a duration.
	maxSeconds       = 1e9
	bytesPerGigabyte = 1e9
	bytesPerMegabyte = 1e6
	bytesPerKilobyte = 1e3
)

func seconds(value float64) time.Duration {
	return time.Duration(min(value, maxSeconds) * float64(time.Second))
}

func (engine *Engine) usableBytes() int64 {
	return int64(engine.AcceleratorGigabytes * bytesPerGigabyte * usableShare)
}

// promptTime returns the time that an idle engine takes to the first token.
func (engine *Engine) promptTime(traffic Traffic) time.Duration {
	return seconds(float64(traffic.PromptTokens) / engine.PromptTokensPerSecond)
}

// wholeTime returns the time that an engine takes to complete a request, without
// waiting.
func (engine *Engine) wholeTime(traffic Traffic) time.Duration {
	return engine.promptTime(traffic) + seconds(float64(traffic.OutputTokens)/engine.StreamTokensPerSecond)
}

// acceleratorSeconds returns the accelerator time that one request uses.
func (engine *Engine) acceleratorSeconds(traffic Traffic) float64 {
	return float64(traffic.PromptTokens)/engine.PromptTokensPerSecond + float64(traffic.OutputTokens)/engine.OutputTokensPerSecond
}

func (group *ModelGroup) weightBytes() int64 { return int64(group.WeightGigabytes * bytesPerGigabyte) }

func (group *ModelGroup) cacheBytesPerToken() int64 {
	return max(int64(group.CacheKilobytesPerToken*bytesPerKilobyte), 1)
}

func (group *ModelGroup) adapterBytes() int64 {
	return int64(group.AdapterMegabytes * bytesPerMegabyte)
}

// cacheBytes returns the size of the KV cache of one copy that serves
// ParallelRequests requests of full context. It caps the result so that sums
// don't overflow.
func (group *ModelGroup) cacheBytes() int64 {
	tokens := group.ParallelRequests * group.ContextTokens
	if tokens > math.MaxInt64/4/group.cacheBytesPerToken() {
		return math.MaxInt64 / 4
	}
	return tokens * group.cacheBytesPerToken()
}

// residentAdapters returns how many adapters one copy uses at once.
func (group *ModelGroup) residentAdapters() int64 {
	return min(int64(len(group.Adapters)), group.ParallelRequests)
}

// copyBytes returns the memory of one copy with its adapters and KV cache.
func (group *ModelGroup) copyBytes() int64 {
	return group.weightBytes() + group.residentAdapters()*group.adapterBytes() + group.cacheBytes()
}

func (account *Account) traffic(kind call.Kind) Traffic {
	switch kind {
	case call.KindInteractive:
		return account.Interactive
	case call.KindVerdict:
		return account.Verdict
	case call.KindBatch:
		return account.Batch
	default:
		return Traffic{}
	}
}

func (account *Account) requestsPerSecond() float64 {
	sum := 0.0
	for _, traffic := range account.traffics() {
		sum += traffic.RequestsPerSecond
	}
	return sum
}

// expectedRate returns how many tokens a second the account is expected to use.
func (answers *Answers) expectedRate(account *Account) float64 {
	sum := account.CallsPerSecond * float64(answers.largestCallTokens())
	for _, traffic := range account.traffics() {
		sum += traffic.RequestsPerSecond * float64(traffic.tokens())
	}
	return sum
}

func (answers *Answers) rate(account *Account) call.TokenRate {
	return call.TokenRate(math.Ceil(answers.expectedRate(account) * rateFactor))
}

func (answers *Answers) burst(account *Account) call.Tokens {
	if account.BurstTokens > 0 {
		return call.Tokens(account.BurstTokens)
	}
	return call.Tokens(max(account.BurstRequests, minBurstRequests) * max(account.LargestTokens, answers.largestCallTokens()))
}

// longestContext returns the longest context of any model, in tokens.
func (answers *Answers) longestContext() int64 {
	longest := int64(0)
	for i := range answers.Models {
		longest = max(longest, answers.Models[i].ContextTokens)
	}
	return longest
}

// largestCallTokens returns the tokens of the call that takes the most.
func (answers *Answers) largestCallTokens() int64 {
	largest := int64(0)
	for _, call := range answers.Calls {
		largest = max(largest, call.Tokens)
	}
	return largest
}
