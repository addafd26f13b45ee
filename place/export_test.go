package place

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// Exchange is what the keeper answers an exchange with.
func (controller *Controller) Exchange(request *wire.PlaceExchange) *wire.PlaceNews {
	return controller.exchange(request)
}

// SumDemands is the demand that a holder sees when meter alone reports.
func SumDemands(meter *Meter, now time.Time) []Demand {
	request := &wire.PlaceExchange{}
	meter.drain(now, request)
	window := time.Duration(request.GetWindowMicros()) * time.Microsecond
	return sumDemands(map[names.Instance]demandReport{"i": {window: window, message: request}})
}

// Request is what source sends next.
func Request(client *Client) (*wire.PlaceExchange, error) { return client.request() }
