package node

import (
	"context"
	"net"
	"time"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/relay"
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

// callerStop ends the service to callers. An idle connection may be closed under a request that
// is on its way, so idle ones stay open as long as earlier requests are in progress, and most
// are closed with the response to their next request.
type callerStop struct {
	relay       *relay.Relay
	listener    net.Listener
	connections *callerConnections
	clock       *clock.Service
}

// run returns when no connection is open, or shortly before the end of the grace.
func (stop *callerStop) run(ctx context.Context, grace time.Duration) {
	began := stop.clock.Now()
	until := began.Add(grace - killMargin)
	stop.relay.Drain(until)
	stop.poll(ctx, until, func(now time.Time) bool { return now.Sub(began) >= minDrain })
	stop.relay.LimitRequests(maxLateTime)
	lateFrom := stop.clock.Now()
	stop.poll(ctx, until, func(time.Time) bool { return stop.relay.ActiveBefore(lateFrom) == 0 })

	// A caller whose connection is refused can go elsewhere at once. An error means that the
	// listener is closed already.
	_ = stop.listener.Close()
	stop.relay.RejectRequests()
	stop.poll(ctx, until, stop.closed)
	stop.relay.EndRequests()
	stop.poll(ctx, stop.clock.Now().Add(endMargin), stop.closed)
}

// closed closes the idle connections and reports whether no other one is open.
func (stop *callerStop) closed(time.Time) bool {
	stop.connections.closeAll()
	return stop.connections.openCount() == 0
}

// poll calls done periodically until it returns true, the time is over or ctx is done.
func (stop *callerStop) poll(ctx context.Context, until time.Time, done func(now time.Time) bool) {
	for now := stop.clock.Now(); !done(now) && now.Before(until); now = stop.clock.Now() {
		select {
		case <-ctx.Done():
			return
		case <-stop.clock.After(stopPollPeriod):
		}
	}
}
