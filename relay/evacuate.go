package relay

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/basilkeel/basilkeel/pool"
)

// maySend reports whether the request may be sent to a server right now. The server's
// failure domain may have been evacuated since the server was chosen.
func (exchange *exchange) maySend(server *pool.Server) bool {
	if !exchange.relay.config.Pool.Evacuated(server.Domain) {
		return true
	}
	metrics.GetOrRegisterCounter("relay.evacuated.withheld", exchange.relay.config.Metrics).Inc(1)
	return false
}
