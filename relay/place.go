package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/pool"
)

const (
	// maxLoadWait bounds how long a request waits for its model. It covers planning, a load
	// of up to two seconds, and another load before that.
	maxLoadWait = 5 * time.Second
	// pollInterval is how often a waiting request tries to select a server when the pool
	// reports no change.
	pollInterval = 100 * time.Millisecond
	// adapterTimeout bounds the call that has an adapter loaded, which usually takes
	// milliseconds.
	adapterTimeout = 700 * time.Millisecond
	// maxAdapterServers bounds the servers that are asked to load a request's adapter.
	maxAdapterServers = 3
	// adapterLoadTime is how long a server takes to load an adapter.
	adapterLoadTime = 8 * time.Millisecond
	// loadRetryAfter, fullRetryAfter and notReadyRetryAfter are how long callers should wait
	// before a retry. A load takes one to two seconds; a slot at an engine becomes free much
	// sooner.
	loadRetryAfter     = 1500 * time.Millisecond
	fullRetryAfter     = 500 * time.Millisecond
	notReadyRetryAfter = time.Second
	// drainRetryAfter is how long callers should wait before they try another instance.
	drainRetryAfter = 50 * time.Millisecond
	// noLoanRetryAfter is how long callers should wait if the coordinator doesn't respond to
	// a request to borrow.
	noLoanRetryAfter = 300 * time.Millisecond
	// minTimeLeft is the time before its deadline that a request must have left to wait for
	// a model.
	minTimeLeft = 20 * time.Millisecond
)

// pick returns the pool's choice of a server that the request has not tried.
func (exchange *exchange) pick() pool.Choice {
	return exchange.pickFor(exchange.query())
}

// pickFor returns the pool's choice for a query.
func (exchange *exchange) pickFor(query pool.Query) pool.Choice {
	if exchange.dry {
		choice, _ := exchange.relay.config.Pool.Explain(query, exchange.now())
		return choice
	}
	return exchange.relay.config.Pool.Pick(query, exchange.now())
}

// query describes the request to the pool.
func (exchange *exchange) query() pool.Query {
	return pool.Query{
		Service: exchange.service,
		Model:   exchange.info.Model,
		Adapter: exchange.info.Adapter,
		Domain:  exchange.relay.config.Domain,
		Tried:   exchange.tried,

		Confined: exchange.confined,
		Domains:  exchange.domains,
		Reported: exchange.usesReportedLoads(),
	}
}

// selectServer returns a server that holds the request's model and adapter. It waits
// while the model is being loaded, and has a missing adapter loaded.
func (exchange *exchange) selectServer(ctx context.Context) (*pool.Server, *refusal) {
	began := exchange.now()
	waiting, adapters := false, 0
	defer func() {
		if waiting {
			exchange.relay.config.Coordinator.AddWaiting(exchange.service, exchange.info.Model, -1)
		}
		exchange.waited += exchange.now().Sub(began)
	}()
	for {
		changed := exchange.relay.config.Pool.Changed()
		refusal := &refusal{status: http.StatusServiceUnavailable, reason: ReasonNoServer, retryAfter: loadRetryAfter}
		if exchange.quarantined() {
			refusal.reason, refusal.retryAfter = ReasonQuarantined, 0
			return nil, refusal
		}
		if exchange.outlastsDrain(0) {
			return nil, stopping()
		}
		choice, deferral := exchange.choose(ctx)
		if deferral != nil {
			return nil, deferral
		}
		switch choice := choice.(type) {
		case pool.Chosen:
			server, rejected := exchange.prepare(ctx, choice)
			if server != nil {
				return server, nil
			}
			if ctx.Err() != nil {
				return nil, timeUp()
			}
			if !rejected {
				continue
			}
			adapters++
			if adapters >= maxAdapterServers || choice.Alternatives == 0 {
				refusal.reason, refusal.retryAfter = ReasonAdapterNotLoaded, fullRetryAfter
				return nil, refusal
			}
			continue
		case pool.Full, pool.NoServer:
			return nil, refusalFor(choice)
		case pool.NoCopy:
			refusal = refusalFor(choice)
			if exchange.info.Model == "" || !exchange.mayWait(began) {
				return nil, refusal
			}
			if !waiting {
				waiting = true
				exchange.beginWaiting()
			}
		}
		if !exchange.waitForChange(ctx, changed) {
			refusal.reason = ReasonTimeUp
			return nil, refusal
		}
	}
}

// prepare obtains what a request needs at the chosen server: a permit and the adapter. It
// returns the server, or nil if the request can't be sent there; rejected then reports
// whether it has to go to another one, as the adapter can't be loaded or the server is not
// usable any more.
func (exchange *exchange) prepare(ctx context.Context, choice pool.Chosen) (server *pool.Server, rejected bool) {
	exchange.serverLoad = choice.Load
	if !exchange.obtainPermit(ctx, choice) {
		exchange.permitFailures++
		return nil, false
	}
	if exchange.ensureAdapter(ctx, choice) && exchange.relay.config.Pool.Usable(choice.Server, exchange.now()) {
		return choice.Server, false
	}
	exchange.tried = append(exchange.tried, choice.Server.ID)
	return nil, true
}

// refusalFor returns the refusal of a request after a choice of no server.
func refusalFor(choice pool.Choice) *refusal {
	refusal := &refusal{status: http.StatusServiceUnavailable, reason: ReasonNoServer, retryAfter: loadRetryAfter}
	switch choice := choice.(type) {
	case pool.Full:
		refusal.setFull(choice)
	case pool.NoCopy:
		refusal.reason = ReasonModelNotLoaded
	default:
	}
	return refusal
}

// setFull makes this the refusal of a request whose servers are all full or closed.
func (refusal *refusal) setFull(choice pool.Full) {
	refusal.reason, refusal.retryAfter, refusal.leastLoad = ReasonServersFull, max(fullRetryAfter, choice.RetryAfter), choice.Load
	if choice.RateLimited {
		refusal.reason = ReasonRateLimited
	}
}

// waitForChange waits until the pool has changed, at most for pollInterval. It returns false
// if ctx ends before.
func (exchange *exchange) waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-exchange.relay.config.Clock.After(pollInterval):
	}
	return true
}

// beginWaiting tells the coordinator that the request waits for its model.
func (exchange *exchange) beginWaiting() {
	exchange.relay.config.Coordinator.AddWaiting(exchange.service, exchange.info.Model, 1)
	exchange.logWaiting()
}

// mayWait reports whether the request may wait for a model that no server holds.
func (exchange *exchange) mayWait(began time.Time) bool {
	now := exchange.now()
	return len(exchange.tried) == 0 && exchange.relay.config.Coordinator.Reachable() &&
		now.Sub(began) < maxLoadWait && exchange.deadline.Sub(now) > minTimeLeft && exchange.loadMayHelp()
}

// ensureAdapter has the adapter loaded if the chosen server lacks it. It returns false if
// that fails or ctx ends.
func (exchange *exchange) ensureAdapter(ctx context.Context, choice pool.Chosen) bool {
	if !choice.AdapterMissing {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, adapterTimeout)
	defer cancel()
	adapter := pool.Adapter{Model: exchange.info.Model, Name: exchange.info.Adapter}
	if err := exchange.relay.config.Coordinator.LoadAdapter(callCtx, choice.Server, adapter); err != nil {
		exchange.cause = err
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-exchange.relay.config.Clock.After(adapterLoadTime):
		return true
	}
}
