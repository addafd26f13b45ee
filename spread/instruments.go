package spread

import "github.com/rcrowley/go-metrics"

// instruments are the metrics of a [Service].
type instruments struct {
	version      metrics.Gauge
	fresh        metrics.Gauge
	freshnessAge metrics.Gauge
	relay        metrics.Gauge
	reads        metrics.Counter
	readFailures metrics.Counter
	fetches      metrics.Counter
}

// newInstruments registers the metrics. If registry is nil, they are not
// exported.
func newInstruments(registry metrics.Registry) instruments {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return instruments{
		version:      metrics.GetOrRegisterGauge("spread.version", registry),
		fresh:        metrics.GetOrRegisterGauge("spread.fresh", registry),
		freshnessAge: metrics.GetOrRegisterGauge("spread.freshnessAgeMillis", registry),
		relay:        metrics.GetOrRegisterGauge("spread.relay", registry),
		reads:        metrics.GetOrRegisterCounter("spread.storeReads", registry),
		readFailures: metrics.GetOrRegisterCounter("spread.storeReadFailures", registry),
		fetches:      metrics.GetOrRegisterCounter("spread.fetches", registry),
	}
}
