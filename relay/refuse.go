package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/pool"
)

// spreadReturns is the part of a pause that is drawn, so that callers refused
// together do not come back together.
const spreadReturns = 0.5

// longestPause bounds what callers are told: limits refill within seconds.
const longestPause = 10 * time.Second

// refusal is why a request is not served.
type refusal struct {
	status int
	reason Reason
	// after is when the caller should come back; zero means that it should not.
	after time.Duration
	// load is the least load of a server, where that decided.
	load float64
}

// giveUp ends a request that was admitted and gets no answer of a server.
func (passage *passage) giveUp(ctx context.Context, refusal *refusal) {
	if passage.request.Context().Err() != nil {
		passage.left()
		return
	}
	if passage.runs == 0 {
		if passage.account != nil {
			passage.relay.config.Shares.Refund(passage.account, passage.cost)
		}
		passage.refuse(refusal)
		return
	}
	status, reason := http.StatusBadGateway, ReasonBroken
	if ctx.Err() != nil {
		status, reason = http.StatusGatewayTimeout, ReasonTimeout
	}
	passage.count("failed", reason)
	event.RequestFailed.Log(passage.relay.config.Log, passage.fields(logrus.Fields{"status": status, "reason": string(reason)}))
	passage.answerOwn(status, string(reason), 0)
}

// refuse answers a request that has not run.
func (passage *passage) refuse(refusal *refusal) {
	if passage.request.Context().Err() != nil {
		passage.left()
		return
	}
	after := min(refusal.after, longestPause)
	if after > 0 {
		after += time.Duration(rand.Float64() * spreadReturns * float64(after))
	}
	passage.count("refused", refusal.reason)
	event.RequestRefused.Log(passage.relay.config.Log, passage.fields(logrus.Fields{
		"status": refusal.status, "reason": string(refusal.reason), "retryAfter": after.Seconds(), "leastLoad": refusal.load,
	}))
	passage.answerOwn(refusal.status, string(refusal.reason), after)
}

// answerOwn writes an answer of the system's own.
func (passage *passage) answerOwn(status int, reason string, after time.Duration) {
	header := passage.writer.Header()
	for name, values := range passage.relay.config.Codec.RefusalHeader(passage.call) {
		header[name] = values
	}
	header.Set("Content-Type", "application/json")
	if after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	passage.closeWhenStopping(header)
	body := `{"error":"` + reason + `"}`
	header.Set("Content-Length", strconv.Itoa(len(body)))
	passage.writer.WriteHeader(status)
	// A caller that has gone meanwhile needs no answer.
	_, _ = passage.writer.Write([]byte(body))
}

func (passage *passage) closeWhenStopping(header http.Header) {
	if passage.relay.stopping.Load() {
		header.Set("Connection", "close")
	}
}

// fields adds what is known of the request to a log line.
func (passage *passage) fields(fields logrus.Fields) logrus.Fields {
	fields["request"] = passage.call.ID
	fields["policy"] = passage.version
	fields["ms"] = passage.now().Sub(passage.started).Milliseconds()
	if passage.route != nil {
		fields["route"] = passage.route.Name
		fields["kind"] = passage.route.Kind.String()
	}
	if passage.account != nil {
		fields["account"] = string(passage.account.Name)
		fields["cost"] = passage.cost
	}
	if passage.call.Model != "" {
		fields["model"] = string(passage.call.Model)
	}
	if passage.call.Adapter != "" {
		fields["adapter"] = string(passage.call.Adapter)
	}
	if passage.server != nil {
		fields["server"] = string(passage.server.ID)
		fields["load"] = passage.lastLoad
		fields["sends"] = passage.sends
	}
	if !passage.firstAt.IsZero() {
		fields["firstMs"] = passage.firstAt.Sub(passage.started).Milliseconds()
		fields["longestGapMs"] = passage.longestGap.Milliseconds()
	}
	if passage.waited > time.Millisecond {
		fields["waitedMs"] = passage.waited.Milliseconds()
	}
	if passage.cause != nil {
		fields["cause"] = passage.cause.Error()
	}
	return fields
}

func (passage *passage) left() {
	passage.count("left", "")
	event.RequestLeft.Log(passage.relay.config.Log, passage.fields(logrus.Fields{}))
}

func (passage *passage) resent() {
	passage.count("resent", "")
	event.RequestResent.Log(passage.relay.config.Log, passage.fields(logrus.Fields{}))
}

func (passage *passage) waits() {
	event.RequestWaits.Log(passage.relay.config.Log, passage.fields(logrus.Fields{}))
}

func (passage *passage) ejected(server *pool.Server, until time.Time, cause error) {
	event.ServerEjected.Log(passage.relay.config.Log, logrus.Fields{
		"server": string(server.ID), "seconds": until.Sub(passage.now()).Seconds(), "request": passage.call.ID, "cause": cause.Error(),
	})
}

func (passage *passage) returned(server *pool.Server) {
	event.ServerReturned.Log(passage.relay.config.Log, logrus.Fields{"server": string(server.ID), "request": passage.call.ID})
}
