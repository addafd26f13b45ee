package permit

import (
	"maps"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
)

// rateMetric is the prefix of the gauges of the rates that servers declare, and sendsMetric
// that of the counters of requests that were sent to servers while these declared one.
const (
	rateMetric  = "permit.declaredRate."
	sendsMetric = "permit.sends."
	// coldSendsMetric is the counter of requests that were sent to cold servers.
	coldSendsMetric = "permit.coldSends"
)

// Observer logs what servers declare. It keeps a gauge of each declared rate and a
// counter of the requests that this entry sent under it.
type Observer struct {
	Log     logrus.FieldLogger
	Metrics metrics.Registry
}

// Sent counts a request that is sent to a server that declares a rate.
func (observer *Observer) Sent(server Server) {
	metrics.GetOrRegisterCounter(sendsMetric+string(server.ID), observer.Metrics).Inc(1)
}

// SentCold counts a request that is sent to a cold server.
func (observer *Observer) SentCold() {
	metrics.GetOrRegisterCounter(coldSendsMetric, observer.Metrics).Inc(1)
}

// Expired removes the metrics of a server.
func (observer *Observer) Expired(server Server) {
	observer.Metrics.Unregister(rateMetric + string(server.ID))
	observer.Metrics.Unregister(sendsMetric + string(server.ID))
}

// Changed records that a statement has changed a declaration. The fields say how it
// became known.
func (observer *Observer) Changed(statement Statement, fields logrus.Fields) {
	name := rateMetric + string(statement.Server.ID)
	fields = maps.Clone(fields)
	fields["server"], fields["born"] = string(statement.Server.ID), statement.Server.Incarnation
	limited, ok := statement.Declaration.(Limited)
	if !ok {
		observer.Metrics.Unregister(name)
		event.ServerRateEnded.Log(observer.Log, fields)
		return
	}
	metrics.GetOrRegisterGaugeFloat64(name, observer.Metrics).Update(limited.PerSecond)
	fields["perSecond"] = limited.PerSecond
	event.ServerRateDeclared.Log(observer.Log, fields)
}
