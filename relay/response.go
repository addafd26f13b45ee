package relay

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/pool"
)

// UnprovenError reports a success that lacks what shows that a server gave it, or a
// response that contradicts itself on whether the request was run.
type UnprovenError struct {
	Status int
	// Defect is what the response lacks or contradicts.
	Defect string
}

// Error implements [error].
func (unprovenError *UnprovenError) Error() string {
	return fmt.Sprintf("response with status %d %s", unprovenError.Status, unprovenError.Defect)
}

// matcher returns a function that reports whether a response belongs to the request, and sets
// matched. It returns nil if the request has no ID by which its response can be recognized.
func (exchange *exchange) matcher() func(http.Header) bool {
	if exchange.info.ID == "" {
		return nil
	}
	return func(header http.Header) bool {
		exchange.matched = exchange.relay.config.Codec.ReadResponse(header)
		return exchange.matched.RequestID == exchange.info.ID
	}
}

// validateResponse returns a *[UnprovenError] if a response has a status of success
// without the properties of a server's success, or if its status and its header
// contradict each other on whether the request was run. The stamp has to be in
// callerHeader, which is what is forwarded.
func (exchange *exchange) validateResponse(status int, responseInfo ResponseInfo, callerHeader http.Header) error {
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	switch {
	case responseInfo.NotRun && status < http.StatusBadRequest:
		return &UnprovenError{Status: status, Defect: "says that the request was not run"}
	case !responseInfo.NotRun && promisesNotRun(status):
		return &UnprovenError{Status: status, Defect: "does not say that the request was not run"}
	case success && !exchange.relay.config.Codec.ReadResponse(callerHeader).Stamped:
		return &UnprovenError{Status: status, Defect: "has no server's stamp"}
	case success && !acceptsEncoding(exchange.request.Header, responseInfo.Encoding):
		return &UnprovenError{Status: status, Defect: fmt.Sprintf("has the encoding %q, which the caller did not offer", responseInfo.Encoding)}
	default:
		return nil
	}
}

// promisesNotRun reports whether callers take a status for a promise that the request has
// not run and never will, which the status alone does not prove.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// acceptsEncoding reports whether the header of a request offers the encoding of a body.
func acceptsEncoding(header http.Header, encoding string) bool {
	if encoding == "" || strings.EqualFold(encoding, "identity") {
		return true
	}
	accepted := false
	for _, offer := range strings.Split(strings.Join(header.Values("Accept-Encoding"), ","), ",") {
		name, parameter, _ := strings.Cut(offer, ";")
		name = strings.TrimSpace(name)
		switch {
		case strings.EqualFold(name, encoding):
			return !zeroWeight(parameter)
		case name == "*":
			accepted = !zeroWeight(parameter)
		}
	}
	return accepted
}

// zeroWeight reports whether the parameter of an offered encoding refuses it.
func zeroWeight(parameter string) bool {
	name, value, _ := strings.Cut(parameter, "=")
	weight, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	return strings.EqualFold(strings.TrimSpace(name), "q") && err == nil && weight == 0
}

// recordUnproven records a response that is not forwarded since it fails
// [exchange.validateResponse] or doesn't continue the caller's stream.
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
