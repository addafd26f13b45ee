package quiz

import (
	"math"
	"time"

	"github.com/basilkeel/basilkeel/call"
)

const (
	percent = 100
	// usableShare is the part of an accelerator's memory that copies may take;
	// the engine's own buffers take the rest.
	usableShare = 0.9
	// rateFactor is by how much a rate exceeds the expected load.
	rateFactor = 1.25
	// minBurstRequests is how many of the largest request a burst holds.
	minBurstRequests = 10
	// maxUtilizationPercent leaves some headroom; at 100 waiting has no bound.
	maxUtilizationPercent = 95
	// maxAccelerators bounds the fleet that an estimate is made for.
	maxAccelerators = 100_000
	// maxSeconds bounds what a time is worked out to.
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

// promptTime is how long an idle engine takes to the first token.
func (engine *Engine) promptTime(traffic Traffic) time.Duration {
	return seconds(float64(traffic.PromptTokens) / engine.PromptTokensPerSecond)
}

// wholeTime is how long an engine takes for a request that does not wait.
func (engine *Engine) wholeTime(traffic Traffic) time.Duration {
	return engine.promptTime(traffic) + seconds(float64(traffic.OutputTokens)/engine.StreamTokensPerSecond)
}

// acceleratorSeconds is the accelerator time that one request takes, in seconds.
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

// cacheBytes is the KV cache of one copy at its stated concurrency.
func (group *ModelGroup) cacheBytes() int64 {
	tokens := group.ParallelRequests * group.ContextTokens
	if tokens > math.MaxInt64/4/group.cacheBytesPerToken() {
		return math.MaxInt64 / 4
	}
	return tokens * group.cacheBytesPerToken()
}

// residentAdapters is how many adapters one copy uses at once.
func (group *ModelGroup) residentAdapters() int64 {
	return min(int64(len(group.Adapters)), group.ParallelRequests)
}

// copyBytes is the memory of one copy with its adapters and KV cache.
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

// expectedRate is the tokens a second that the account is expected to use.
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

// longestContext is the longest context of any model.
func (answers *Answers) longestContext() int64 {
	longest := int64(0)
	for i := range answers.Models {
		longest = max(longest, answers.Models[i].ContextTokens)
	}
	return longest
}

// largestCallTokens is what the dearest call takes.
func (answers *Answers) largestCallTokens() int64 {
	largest := int64(0)
	for _, call := range answers.Calls {
		largest = max(largest, call.Tokens)
	}
	return largest
}
