package place

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// Answer is what the keeper answers an exchange with.
func (controller *Controller) Answer(request *wire.PlaceExchange) *wire.PlaceNews {
	return controller.exchange(request)
}

// SumDemands is the demand that a holder sees when meter alone reports.
func SumDemands(meter *Meter, now time.Time) []Demand {
	request := &wire.PlaceExchange{}
	meter.take(now, request)
	window := time.Duration(request.GetWindowMicros()) * time.Microsecond
	return sumDemands(map[names.Instance]metered{"i": {window: window, message: request}})
}

// Request is what source sends next.
func Request(client *Client) (*wire.PlaceExchange, error) { return client.request() }
