package place

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// Exchange handles request as the gRPC service does.
func (controller *Controller) Exchange(request *wire.PlaceExchange) *wire.PlaceNews {
	return controller.exchange(request)
}

// SumDemands returns the demand that a lease holder sees if only meter reports.
func SumDemands(meter *Meter, now time.Time) []Demand {
	request := &wire.PlaceExchange{}
	meter.drain(now, request)
	window := time.Duration(request.GetWindowMicros()) * time.Microsecond
	return sumDemands(map[names.Instance]demandReport{"i": {window: window, message: request}})
}

// Request returns the next request of client.
func Request(client *Client) (*wire.PlaceExchange, error) { return client.request() }
