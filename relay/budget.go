package relay

import (
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/rate"
)

const (
	// ratioFraction is the part of the deployment's retry ratio that is used; the rest
	// is left for what windows cut unevenly.
	ratioFraction = 0.6
	// slackFraction is the part of the deployment's slack that all entries together use in
	// a window; as much again may be saved up before it.
	slackFraction = 0.4
	// defaultEntries share the slack until a coordinator tells how many there are.
	defaultEntries = 24
	// initialFraction is the part of its share of the slack that a process starts with, so that
	// entries that start again and again do not add up.
	initialFraction = 0.5
	// savedFraction is the part of a window for which the unused part of the ratio may be
	// saved up.
	savedFraction = 0.5
)

// budget bounds requests that are sent again, for each service, so that all
// entries together keep the deployment's bound: each earns in proportion to its
// own requests, and has an equal share of the slack.
type budget struct {
	ratio       float64
	unusedRatio float64
	slack       float64
	window      time.Duration
	// mutex guards all below.
	mutex   sync.Mutex
	entries int
	buckets map[names.Service]*tokenBucket
}

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

// setEntries tells how many entries share the slack; zero leaves what was told before.
func (budget *budget) setEntries(entries int) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if entries > 0 {
		budget.entries = entries
	}
}

// deposit counts a first attempt.
func (budget *budget) deposit(service names.Service, now time.Time) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	bucket := budget.bucket(service, now)
	bucket.requestRate.Add(1, now)
	bucket.tokens = min(bucket.tokens+budget.ratio, budget.maxTokens(bucket, now))
}

// tryWithdraw tells whether a request may be sent again, and counts it.
func (budget *budget) tryWithdraw(service names.Service, now time.Time) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	bucket := budget.bucket(service, now)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// bucket is called with the mutex held. The share of the slack comes back once a
// window.
func (budget *budget) bucket(service names.Service, now time.Time) *tokenBucket {
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

// slackShare is this entry's part of the slack. It is called with the mutex held.
func (budget *budget) slackShare() float64 { return budget.slack / float64(budget.entries) }

// maxTokens is what a quiet time may save up, for retries that come together. It is
// called with the mutex held.
func (budget *budget) maxTokens(bucket *tokenBucket, now time.Time) float64 {
	saved := budget.unusedRatio * bucket.requestRate.PerSecond(now) * savedFraction * budget.window.Seconds()
	return max(budget.slackShare(), 1) + saved
}
