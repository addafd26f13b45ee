package relay

import (
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/rate"
)

const (
	// ratioFraction is the fraction of the deployment's retry ratio that each request
	// adds to the budget. The rest absorbs retries that fall into another window than
	// their requests.
	ratioFraction = 0.6
	// slackFraction is the fraction of the deployment's slack that all entries together
	// gain in a window. As much again may have accumulated before it.
	slackFraction = 0.4
	// defaultEntries is the number of entries assumed to share the slack until the
	// coordinator reports it.
	defaultEntries = 24
	// initialFraction is the fraction of its share of the slack that a process starts
	// with, so that entries that restart repeatedly don't exceed the bound.
	initialFraction = 0.5
	// savedFraction is the fraction of a window for which the unused part of the ratio
	// may accumulate.
	savedFraction = 0.5
)

// budget is a retry budget for each service. It is sized so that all entries together
// keep the deployment's bound: an entry gains tokens in proportion to its own requests,
// and has an equal share of the slack. Each retry costs a token.
type budget struct {
	ratio       float64
	unusedRatio float64
	slack       float64
	window      time.Duration
	// mutex guards the fields below.
	mutex   sync.Mutex
	entries int
	buckets map[names.Service]*tokenBucket
}

// tokenBucket holds the retries that one service may still use.
type tokenBucket struct {
	tokens      float64
	refilledAt  time.Time
	requestRate *rate.Meter
}

func newBudget(ratio, slack float64, window time.Duration) *budget {
	return &budget{
		ratio: ratio * ratioFraction, unusedRatio: ratio * (1 - ratioFraction), slack: slack * slackFraction, window: window, entries: defaultEntries, buckets: map[names.Service]*tokenBucket{},
	}
}

// setEntries sets how many entries share the slack; zero means unknown and changes
// nothing.
func (budget *budget) setEntries(entries int) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if entries > 0 {
		budget.entries = entries
	}
}

// deposit adds what the first attempt of a request gains.
func (budget *budget) deposit(service names.Service, now time.Time) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	bucket := budget.refill(service, now)
	bucket.requestRate.Add(1, now)
	bucket.tokens = min(bucket.tokens+budget.ratio, budget.maxTokens(bucket, now))
}

// tryWithdraw takes the token for a retry and reports whether there was one.
func (budget *budget) tryWithdraw(service names.Service, now time.Time) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	bucket := budget.refill(service, now)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// refill returns the bucket of a service, refilled at the rate of one share of the
// slack in each window. The caller must hold the mutex.
func (budget *budget) refill(service names.Service, now time.Time) *tokenBucket {
	bucket, found := budget.buckets[service]
	if !found {
		bucket = &tokenBucket{tokens: max(initialFraction*budget.slackShare(), 1), refilledAt: now, requestRate: rate.NewMeter(budget.window / 4)}
		budget.buckets[service] = bucket
		return bucket
	}
	bucket.tokens += now.Sub(bucket.refilledAt).Seconds() / budget.window.Seconds() * budget.slackShare()
	bucket.tokens = min(bucket.tokens, budget.maxTokens(bucket, now))
	bucket.refilledAt = now
	return bucket
}

// slackShare returns this entry's share of the slack. The caller must hold the mutex.
func (budget *budget) slackShare() float64 { return budget.slack / float64(budget.entries) }

// maxTokens returns the capacity of a bucket. It grows with the service's request rate,
// so that tokens gained without failures can pay for a burst of retries. The caller must
// hold the mutex.
func (budget *budget) maxTokens(bucket *tokenBucket, now time.Time) float64 {
	saved := budget.unusedRatio * bucket.requestRate.PerSecond(now) * savedFraction * budget.window.Seconds()
	return max(budget.slackShare(), 1) + saved
}
