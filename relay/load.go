package relay

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/basilkeel/basilkeel/pool"
)

// usesReportedLoads reports whether the loads that servers state count in the choice of a
// server: for services without engines, in deployments that have some requests scheduled.
func (exchange *exchange) usesReportedLoads() bool {
	snapshot := exchange.relay.snapshot.Load()
	if !snapshot.Schedules() {
		return false
	}
	service := snapshot.Service(exchange.service)
	return service != nil && service.Engine == nil
}

// applyLoad records the load that a server states in a response.
func (exchange *exchange) applyLoad(server *pool.Server, responseInfo ResponseInfo) {
	switch {
	case !exchange.usesReportedLoads():
	case responseInfo.LoadUnread:
		metrics.GetOrRegisterCounter("relay.loads.unread", exchange.relay.config.Metrics).Inc(1)
	case responseInfo.Load != nil:
		exchange.relay.config.Pool.RecordLoad(server, *responseInfo.Load, exchange.now())
	}
}
