package relay

import (
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/policy"
)

// Drain makes every further response close its connection. Requests are served if they are
// likely to be finished by until, and refused as soon as they are not.
func (relay *Relay) Drain(until time.Time) { relay.drainUntil.Store(&until) }

// Draining reports whether [Relay.Drain] has been called.
func (relay *Relay) Draining() bool { return relay.drainUntil.Load() != nil }

// LimitRequests makes a relay that is draining refuse further requests that are likely to take
// longer than a time, and streams that might be cut in the end.
func (relay *Relay) LimitRequests(longest time.Duration) { relay.lateLimit.Store(int64(longest)) }

// limited reports whether a request that has just come is refused, see [Relay.LimitRequests].
func (exchange *exchange) limited() bool {
	limit, until := time.Duration(exchange.relay.lateLimit.Load()), exchange.relay.drainUntil.Load()
	if limit == 0 || until == nil {
		return false
	}
	return exchange.likelyTime() > limit || exchange.route.Kind == policy.KindStream && exchange.deadline.After(*until)
}

// ActiveBefore returns the number of requests in progress that began before a time.
func (relay *Relay) ActiveBefore(when time.Time) int { return relay.progress.countBefore(when) }

// RejectRequests makes the relay refuse further requests, as they might not finish
// before the process stops.
func (relay *Relay) RejectRequests() { relay.rejecting.Store(true) }

// EndRequests ends the requests in progress. Those whose response has not begun get one
// that says whether they may have run.
func (relay *Relay) EndRequests() { relay.progress.end() }

// stopping returns the refusal of a request that another instance can serve.
func stopping() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: ReasonStopping, retryAfter: drainRetryAfter}
}

// outlastsDrain reports whether the relay is draining and might have to end the request if it
// were sent after a wait. A stream that has begun is continued for as long as possible.
func (exchange *exchange) outlastsDrain(wait time.Duration) bool {
	until := exchange.relay.drainUntil.Load()
	if until == nil || exchange.stream != nil {
		return false
	}
	return exchange.now().Add(wait + exchange.likelyTime()).After(*until)
}

// likelyTime returns how long the request is likely to take at most if it is sent now. One that
// must not be repeated counts with all the time that it has: if it is ended, its caller does not
// learn whether it has run. So does a stream of a service whose streams are not known yet.
func (exchange *exchange) likelyTime() time.Duration {
	left := exchange.deadline.Sub(exchange.now())
	if exchange.route.Kind == policy.KindUnsafe {
		return left
	}
	likely, known := exchange.relay.durations.likely(exchange.durationKey(), exchange.info.OutputTokens)
	switch {
	case known:
		return min(left, likely)
	case exchange.route.Kind == policy.KindSafe:
		return min(left, time.Duration(exchange.route.MaxAttempts)*attemptTimeoutObjectives*exchange.route.Objective)
	default:
		return left
	}
}

func (exchange *exchange) durationKey() durationKey {
	return durationKey{service: exchange.service, kind: exchange.route.Kind}
}

// recordWholeDuration records how long a whole response has taken. One to a request for a
// stream, such as a failure, says nothing about streams.
func (exchange *exchange) recordWholeDuration(sentAt time.Time) {
	if exchange.route.Kind != policy.KindStream {
		exchange.relay.durations.addWhole(exchange.durationKey(), exchange.now().Sub(sentAt))
	}
}

// recordStreamDuration records how long a whole stream from one server has taken.
func (exchange *exchange) recordStreamDuration(sentAt time.Time) {
	if exchange.sends > 1 {
		return
	}
	exchange.relay.durations.addStream(exchange.durationKey(), exchange.info.OutputTokens, exchange.firstByteAt.Sub(sentAt), exchange.now().Sub(exchange.firstByteAt))
}
