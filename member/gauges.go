package member

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/basilkeel/basilkeel/fleet"
)

// gauges holds the metrics of a [Service].
type gauges struct {
	live    metrics.Gauge
	suspect metrics.Gauge
	leaving metrics.Gauge
	failed  metrics.Gauge
	probes  metrics.Meter
	relays  metrics.Meter
	pushes  metrics.Meter
	dropped metrics.Counter
}

func newGauges(registry metrics.Registry) *gauges {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &gauges{
		live:    metrics.GetOrRegisterGauge("member.live", registry),
		suspect: metrics.GetOrRegisterGauge("member.suspect", registry),
		leaving: metrics.GetOrRegisterGauge("member.leaving", registry),
		failed:  metrics.GetOrRegisterGauge("member.failed", registry),
		probes:  metrics.GetOrRegisterMeter("member.probes", registry),
		relays:  metrics.GetOrRegisterMeter("member.relays", registry),
		pushes:  metrics.GetOrRegisterMeter("member.pushes", registry),
		dropped: metrics.GetOrRegisterCounter("member.dropped", registry),
	}
}

// update sets the gauges that count the members of a view by state.
func (gauges *gauges) update(view *fleet.View) {
	var suspects int64
	states := make(map[fleet.State]int64)
	for _, member := range view.Members() {
		states[member.State()]++
		if member.Suspect() {
			suspects++
		}
	}
	gauges.live.Update(states[fleet.StateLive])
	gauges.leaving.Update(states[fleet.StateLeaving])
	gauges.failed.Update(states[fleet.StateFailed])
	gauges.suspect.Update(suspects)
}
