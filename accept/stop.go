package accept

import (
	"context"
	"time"

	"github.com/basilkeel/basilkeel/clock"
)

const (
	// minDrain is how long a stopping entry accepts all requests that it can finish: the load
	// balancer stops sending them after two readiness probes, which are a second apart.
	minDrain = 2300 * time.Millisecond
	// maxLateTime is how long a request may take that is accepted later, so that those which
	// come on kept connections don't delay the restart.
	maxLateTime = time.Second
	// killMargin is the time before SIGKILL at which a stopping entry ends the requests in
	// progress. endMargin of it is left for their responses.
	killMargin = 500 * time.Millisecond
	endMargin  = 300 * time.Millisecond
	// stopPollPeriod is the interval of checks for requests in progress and open connections.
	stopPollPeriod = 20 * time.Millisecond
)

// Requests decides which requests a stopping entry serves.
type Requests interface {
	// Drain begins the stop: requests that are not likely to be finished in time are refused.
	Drain(until time.Time)
	// LimitRequests refuses, besides, those that are likely to take longer.
	LimitRequests(limit time.Duration)
	// ActiveBefore returns the number of requests in progress that came before a time.
	ActiveBefore(until time.Time) int
	// RejectRequests refuses all requests that come.
	RejectRequests()
	// EndRequests ends the requests in progress.
	EndRequests()
}

// Stop ends the service to callers. An idle connection may be closed under a request that
// is on its way, so idle ones stay open as long as earlier requests are in progress, and most
// are closed with the response to their next request.
type Stop struct {
	Requests Requests
	Listener *Listener
	Clock    *clock.Service
}

// Run returns when no connection is open, or shortly before the end of the grace.
func (stop *Stop) Run(ctx context.Context, grace time.Duration) {
	began := stop.Clock.Now()
	until := began.Add(grace - killMargin)
	stop.Requests.Drain(until)
	stop.poll(ctx, until, func(now time.Time) bool { return now.Sub(began) >= minDrain })
	stop.Requests.LimitRequests(maxLateTime)
	lateFrom := stop.Clock.Now()
	stop.poll(ctx, until, func(time.Time) bool { return stop.Requests.ActiveBefore(lateFrom) == 0 })

	// A caller whose connection is refused can go elsewhere at once. An error means that the
	// listener is closed already.
	_ = stop.Listener.Close()
	stop.Requests.RejectRequests()
	stop.poll(ctx, until, stop.closed)
	stop.Requests.EndRequests()
	stop.poll(ctx, stop.Clock.Now().Add(endMargin), stop.closed)
}

// closed closes the idle connections and reports whether no other one is open.
func (stop *Stop) closed(time.Time) bool {
	stop.Listener.CloseIdle()
	return stop.Listener.OpenCount() == 0
}

// poll calls done periodically until it returns true, the time is over or ctx is done.
func (stop *Stop) poll(ctx context.Context, until time.Time, done func(now time.Time) bool) {
	for now := stop.Clock.Now(); !done(now) && now.Before(until); now = stop.Clock.Now() {
		select {
		case <-ctx.Done():
			return
		case <-stop.Clock.After(stopPollPeriod):
		}
	}
}
