package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/pool"
)

const (
	// longestLoadWait bounds how long a request waits for its model: planning, a
	// load of up to two seconds, and another load before it.
	longestLoadWait = 5 * time.Second
	// lookAgain is how often a waiting request looks again without news.
	lookAgain = 100 * time.Millisecond
	// adapterTimeout bounds the order of an adapter, which takes milliseconds.
	adapterTimeout = 700 * time.Millisecond
	// adapterServers is how many servers are asked to load an adapter.
	adapterServers = 3
	// adapterTime is the loading time of an adapter.
	adapterTime = 8 * time.Millisecond
	// loadPause, fullPause and notReadyPause are when callers should come back: a
	// load takes one to two seconds, a place at an engine is free much sooner.
	loadPause     = 1500 * time.Millisecond
	fullPause     = 500 * time.Millisecond
	notReadyPause = time.Second
	// elsewherePause is when callers should try another instance.
	elsewherePause = 50 * time.Millisecond
	// unlentPause is when callers should come back while loans get no answer.
	unlentPause = 300 * time.Millisecond
	// leastTime is the time without which a request is not worth sending.
	leastTime = 20 * time.Millisecond
)

func (passage *passage) pick() pool.Choice {
	return passage.relay.config.Pool.Pick(pool.Query{
		Service: passage.service,
		Model:   passage.call.Model,
		Adapter: passage.call.Adapter,
		Domain:  passage.relay.config.Domain,
		Tried:   passage.tried,
	}, passage.now())
}

// place finds a server that holds what the request needs, and waits while a
// model is being loaded.
func (passage *passage) place(ctx context.Context) (*pool.Server, *refusal) {
	began := passage.now()
	needed, adapters := false, 0
	defer func() {
		if needed {
			passage.relay.config.Coordinator.Need(passage.service, passage.call.Model, -1)
		}
		passage.waited += passage.now().Sub(began)
	}()
	for {
		changed := passage.relay.config.Pool.Changed()
		refusal := &refusal{status: http.StatusServiceUnavailable, reason: ReasonNoServer, after: loadPause}
		if passage.quarantined() {
			refusal.reason, refusal.after = ReasonQuarantine, 0
			return nil, refusal
		}
		switch choice := passage.pick().(type) {
		case pool.Chosen:
			passage.lastLoad = choice.Load
			if passage.withAdapter(ctx, choice) && passage.relay.config.Pool.Usable(choice.Server, passage.now()) {
				return choice.Server, nil
			}
			passage.tried = append(passage.tried, choice.Server.ID)
			adapters++
			if adapters >= adapterServers || choice.Alternatives == 0 {
				refusal.reason, refusal.after = ReasonNoAdapter, fullPause
				return nil, refusal
			}
			continue
		case pool.Full:
			refusal.reason, refusal.after, refusal.load = ReasonFull, max(fullPause, choice.RetryAfter), choice.Load
			return nil, refusal
		case pool.NoServer:
			return nil, refusal
		case pool.NoCopy:
			refusal.reason = ReasonNoCopy
			if passage.call.Model == "" || !passage.mayWait(began) {
				return nil, refusal
			}
			if !needed {
				needed = true
				passage.relay.config.Coordinator.Need(passage.service, passage.call.Model, 1)
				passage.waits()
			}
		}
		select {
		case <-ctx.Done():
			refusal.reason = ReasonTimeUp
			return nil, refusal
		case <-changed:
		case <-passage.relay.config.Clock.After(lookAgain):
		}
	}
}

// mayWait tells whether a model that no server holds can be loaded in time.
func (passage *passage) mayWait(began time.Time) bool {
	now := passage.now()
	return len(passage.tried) == 0 && passage.relay.config.Coordinator.Reachable() &&
		now.Sub(began) < longestLoadWait && passage.limit.Sub(now) > leastTime
}

// withAdapter has the adapter loaded where the server lacks it. It returns false
// where that failed.
func (passage *passage) withAdapter(ctx context.Context, choice pool.Chosen) bool {
	if !choice.AdapterMissing {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, adapterTimeout)
	defer cancel()
	adapter := pool.Adapter{Model: passage.call.Model, Name: passage.call.Adapter}
	if err := passage.relay.config.Coordinator.Adapter(callCtx, choice.Server, adapter); err != nil {
		passage.cause = err
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-passage.relay.config.Clock.After(adapterTime):
		return true
	}
}
