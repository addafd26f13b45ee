package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/pool"
)

const (
	// maxLoadWait bounds how long a request waits for its model: planning, a
	// load of up to two seconds, and another load before it.
	maxLoadWait = 5 * time.Second
	// pollInterval is how often a waiting request looks again without news.
	pollInterval = 100 * time.Millisecond
	// adapterTimeout bounds the order of an adapter, which takes milliseconds.
	adapterTimeout = 700 * time.Millisecond
	// maxAdapterServers is how many servers are asked to load an adapter.
	maxAdapterServers = 3
	// adapterLoadTime is the loading time of an adapter.
	adapterLoadTime = 8 * time.Millisecond
	// loadRetryAfter, fullPause and notReadyPause are when callers should come back: a
	// load takes one to two seconds, a place at an engine is free much sooner.
	loadRetryAfter     = 1500 * time.Millisecond
	fullRetryAfter     = 500 * time.Millisecond
	notReadyRetryAfter = time.Second
	// drainRetryAfter is when callers should try another instance.
	drainRetryAfter = 50 * time.Millisecond
	// noLoanRetryAfter is when callers should come back while loans get no answer.
	noLoanRetryAfter = 300 * time.Millisecond
	// minTimeLeft is the time without which a request is not worth sending.
	minTimeLeft = 20 * time.Millisecond
)

func (exchange *exchange) pick() pool.Choice {
	return exchange.relay.config.Pool.Pick(pool.Query{
		Service: exchange.service,
		Model:   exchange.call.Model,
		Adapter: exchange.call.Adapter,
		Domain:  exchange.relay.config.Domain,
		Tried:   exchange.tried,
	}, exchange.now())
}

// selectServer finds a server that holds what the request needs, and waits while a
// model is being loaded.
func (exchange *exchange) selectServer(ctx context.Context) (*pool.Server, *refusal) {
	began := exchange.now()
	needed, adapters := false, 0
	defer func() {
		if needed {
			exchange.relay.config.Coordinator.AddWaiting(exchange.service, exchange.call.Model, -1)
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
		switch choice := exchange.pick().(type) {
		case pool.Chosen:
			exchange.serverLoad = choice.Load
			if exchange.ensureAdapter(ctx, choice) && exchange.relay.config.Pool.Usable(choice.Server, exchange.now()) {
				return choice.Server, nil
			}
			exchange.tried = append(exchange.tried, choice.Server.ID)
			adapters++
			if adapters >= maxAdapterServers || choice.Others == 0 {
				refusal.reason, refusal.retryAfter = ReasonAdapterNotLoaded, fullRetryAfter
				return nil, refusal
			}
			continue
		case pool.Full:
			refusal.reason, refusal.retryAfter, refusal.leastLoad = ReasonServersFull, max(fullRetryAfter, choice.After), choice.Load
			return nil, refusal
		case pool.NoServer:
			return nil, refusal
		case pool.NoCopy:
			refusal.reason = ReasonModelNotLoaded
			if exchange.call.Model == "" || !exchange.mayWait(began) {
				return nil, refusal
			}
			if !needed {
				needed = true
				exchange.relay.config.Coordinator.AddWaiting(exchange.service, exchange.call.Model, 1)
				exchange.logWaiting()
			}
		}
		select {
		case <-ctx.Done():
			refusal.reason = ReasonTimeUp
			return nil, refusal
		case <-changed:
		case <-exchange.relay.config.Clock.After(pollInterval):
		}
	}
}

// mayWait tells whether a model that no server holds can be loaded in time.
func (exchange *exchange) mayWait(began time.Time) bool {
	now := exchange.now()
	return len(exchange.tried) == 0 && exchange.relay.config.Coordinator.Reachable() &&
		now.Sub(began) < maxLoadWait && exchange.deadline.Sub(now) > minTimeLeft
}

// ensureAdapter has the adapter loaded where the server lacks it. It returns false
// where that failed.
func (exchange *exchange) ensureAdapter(ctx context.Context, choice pool.Chosen) bool {
	if !choice.AdapterMissing {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, adapterTimeout)
	defer cancel()
	adapter := pool.Adapter{Model: exchange.call.Model, Name: exchange.call.Adapter}
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
