package relay

import (
	"fmt"
	"net/http"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/pool"
)

// UnprovenError reports a success that a server did not demonstrably give.
type UnprovenError struct {
	Status int
	// Defect is what the response lacks or contradicts.
	Defect string
}

// Error implements [error].
func (unprovenError *UnprovenError) Error() string {
	return fmt.Sprintf("response with status %d %s", unprovenError.Status, unprovenError.Defect)
}

// matcher returns whether a response belongs to the request, or nil if the request has no
// ID by which its response can be recognized.
func (exchange *exchange) matcher() func(http.Header) bool {
	if exchange.info.ID == "" {
		return nil
	}
	return func(header http.Header) bool {
		return exchange.relay.config.Codec.ReadResponse(header).RequestID == exchange.info.ID
	}
}

// validateSuccess returns a *[UnprovenError] if a response has a status of success
// without the properties of a server's success.
func (exchange *exchange) validateSuccess(status int, responseInfo ResponseInfo) error {
	defect := ""
	switch {
	case status < http.StatusOK || status >= http.StatusMultipleChoices:
	case !responseInfo.Stamped:
		defect = "has no server's stamp"
	case responseInfo.NotRun:
		defect = "says that the request was not run"
	case responseInfo.Encoding != "" && exchange.request.Header.Get("Accept-Encoding") == "":
		defect = fmt.Sprintf("has the encoding %q, which the caller did not offer", responseInfo.Encoding)
	}
	if defect == "" {
		return nil
	}
	return &UnprovenError{Status: status, Defect: defect}
}

// recordUnproven records a success that a server did not demonstrably give to the
// request.
func (exchange *exchange) recordUnproven(server *pool.Server, cause error) {
	metrics.GetOrRegisterCounter("relay.responses.unproven", exchange.relay.config.Metrics).Inc(1)
	event.ResponseUnproven.Log(exchange.relay.config.Log, logrus.Fields{
		"server": string(server.ID), "request": exchange.info.ID, "cause": cause.Error(),
	})
}

// recordSkipped records a response that came on the request's connection and does not
// belong to the request.
func (exchange *exchange) recordSkipped(server *pool.Server, status int, header http.Header) {
	metrics.GetOrRegisterCounter("relay.responses.skipped", exchange.relay.config.Metrics).Inc(1)
	event.ResponseSkipped.Log(exchange.relay.config.Log, logrus.Fields{
		"server": string(server.ID), "request": exchange.info.ID, "status": status,
		"named": exchange.relay.config.Codec.ReadResponse(header).RequestID,
	})
}
