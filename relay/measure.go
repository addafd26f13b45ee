package relay

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// reservoirSize and reservoirAlpha make an exponentially decaying sample that
// represents about the last five minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// count increments the counter of an outcome and, if there is one, its reason.
func (exchange *exchange) count(outcome string, reason Reason) {
	name := "relay." + outcome
	if reason != "" {
		name += "." + string(reason)
	}
	metrics.GetOrRegisterCounter(name, exchange.relay.config.Metrics).Inc(1)
}

// recordDuration records the time to the end of the response.
func (exchange *exchange) recordDuration() { exchange.recordLatency("relay.wholeMilliseconds.") }

// recordFirstByte records the time to the header of a stream.
func (exchange *exchange) recordFirstByte() { exchange.recordLatency("relay.firstByteMilliseconds.") }

// recordLatency adds the time since the request's arrival to a histogram for the kind of
// its route.
func (exchange *exchange) recordLatency(name string) {
	exchange.relay.recordMilliseconds(name+exchange.route.Kind.String(), exchange.now().Sub(exchange.started))
}

// recordMilliseconds adds a duration to a histogram. The sample is allocated only with the
// histogram, not for each call.
func (relay *Relay) recordMilliseconds(name string, duration time.Duration) {
	registered := relay.config.Metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	})
	if histogram, isHistogram := registered.(metrics.Histogram); isHistogram {
		histogram.Update(duration.Milliseconds())
	}
}
