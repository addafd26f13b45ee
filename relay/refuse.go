package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/pool"
)

// retryJitter is the largest random addition to a Retry-After time, as a fraction of
// it, so that callers that were refused together don't retry together.
const retryJitter = 0.5

// maxRetryAfter bounds Retry-After before jitter is added, as limits refill within
// seconds.
const maxRetryAfter = 10 * time.Second

// refusal is why a request is not served.
type refusal struct {
	status int
	reason Reason
	// retryAfter is how long the caller should wait before a retry; zero means that it
	// should not retry.
	retryAfter time.Duration
	// leastLoad is the load of the least loaded server if the request was refused because
	// all were full.
	leastLoad float64
}

// ensureResponse is called when the request has been handled, also by a panic. It is the one
// place that lets a connection be closed without a response: that of a caller that has left. All
// other callers get one, whatever has happened to their request.
func (exchange *exchange) ensureResponse() {
	if exchange.writer.Begun() || exchange.callerLeft() {
		return
	}
	exchange.count("failed", ReasonInternal)
	event.RequestFailed.Log(exchange.relay.config.Log, exchange.fields(logrus.Fields{"status": http.StatusInternalServerError, "reason": string(ReasonInternal)}))
	// What may have been set belongs to the response of a server.
	clear(exchange.writer.Header())
	exchange.writer.Header().Set("Connection", "close")
	exchange.writeError(http.StatusInternalServerError, string(ReasonInternal), 0)
	// After a panic the server closes the connection without sending what it has buffered. An error
	// means that the connection has ended.
	_ = exchange.writer.FlushError()
	exchange.writer.Finish()
}

// giveUp ends an admitted request that gets no server's response: with the refusal if it
// has not run, else with status 502 or 504.
func (exchange *exchange) giveUp(ctx context.Context, refusal *refusal) {
	if exchange.callerLeft() {
		exchange.recordCallerLeft()
		return
	}
	if exchange.possibleRuns == 0 {
		if exchange.account != nil {
			exchange.relay.config.Limiter.Refund(exchange.account, exchange.cost)
		}
		if exchange.relay.progress.hasEnded() {
			refusal = stopping()
		}
		exchange.refuse(refusal)
		return
	}
	status, reason := http.StatusBadGateway, ReasonAnswerBroken
	switch {
	case exchange.relay.progress.hasEnded():
		reason = ReasonStopping
	case ctx.Err() != nil:
		status, reason = http.StatusGatewayTimeout, ReasonTimeout
	}
	exchange.count("failed", reason)
	event.RequestFailed.Log(exchange.relay.config.Log, exchange.fields(logrus.Fields{"status": status, "reason": string(reason)}))
	exchange.writeError(status, string(reason), 0)
}

// refuse responds to a request that has not run.
func (exchange *exchange) refuse(refusal *refusal) {
	if exchange.callerLeft() {
		exchange.recordCallerLeft()
		return
	}
	retryAfter := min(refusal.retryAfter, maxRetryAfter)
	if retryAfter > 0 {
		retryAfter += time.Duration(rand.Float64() * retryJitter * float64(retryAfter))
	}
	exchange.count("refused", refusal.reason)
	fields := logrus.Fields{
		"status": refusal.status, "reason": string(refusal.reason), "retryAfter": retryAfter.Seconds(), "leastLoad": refusal.leastLoad,
	}
	if refusal.reason == ReasonQuarantined {
		fields["fingerprint"] = exchange.fingerprint().String()
		fields["parts"] = fmt.Sprint(exchange.relay.config.Crashes.QuarantinedParts(exchange.sharedParts(), exchange.now()))
	}
	event.RequestRefused.Log(exchange.relay.config.Log, exchange.fields(fields))
	exchange.writeError(refusal.status, string(refusal.reason), retryAfter)
}

// writeError writes a response that the relay generates itself.
func (exchange *exchange) writeError(status int, reason string, retryAfter time.Duration) {
	header := exchange.writer.Header()
	for name, values := range exchange.relay.config.Codec.RefusalHeader(exchange.info) {
		header[name] = values
	}
	header.Set("Content-Type", "application/json")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	exchange.closeWhenDraining(header)
	body := `{"error":"` + reason + `"}`
	header.Set("Content-Length", strconv.Itoa(len(body)))
	exchange.writer.WriteHeader(status)
	// The error is ignored, as a caller that has disconnected needs no response.
	_, _ = exchange.writer.Write([]byte(body))
}

// closeWhenDraining makes the response close its connection if the relay is draining.
func (exchange *exchange) closeWhenDraining(header http.Header) {
	if exchange.relay.Draining() {
		header.Set("Connection", "close")
	}
}

// fields adds what is known about the request to the fields of a log event.
func (exchange *exchange) fields(fields logrus.Fields) logrus.Fields {
	fields["request"] = exchange.info.ID
	fields["policy"] = exchange.policyVersion
	fields["ms"] = exchange.now().Sub(exchange.started).Milliseconds()
	if exchange.route != nil {
		fields["route"] = exchange.route.Name
		fields["kind"] = exchange.route.Kind.String()
	}
	if exchange.account != nil {
		fields["account"] = string(exchange.account.Name)
		fields["cost"] = exchange.cost
	}
	if exchange.info.Model != "" {
		fields["model"] = string(exchange.info.Model)
	}
	if exchange.info.Adapter != "" {
		fields["adapter"] = string(exchange.info.Adapter)
	}
	if exchange.server != nil {
		fields["server"] = string(exchange.server.ID)
		fields["load"] = exchange.serverLoad
		fields["sends"] = exchange.sends
	}
	if exchange.unscheduled != "" {
		fields["unscheduled"] = exchange.unscheduled
	}
	if exchange.scheduled != nil {
		fields["expectedFirstMs"] = exchange.scheduled.First.Milliseconds()
		fields["unreadTokens"] = exchange.scheduled.UnreadTokens
	}
	if !exchange.firstByteAt.IsZero() {
		fields["firstMs"] = exchange.firstByteAt.Sub(exchange.started).Milliseconds()
		fields["longestGapMs"] = exchange.longestGap.Milliseconds()
	}
	if exchange.waited > time.Millisecond {
		fields["waitedMs"] = exchange.waited.Milliseconds()
	}
	if exchange.cause != nil {
		fields["cause"] = exchange.cause.Error()
	}
	return fields
}

// recordCallerLeft records that the caller disconnected before its response was complete.
func (exchange *exchange) recordCallerLeft() {
	exchange.count("left", "")
	event.RequestLeft.Log(exchange.relay.config.Log, exchange.fields(logrus.Fields{"begun": exchange.writer.Begun()}))
}

// recordResent records that the request is sent to another server.
func (exchange *exchange) recordResent() {
	exchange.count("resent", "")
	event.RequestResent.Log(exchange.relay.config.Log, exchange.fields(logrus.Fields{}))
}

// logWaiting logs that the request waits for its model.
func (exchange *exchange) logWaiting() {
	event.RequestWaits.Log(exchange.relay.config.Log, exchange.fields(logrus.Fields{}))
}

// logEjected logs that a failure of the request ejected a server.
func (exchange *exchange) logEjected(server *pool.Server, until time.Time, cause error) {
	event.ServerEjected.Log(exchange.relay.config.Log, logrus.Fields{
		"server": string(server.ID), "seconds": until.Sub(exchange.now()).Seconds(), "request": exchange.info.ID, "cause": cause.Error(),
	})
}

// logReturned logs that a response ended the ejection of a server.
func (exchange *exchange) logReturned(server *pool.Server) {
	event.ServerReturned.Log(exchange.relay.config.Log, logrus.Fields{"server": string(server.ID), "request": exchange.info.ID})
}
