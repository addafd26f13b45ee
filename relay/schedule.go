package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/sched"
)

const (
	// maxPlacements bounds the calls to the coordinator for one attempt.
	maxPlacements = 64
	// maxUnusable bounds the engines that the coordinator offers and the entry cannot use or
	// has no permits for before the entry chooses by itself.
	maxUnusable = 3
)

// choose returns the choice of a server that the request has not tried. If the requests
// of the service are scheduled, the coordinator chooses, and choose waits until the
// request may be sent. Without an answer from the coordinator the entry chooses by itself.
func (exchange *exchange) choose(ctx context.Context) (pool.Choice, *refusal) {
	exchange.scheduled, exchange.unscheduled = nil, ""
	switch scheduled, unscheduled := exchange.scheduling(); {
	case !scheduled:
		return exchange.pick(), nil
	case unscheduled == "" && exchange.permitFailures > maxUnusable:
		return exchange.pickUnscheduled(unscheduledUnusable), nil
	case unscheduled != "":
		return exchange.pickUnscheduled(unscheduled), nil
	}
	var unusable []names.BackendServer
	for range maxPlacements {
		decision, err := exchange.relay.config.Coordinator.Place(ctx, exchange.service, exchange.schedulingRequest(unusable))
		if err != nil {
			exchange.logUnscheduled(err)
			return exchange.pickUnscheduled(unscheduledUnanswered), nil
		}
		switch decision := decision.(type) {
		case sched.Placed:
			if !exchange.wait(ctx, decision.Wait) {
				return nil, timeUp()
			}
			if server, usable := exchange.usableServer(decision); usable {
				exchange.countScheduling("placed")
				exchange.scheduled = &decision
				return pool.Chosen{Server: server, Load: decision.Load, AdapterMissing: decision.AdapterMissing, Alternatives: 1}, nil
			}
			if unusable = append(unusable, decision.Server); len(unusable) > maxUnusable {
				return exchange.pickUnscheduled(unscheduledUnusable), nil
			}
		case sched.Later:
			exchange.countScheduling("later")
			if !exchange.wait(ctx, decision.Wait) {
				return nil, timeUp()
			}
			if exchange.outlastsDrain(0) {
				return nil, stopping()
			}
		case sched.Refused:
			exchange.countScheduling("refused")
			return nil, refusalBy(decision)
		case sched.NoCopy:
			return pool.NoCopy{}, exchange.refuseLongLoad(decision)
		case sched.NoServer:
			return pool.NoServer{}, nil
		case sched.Unscheduled:
			return exchange.pickUnscheduled(unscheduledOverloaded), nil
		}
	}
	return exchange.pickUnscheduled(unscheduledUndecided), nil
}

// usableServer returns the server that the coordinator offers. It returns false if the request
// must not get it: the coordinator may know of copies that this entry does not know of and thus
// has not excluded.
func (exchange *exchange) usableServer(placed sched.Placed) (*pool.Server, bool) {
	server, usable := exchange.relay.config.Pool.UsableServer(placed.Server, placed.Incarnation, exchange.now())
	query := exchange.query()
	if !usable || !query.Permits(server) || slices.Contains(exchange.tried, server.ID) {
		return nil, false
	}
	return server, true
}

// refuseLongLoad refuses a request whose model cannot be loaded before the request ends: by
// its deadline, or as callers give up streams that have no event yet. The caller can come
// back when the model is loaded. It returns nil if the request may wait, also if the time of
// the load is unknown.
func (exchange *exchange) refuseLongLoad(noCopy sched.NoCopy) *refusal {
	until := exchange.deadline
	if leaves := exchange.started.Add(exchange.route.StreamPatience()); exchange.route.Kind == policy.KindStream && leaves.Before(until) {
		until = leaves
	}
	switch {
	case noCopy.Ready <= 0:
		return nil
	case exchange.outlastsDrain(noCopy.Ready):
		return stopping()
	case !exchange.now().Add(noCopy.Ready).After(until):
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: ReasonModelNotLoaded, retryAfter: noCopy.Ready}
}

// Reasons for which the entry chooses a server itself although the requests of the service
// are scheduled.
const (
	unscheduledUnreachable = "unreachable"
	unscheduledUnanswered  = "unanswered"
	unscheduledOverloaded  = "overloaded"
	unscheduledUnusable    = "unusable"
	unscheduledUndecided   = "undecided"
)

// scheduling reports whether the requests of the service are scheduled, and if so, why the
// coordinator is not even asked; this is empty if it is.
func (exchange *exchange) scheduling() (scheduled bool, unscheduled string) {
	scheduled = exchange.relay.snapshot.Load().Scheduling(exchange.service) != nil
	if scheduled && !exchange.relay.config.Coordinator.Reachable() {
		unscheduled = unscheduledUnreachable
	}
	return scheduled, unscheduled
}

// refusalBy returns the refusal of a request that the coordinator refuses.
func refusalBy(refused sched.Refused) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: ReasonServersFull, retryAfter: refused.RetryAfter, leastLoad: refused.Load}
}

// pickUnscheduled is pick for a request that the coordinator does not schedule for a
// reason.
func (exchange *exchange) pickUnscheduled(reason string) pool.Choice {
	exchange.countScheduling(reason)
	exchange.unscheduled = reason
	return exchange.pick()
}

// timeUp returns the refusal of a request whose deadline has passed.
func timeUp() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: ReasonTimeUp, retryAfter: fullRetryAfter}
}

// wait waits for a time. It returns false if ctx ends before, and at once if the deadline
// comes before.
func (exchange *exchange) wait(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	if !exchange.now().Add(duration).Before(exchange.deadline) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-exchange.relay.config.Clock.After(duration):
		return true
	}
}

// schedulingRequest returns the request as the coordinator needs it.
func (exchange *exchange) schedulingRequest(unusable []names.BackendServer) sched.Request {
	config, now := &exchange.relay.config, exchange.now()
	request := sched.Request{
		Domain: config.Domain, Model: exchange.info.Model, Adapter: exchange.info.Adapter,
		PromptTokens: exchange.info.PromptTokens, Tokens: exchange.cost,
		Elapsed: now.Sub(exchange.started), Left: exchange.deadline.Sub(now), Objective: exchange.route.Objective,
		Priority: exchange.priority(),
	}
	if request.PromptTokens < 0 {
		request.PromptTokens = defaultPromptTokens
	}
	if request.OutputTokens = exchange.info.OutputTokens; request.OutputTokens < 0 {
		request.OutputTokens = defaultOutputTokens
	}
	if exchange.account != nil {
		request.Account = exchange.account.Name
	}
	known := config.Pool.Unusable(exchange.query(), now)
	request.Excluded, request.Failing, request.Closed = slices.Concat(known.Excluded, unusable), known.Failing, known.Closed
	digest := xxhash.New()
	for index, id := range exchange.info.SharedParts {
		// The separator keeps the IDs of different parts apart.
		_, _ = digest.WriteString(id + ",")
		if index < len(exchange.info.SharedTokens) {
			request.Parts = append(request.Parts, sched.Part{ID: digest.Sum64(), Tokens: exchange.info.SharedTokens[index]})
		}
	}
	return request
}

func (exchange *exchange) countScheduling(outcome string) {
	metrics.GetOrRegisterCounter("relay.scheduling."+outcome, exchange.relay.config.Metrics).Inc(1)
}

// eventMeter measures the times between the events of a scheduled attempt.
type eventMeter struct {
	exchange *exchange
	server   *pool.Server
	sentAt   time.Time
	count    int
	lastAt   time.Time
	// stalled reports whether the caller took long for what arrived last. The next events
	// have been waiting then, or were held up.
	stalled bool
}

// newEventMeter returns a meter for a response, or nil if the attempt is not scheduled.
func (exchange *exchange) newEventMeter(response *responseReader) *eventMeter {
	if exchange.scheduled == nil {
		return nil
	}
	return &eventMeter{exchange: exchange, server: response.server, sentAt: response.sentAt}
}

// record records the number of events that have arrived by now.
func (meter *eventMeter) record(count int, now time.Time) {
	if meter == nil || count == meter.count {
		return
	}
	relay := meter.exchange.relay
	if meter.count == 0 {
		meter.recordFirst(now.Sub(meter.sentAt))
	} else if !meter.stalled {
		relay.config.Pool.RecordEvents(meter.server, count-meter.count, now.Sub(meter.lastAt))
	}
	meter.count, meter.lastAt, meter.stalled = count, now, false
}

// wrote records how long it took to write what arrived last to the caller.
func (meter *eventMeter) wrote(elapsed time.Duration) {
	if elapsed > stallDelay {
		meter.stalled = true
	}
}

// recordFirst records the time to the first event and the error of its estimate.
func (meter *eventMeter) recordFirst(elapsed time.Duration) {
	relay, scheduled := meter.exchange.relay, meter.exchange.scheduled
	relay.recordMilliseconds("relay.scheduling.firstMs", elapsed)
	relay.recordMilliseconds("relay.scheduling.firstErrorMs", elapsed-scheduled.First)
	if scheduled.Idle && !scheduled.AdapterMissing {
		relay.config.Pool.RecordReading(meter.server, scheduled.UnreadTokens, elapsed)
	}
}

// logUnscheduled logs that the coordinator did not answer.
func (exchange *exchange) logUnscheduled(err error) {
	event.RequestUnscheduled.Log(exchange.relay.config.Log, exchange.fields(logrus.Fields{"cause": err.Error()}))
}
