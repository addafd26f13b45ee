package relay

import metrics "github.com/rcrowley/go-metrics"

// reservoirSize and reservoirAlpha are the usual figures of an exponentially
// decaying sample of the last five minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// count adds to the counter of an outcome, with its reason where there is one.
func (exchange *exchange) count(outcome string, reason Reason) {
	name := "relay." + outcome
	if reason != "" {
		name += "." + string(reason)
	}
	metrics.GetOrRegisterCounter(name, exchange.relay.config.Metrics).Inc(1)
}

// recordDuration records the time to the whole answer, first that to its first byte.
func (exchange *exchange) recordDuration() { exchange.recordLatency("relay.wholeMilliseconds.") }

func (exchange *exchange) recordFirstByte() { exchange.recordLatency("relay.firstByteMilliseconds.") }

func (exchange *exchange) recordLatency(name string) {
	histogram := metrics.GetOrRegisterHistogram(name+exchange.route.Kind.String(), exchange.relay.config.Metrics,
		metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	histogram.Update(exchange.now().Sub(exchange.started).Milliseconds())
}
