package relay

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
)

const (
	// minDurations is the number of responses from which the durations of a service's requests
	// count as known, and maxDurations that of the responses that are kept.
	minDurations = 20
	maxDurations = 256
	// minStreamTokens is the least output that a stream's duration is related to. Shorter streams
	// take longer for a token, as their first and last events count.
	minStreamTokens = 64
	// likelyQuantile is the fraction of responses that take no longer than the likely time. The
	// output of a stream is mostly much shorter than what its request allows, and a refusal costs
	// callers as well: a request that goes elsewhere may be refused there.
	likelyQuantile = 0.95
)

// durations knows how long the requests to each service take once they are sent. It is safe for
// concurrent use.
type durations struct {
	// mutex guards samples.
	mutex   sync.Mutex
	samples map[durationKey]*durationSamples
}

type durationKey struct {
	service names.Service
	kind    policy.Kind
}

// durationSamples are samples of times in nanoseconds.
type durationSamples struct {
	// whole are times to a whole response, or to the header of a stream, perToken those of a
	// stream's body for each token that the request allows.
	whole    metrics.Sample
	perToken metrics.Sample
}

func newDurations() *durations { return &durations{samples: map[durationKey]*durationSamples{}} }

// addWhole records the time to a whole response.
func (durations *durations) addWhole(key durationKey, whole time.Duration) {
	durations.add(key, whole, 0)
}

// addStream records a whole stream: the tokens that its request allowed, the time to its header
// and that of its body.
func (durations *durations) addStream(key durationKey, tokens int64, header, body time.Duration) {
	durations.add(key, header, body/time.Duration(streamTokens(tokens)))
}

func (durations *durations) add(key durationKey, whole, perToken time.Duration) {
	durations.mutex.Lock()
	defer durations.mutex.Unlock()
	samples, found := durations.samples[key]
	if !found {
		samples = &durationSamples{whole: metrics.NewExpDecaySample(maxDurations, reservoirAlpha), perToken: metrics.NewExpDecaySample(maxDurations, reservoirAlpha)}
		durations.samples[key] = samples
	}
	samples.whole.Update(int64(whole))
	samples.perToken.Update(int64(perToken))
}

// likely returns the time that few requests exceed, for a stream with an output of up to some
// tokens. It returns false if too few responses are known.
func (durations *durations) likely(key durationKey, tokens int64) (time.Duration, bool) {
	durations.mutex.Lock()
	defer durations.mutex.Unlock()
	samples, found := durations.samples[key]
	if !found || samples.whole.Count() < minDurations {
		return 0, false
	}
	likely := samples.whole.Percentile(likelyQuantile)
	if key.kind == policy.KindStream {
		likely += float64(streamTokens(tokens)) * samples.perToken.Percentile(likelyQuantile)
	}
	return time.Duration(likely), true
}

// streamTokens returns the tokens that the duration of a stream is related to. The output of a
// request that does not state one is unknown.
func streamTokens(tokens int64) int64 {
	if tokens < 0 {
		tokens = defaultOutputTokens
	}
	return max(tokens, minStreamTokens)
}
