package relay

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

// maxLoggedFaults bounds the faults of homes that are remembered as logged.
const maxLoggedFaults = 1024

// confine determines the failure domains that the request is restricted to. It returns nil
// if there are some, or if nothing is restricted.
func (exchange *exchange) confine() *refusal {
	homes, confined := policy.Homes(exchange.route, exchange.account)
	if !confined {
		return nil
	}
	regions := &exchange.relay.config.Regions
	exchange.confined, exchange.domains = true, regions.Within(homes)
	for _, region := range homes {
		if !regions.Exists(region) {
			exchange.logHomeFault(event.RegionUnknown, homes, region)
		}
	}
	if len(exchange.domains) > 0 {
		return nil
	}
	exchange.logHomeFault(event.HomesEmpty, homes, "")
	return &refusal{status: http.StatusServiceUnavailable, reason: ReasonNoHome, retryAfter: notReadyRetryAfter}
}

// logHomeFault logs a fault of the homes of the request's route and account once.
func (exchange *exchange) logHomeFault(fault event.Event, homes []names.Region, region names.Region) {
	if exchange.dry {
		return
	}
	fields := logrus.Fields{"route": exchange.route.Name, "homes": joinRegions(homes), "policy": exchange.policyVersion}
	if exchange.account != nil {
		fields["account"] = string(exchange.account.Name)
	}
	if region != "" {
		fields["region"] = string(region)
	}
	if exchange.relay.homeFaults.add(fmt.Sprintf("%d %q %v %q %q", fault.Number(), exchange.route.Name, fields["account"], homes, region)) {
		fault.Log(exchange.relay.config.Log, fields)
	}
}

func joinRegions(regions []names.Region) string {
	texts := make([]string, 0, len(regions))
	for _, region := range regions {
		texts = append(texts, string(region))
	}
	return strings.Join(texts, ",")
}

// homeFaults remembers which faults of homes have been logged. It is safe for concurrent
// use.
type homeFaults struct {
	// mutex guards logged.
	mutex  sync.Mutex
	logged map[string]struct{}
}

// add records a fault and reports whether it is new.
func (homeFaults *homeFaults) add(fault string) bool {
	homeFaults.mutex.Lock()
	defer homeFaults.mutex.Unlock()
	if _, known := homeFaults.logged[fault]; known {
		return false
	}
	if homeFaults.logged == nil || len(homeFaults.logged) >= maxLoggedFaults {
		homeFaults.logged = map[string]struct{}{}
	}
	homeFaults.logged[fault] = struct{}{}
	return true
}

// maySend reports whether the request may be sent to a server right now. The server's
// failure domain may have been evacuated since the server was chosen. That it is a home of
// the request is checked here for all servers, whoever chose them.
func (exchange *exchange) maySend(server *pool.Server) bool {
	switch {
	case exchange.confined && !slices.Contains(exchange.domains, server.Domain):
		exchange.countWithheld("home")
		return false
	case exchange.relay.config.Pool.Evacuated(server.Domain):
		exchange.countWithheld("evacuated")
		return false
	default:
		return true
	}
}

func (exchange *exchange) countWithheld(reason string) {
	metrics.GetOrRegisterCounter("relay.withheld."+reason, exchange.relay.config.Metrics).Inc(1)
}

// loadMayHelp reports whether the request may wait for its model to be loaded. Copies are
// placed without regard to homes: if a server elsewhere holds the model, none is loaded for
// the requests that wait, and if no server in the request's homes accepts requests, none can
// help.
func (exchange *exchange) loadMayHelp() bool {
	if !exchange.confined {
		return true
	}
	if _, none := exchange.pick().(pool.NoServer); none {
		return false
	}
	query := exchange.query()
	query.Confined = false
	_, nowhere := exchange.pickFor(query).(pool.NoCopy)
	return nowhere
}
