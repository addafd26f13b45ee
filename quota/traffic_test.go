package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/basilkeel/basilkeel/call"
)

const (
	promptTokens = 100
	maxOutput    = 256
	reserved     = call.Tokens(promptTokens + maxOutput)
	meanUsed     = promptTokens + maxOutput/2
	utilisation  = 0.85
	burstSeconds = 10
	// overSender is the account that sends overFactor times its rate.
	overSender = 1
	overFactor = 3
	minBurst   = 8 * reserved
)

// arrival is one request of the offered load.
type arrival struct {
	at       time.Duration
	account  int
	entry    int
	used     call.Tokens
	duration time.Duration
}

// traffic is an offered load, skewed over accounts and entries.
type traffic struct {
	limits   []Limit
	arrivals []arrival
}

func newTraffic(entries, accounts int, perSecond float64, length time.Duration) traffic {
	random := rand.New(rand.NewPCG(uint64(entries), uint64(accounts)))
	weights := zipf(accounts, 0.8)
	traffic := traffic{limits: make([]Limit, accounts)}
	rates := make([]float64, accounts)
	total := 0.0
	for account := range accounts {
		rates[account] = perSecond * weights[account]
		rate := rates[account] * meanUsed / utilisation
		traffic.limits[account] = Limit{
			Rate:  call.TokenRate(rate),
			Burst: max(minBurst, call.Tokens(rate*burstSeconds)),
		}
		if account == overSender {
			rates[account] *= overFactor
		}
		total += rates[account]
	}
	byAccount := cumulate(rates)
	byEntry := cumulate(zipf(entries, 0.5))
	for now := 0.0; now < length.Seconds(); now += random.ExpFloat64() / total {
		account := pick(random, byAccount)
		entry := pick(random, byEntry)
		if random.IntN(2) == 0 {
			// Half of an account's load arrives at a twentieth of the entries.
			entry = (account*7919 + random.IntN(1+entries/20)) % entries
		}
		traffic.arrivals = append(traffic.arrivals, arrival{
			at:       time.Duration(now * float64(time.Second)),
			account:  account,
			entry:    entry,
			used:     call.Tokens(promptTokens + random.IntN(maxOutput+1)),
			duration: time.Duration(1000+random.IntN(7000)) * time.Millisecond,
		})
	}
	return traffic
}

func zipf(count int, exponent float64) []float64 {
	weights := make([]float64, count)
	sum := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -exponent)
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	return weights
}

func cumulate(weights []float64) []float64 {
	sums := make([]float64, len(weights))
	sum := 0.0
	for i, weight := range weights {
		sum += weight
		sums[i] = sum
	}
	return sums
}

func pick(random *rand.Rand, sums []float64) int {
	point := random.Float64() * sums[len(sums)-1]
	low, high := 0, len(sums)-1
	for low < high {
		middle := (low + high) / 2
		if sums[middle] < point {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// bucket is one central token bucket, whose refunds are bounded by its history.
type bucket struct {
	limit   Limit
	level   float64
	filled  time.Duration
	stamp   int64
	history history
}

func newBucket(limit Limit) *bucket { return &bucket{limit: limit, level: float64(limit.Burst)} }

func (bucket *bucket) advance(now time.Duration) {
	bucket.level += (now - bucket.filled).Seconds() * float64(bucket.limit.Rate)
	bucket.level = min(bucket.level, float64(bucket.limit.Burst))
	bucket.filled = now
	bucket.history.record(bucket.stamp, float64(bucket.limit.Burst)-bucket.level, float64(bucket.limit.Burst)/1024)
}

func (bucket *bucket) take(now time.Duration, tokens call.Tokens) (int64, bool) {
	bucket.advance(now)
	if bucket.level < float64(tokens) {
		return 0, false
	}
	bucket.level -= float64(tokens)
	bucket.stamp++
	bucket.history.record(bucket.stamp, float64(bucket.limit.Burst)-bucket.level, float64(bucket.limit.Burst)/1024)
	return bucket.stamp, true
}

func (bucket *bucket) refund(now time.Duration, stamp int64, tokens call.Tokens) {
	bucket.advance(now)
	bucket.level += bucket.history.refund(stamp, float64(tokens))
}
