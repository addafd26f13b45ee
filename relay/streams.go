package relay

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/basilkeel/basilkeel/names"
)

const (
	// minStreams is the number of streams from which the times of a service's streams count
	// as known, and maxStreams that of the streams that are kept.
	minStreams = 20
	maxStreams = 256
	// minStreamTokens is the least output that a stream's time is related to. Shorter streams
	// take longer for a token, as their first and last events count.
	minStreamTokens = 64
	// longestStreams is the fraction of streams that take no longer than the longest time.
	longestStreams = 0.99
)

// streams knows how long the streams of each service take. It is safe for concurrent use.
type streams struct {
	// mutex guards services.
	mutex    sync.Mutex
	services map[names.Service]*streamTimes
}

// streamTimes are samples of times in nanoseconds.
type streamTimes struct {
	// first are times to the response, perToken those of its body for each token that the
	// request allows.
	first    metrics.Sample
	perToken metrics.Sample
}

func newStreams() *streams { return &streams{services: map[names.Service]*streamTimes{}} }

// add records a whole stream: the tokens that its request allowed, the time to the response
// and that of its body.
func (streams *streams) add(service names.Service, tokens int64, first, body time.Duration) {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	times, found := streams.services[service]
	if !found {
		times = &streamTimes{first: metrics.NewExpDecaySample(maxStreams, reservoirAlpha), perToken: metrics.NewExpDecaySample(maxStreams, reservoirAlpha)}
		streams.services[service] = times
	}
	times.first.Update(int64(first))
	times.perToken.Update(int64(body) / streamTokens(tokens))
}

// longest returns the time that hardly a stream with an output of some tokens exceeds, or false
// if too few streams of the service are known.
func (streams *streams) longest(service names.Service, tokens int64) (time.Duration, bool) {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	times, found := streams.services[service]
	if !found || times.first.Count() < minStreams {
		return 0, false
	}
	return time.Duration(times.first.Percentile(longestStreams) + float64(streamTokens(tokens))*times.perToken.Percentile(longestStreams)), true
}

// streamTokens returns the tokens that the time of a stream is related to. The output of a
// request that does not state one is unknown.
func streamTokens(tokens int64) int64 {
	if tokens < 0 {
		tokens = defaultOutputTokens
	}
	return max(tokens, minStreamTokens)
}
