package relay

import metrics "github.com/rcrowley/go-metrics"

// reservoirSize and reservoirAlpha are the usual figures of an exponentially
// decaying sample of the last five minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// count adds to the counter of an outcome, with its reason where there is one.
func (passage *passage) count(outcome string, reason Reason) {
	name := "relay." + outcome
	if reason != "" {
		name += "." + string(reason)
	}
	metrics.GetOrRegisterCounter(name, passage.relay.config.Metrics).Inc(1)
}

// took records the time to the whole answer, first that to its first byte.
func (passage *passage) took() { passage.observe("relay.wholeMilliseconds.") }

func (passage *passage) first() { passage.observe("relay.firstByteMilliseconds.") }

func (passage *passage) observe(name string) {
	histogram := metrics.GetOrRegisterHistogram(name+passage.route.Kind.String(), passage.relay.config.Metrics,
		metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	histogram.Update(passage.now().Sub(passage.started).Milliseconds())
}
