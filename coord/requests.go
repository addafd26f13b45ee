package coord

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/rate"
)

// requestHalfLife smooths the rate of requests over the time in which demand changes.
const requestHalfLife = 2 * time.Second

// addRequests counts requests for the models of a service. It is called with the
// coordinator's mutex held.
func (term *term) addRequests(service names.Service, requests int, now time.Time) {
	meter, found := term.requestRates[service]
	if !found {
		meter = rate.NewMeter(requestHalfLife)
		term.requestRates[service] = meter
	}
	meter.Add(float64(requests), now)
}

// requestRate returns the requests per second for the models of a service. It is called
// with the coordinator's mutex held.
func (term *term) requestRate(service names.Service, now time.Time) float64 {
	meter, found := term.requestRates[service]
	if !found {
		return 0
	}
	return meter.PerSecond(now)
}
