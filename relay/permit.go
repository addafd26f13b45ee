package relay

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/trunk"
)

// noPermitAnswerWait is how long a server that declares a rate gets no request after the
// coordinator failed to answer a request for a permit.
const noPermitAnswerWait = 250 * time.Millisecond

// sendPermit is a permit to send the request once.
type sendPermit struct {
	server  permit.Server
	expires time.Time
}

// applyRate records the request rate that a response to a request sent at sentAt
// declares.
func (exchange *exchange) applyRate(server *pool.Server, declaration permit.Declaration, sentAt time.Time) {
	config := &exchange.relay.config
	now := exchange.now()
	if !config.Pool.Gate().Observe(server.Identity(), declaration, sentAt, now) {
		return
	}
	exchange.relay.observer().Changed(permit.Statement{Server: server.Identity(), Declaration: declaration, SentAt: sentAt, At: now}, logrus.Fields{"request": exchange.info.ID})
}

func (relay *Relay) observer() *permit.Observer {
	return &permit.Observer{Log: relay.config.Log, Metrics: relay.config.Metrics}
}

// obtainPermit obtains a permit if the chosen server declares a request rate or is cold. If it
// returns false, the pool does not choose the server for some time, unless ctx is done.
func (exchange *exchange) obtainPermit(ctx context.Context, choice pool.Chosen) bool {
	server, lifetime := choice.Server, permit.Lifetime
	gate, now := exchange.relay.config.Pool.Gate(), exchange.now()
	exchange.permit = sendPermit{}
	switch admission := gate.Admit(server.Identity(), now).(type) {
	case permit.Free:
		return true
	case permit.Admitted:
	case permit.NeedsPermit:
		wait, issued, err := exchange.relay.config.Coordinator.Permit(ctx, permit.Application{Statement: admission.Statement, Yields: choice.Yields, Cold: admission.Cold})
		switch {
		case err != nil && ctx.Err() != nil:
			// The request has ended, which says nothing of the coordinator.
			exchange.cause = err
			return false
		case err != nil:
			exchange.cause = err
			gate.Close(server.Identity(), noPermitAnswerWait, exchange.now())
			return false
		case !issued && choice.Yields:
			gate.CloseYielding(server.Identity(), wait, exchange.now())
			return false
		case !issued:
			gate.Close(server.Identity(), wait, exchange.now())
			return false
		}
	case permit.Closed:
		return false
	}
	if _, cold := gate.Cold(server.Identity(), now); cold {
		lifetime = permit.ColdLifetime
	}
	exchange.permit = sendPermit{server: server.Identity(), expires: now.Add(lifetime)}
	return true
}

// usePermit reports whether the request may be sent to a server right now. The server
// may have declared a rate, or have become cold, only after it was chosen.
func (exchange *exchange) usePermit(server *pool.Server) bool {
	gate := exchange.relay.config.Pool.Gate()
	if !gate.Limited(server.Identity(), exchange.now()) {
		return true
	}
	if exchange.permit.server != server.Identity() || !exchange.now().Before(exchange.permit.expires) {
		return false
	}
	exchange.permit = sendPermit{}
	if _, declared := gate.Rate(server.Identity()); declared {
		exchange.relay.observer().Sent(server.Identity())
	}
	if _, cold := gate.Cold(server.Identity(), exchange.now()); cold {
		exchange.relay.observer().SentCold()
	}
	return true
}

// withheld reports whether err shows that the request was not sent for lack of a permit.
func withheld(err error) bool {
	var canceledError *trunk.CanceledError
	return errors.As(err, &canceledError)
}
