package relay

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// fingerprint returns a value that identical requests of the same account share.
func (exchange *exchange) fingerprint() crash.Fingerprint {
	account := names.ClientAccount("")
	if exchange.account != nil {
		account = exchange.account.Name
	}
	return crash.FingerprintOf(account, exchange.request.Method, exchange.request.RequestURI, exchange.body...)
}

// quarantined reports whether the request or a part of its prompt is quarantined, so that
// it must not be sent to any further server.
func (exchange *exchange) quarantined() bool {
	crashes := exchange.relay.config.Crashes
	if crashes.Empty() {
		return false
	}
	fingerprint := exchange.fingerprint()
	parts := crashes.QuarantinedParts(exchange.sharedParts(), exchange.now())
	switch {
	case crashes.Quarantined(fingerprint):
		return true
	case crashes.NearQuarantine(fingerprint) && !exchange.relay.config.Coordinator.Reachable():
		return true
	case len(parts) == 0:
		return false
	case exchange.possibleRuns > 0:
		return true
	}
	return !exchange.probes(parts)
}

// probes reports whether the request, which no server may have run, probes the quarantined
// parts of its prompt.
func (exchange *exchange) probes(parts []crash.Fingerprint) bool {
	if exchange.probedParts != nil {
		return crash.ContainsAll(exchange.probedParts, parts)
	}
	granted, err := exchange.relay.config.Coordinator.Probe(exchange.request.Context(), parts)
	if err != nil {
		exchange.cause = err
	}
	if !granted {
		return false
	}
	exchange.probedParts = parts
	event.QuarantineProbed.Log(exchange.relay.config.Log, logrus.Fields{"request": exchange.info.ID, "parts": joinFingerprints(parts)})
	return true
}

// joinFingerprints returns fingerprints as log events show them.
func joinFingerprints(fingerprints []crash.Fingerprint) string {
	texts := make([]string, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		texts = append(texts, fingerprint.String())
	}
	return strings.Join(texts, ",")
}

// sharedParts returns the fingerprints of the parts that the request's prompt shares with
// others.
func (exchange *exchange) sharedParts() []crash.Fingerprint {
	if exchange.parts == nil {
		for _, id := range exchange.info.SharedParts {
			exchange.parts = append(exchange.parts, crash.FingerprintOfPart(id))
		}
	}
	return exchange.parts
}

// unansweredParts returns the parts that may have crashed the server of the last attempt: none
// if that had begun to answer.
func (exchange *exchange) unansweredParts() []crash.Fingerprint {
	if exchange.answered {
		return nil
	}
	return exchange.sharedParts()
}

// recordAnswer records that the server has begun to answer.
func (exchange *exchange) recordAnswer() {
	exchange.answered = true
	if parts := exchange.sharedParts(); len(parts) > 0 {
		exchange.relay.config.Crashes.RecordAnswer(parts, exchange.now())
	}
}

// recordCompletion records that a response is complete, which clears the request unless it
// is no success or its end may be that of its server. suspectEnd does that later.
func (exchange *exchange) recordCompletion(response *responseReader) {
	crashes := exchange.relay.config.Crashes
	if response.Status < http.StatusMultipleChoices && !response.EndsWithConnection && !crashes.Empty() {
		crashes.RecordCompletion(exchange.fingerprint(), exchange.now())
	}
}

// suspectBroken handles an attempt that got no complete response although the request had
// neither passed its deadline nor lost its caller. The server is reported as crashed unless
// it has sent anything new when CrashConfirmDelay has passed. The suspicion is reported as
// unconfirmed before that, as this entry may end meanwhile.
func (exchange *exchange) suspectBroken(server *pool.Server) {
	relay, suspect, brokenAt := exchange.relay, exchange.newSuspect(server), exchange.now()
	suspect.parts = exchange.unansweredParts()
	elapsed := relay.config.Clock.After(relay.config.CrashConfirmDelay)
	unconfirmed := suspect.suspicions(brokenAt)
	for index := range unconfirmed {
		unconfirmed[index].CountsAt = brokenAt.Add(relay.config.CrashConfirmDelay + crash.UnconfirmedGrace)
	}
	relay.addSuspicions(unconfirmed)
	go func() {
		<-elapsed
		if lastBytesAt, alive := relay.config.Pool.AliveAfter(server, brokenAt); alive {
			relay.clearSuspect(suspect, lastBytesAt.Sub(brokenAt))
			for index := range unconfirmed {
				unconfirmed[index].Withdrawn = true
			}
			relay.addSuspicions(unconfirmed)
			return
		}
		relay.confirmSuspect(suspect, brokenAt)
	}()
}

// suspectEnd handles a success whose body ended with its connection, so that it is complete
// or the server has crashed. A server that has sent nothing new when CrashConfirmDelay has
// passed may merely have had nothing to send: it is reported as crashed if it accepts no
// connection, or if the registry shows that another incarnation accepted that. No unconfirmed
// suspicion is reported before, as there may be one for every response.
func (exchange *exchange) suspectEnd(server *pool.Server) {
	relay, suspect, endedAt := exchange.relay, exchange.newSuspect(server), exchange.now()
	suspect.parts = exchange.unansweredParts()
	elapsed := relay.config.Clock.After(relay.config.CrashConfirmDelay)
	go func() {
		<-elapsed
		aliveAt, alive := relay.config.Pool.AliveAfter(server, endedAt)
		if !alive {
			aliveAt = relay.config.Clock.Now()
			alive = relay.config.Trunk.Connect(context.Background(), server.Address) == nil && !relay.awaitCrash(server, endedAt.Add(relay.config.Pool.RegistryExpiry()))
		}
		if !alive {
			relay.confirmSuspect(suspect, endedAt)
			return
		}
		relay.clearSuspect(suspect, aliveAt.Sub(endedAt))
		relay.config.Crashes.RecordAnswer(suspect.parts, endedAt)
		relay.config.Crashes.RecordCompletion(suspect.fingerprint, endedAt)
	}()
}

// awaitCrash waits until the registry shows that an incarnation of a server has crashed, at
// most until a time, and reports whether it has.
func (relay *Relay) awaitCrash(server *pool.Server, until time.Time) bool {
	expired := relay.config.Clock.After(until.Sub(relay.config.Clock.Now()))
	for {
		changed := relay.config.Pool.Changed()
		if relay.config.Pool.Crashed(server, relay.config.Clock.Now()) {
			return true
		}
		select {
		case <-changed:
		case <-expired:
			return relay.config.Pool.Crashed(server, relay.config.Clock.Now())
		}
	}
}

// suspectSilent handles a request that was ended by its deadline or its caller while the
// server had sent nothing since a time. As a slow server is silent, too, the server is
// reported as crashed only if the registry shows that it ended unannounced. No part of the
// prompt is suspected: a server that crashes closes its connections, one that loses power or
// its network falls silent.
func (exchange *exchange) suspectSilent(server *pool.Server, since time.Time) {
	relay := exchange.relay
	if _, alive := relay.config.Pool.AliveAfter(server, since); alive {
		return
	}
	suspect := exchange.newSuspect(server)
	elapsed := relay.config.Clock.After(relay.config.Pool.RegistryExpiry())
	go func() {
		<-elapsed
		if _, alive := relay.config.Pool.AliveAfter(server, since); !alive && relay.config.Pool.Crashed(server, relay.config.Clock.Now()) {
			relay.confirmSuspect(suspect, since)
		}
	}()
}

// suspect is a request that may have crashed its server.
type suspect struct {
	request     string
	fingerprint crash.Fingerprint
	server      *pool.Server
	// answered reports whether the server had begun to answer the request.
	answered bool
	// partIDs are the IDs of the parts that the request's prompt shares with others.
	partIDs []string
	// parts are those of them that may have crashed the server.
	parts []crash.Fingerprint
	// probedParts are the quarantined parts that the request probed.
	probedParts []crash.Fingerprint
}

// newSuspect returns the exchange's request as a suspect for a crash of server.
func (exchange *exchange) newSuspect(server *pool.Server) suspect {
	return suspect{
		request: exchange.info.ID, fingerprint: exchange.fingerprint(), server: server, answered: exchange.answered,
		partIDs: exchange.info.SharedParts, probedParts: exchange.probedParts,
	}
}

// fields returns the fields of log events about the suspect.
func (suspect suspect) fields() logrus.Fields {
	fields := logrus.Fields{
		"request": suspect.request, "server": string(suspect.server.ID), "born": suspect.server.Incarnation,
		"fingerprint": suspect.fingerprint.String(), "answered": suspect.answered,
	}
	if len(suspect.partIDs) > 0 {
		fields["parts"] = strings.Join(suspect.partIDs, ",")
	}
	if len(suspect.probedParts) > 0 {
		fields["probed"] = joinFingerprints(suspect.probedParts)
	}
	return fields
}

// clearSuspect records that a suspected server is alive: it sent bytes that long after
// the broken response.
func (relay *Relay) clearSuspect(suspect suspect, delay time.Duration) {
	metrics.GetOrRegisterCounter("relay.crash.cleared", relay.config.Metrics).Inc(1)
	fields := suspect.fields()
	fields["heardMs"] = delay.Milliseconds()
	event.SuspicionCleared.Log(relay.config.Log, fields)
}

// confirmSuspect records that the request's server crashed at a moment.
func (relay *Relay) confirmSuspect(suspect suspect, crashedAt time.Time) {
	metrics.GetOrRegisterCounter("relay.crash.suspected", relay.config.Metrics).Inc(1)
	event.RequestSuspected.Log(relay.config.Log, suspect.fields())
	relay.addSuspicions(suspect.suspicions(crashedAt))
}

// suspicions returns the suspicions of the request and of the parts of its prompt, whose server
// crashed at a moment.
func (suspect suspect) suspicions(crashedAt time.Time) []crash.Suspicion {
	incarnation := crash.ServerName(suspect.server.ID, suspect.server.Incarnation)
	suspicions := make([]crash.Suspicion, 0, 1+len(suspect.parts))
	suspicions = append(suspicions, crash.Suspicion{Fingerprint: suspect.fingerprint, Server: incarnation, At: crashedAt})
	for _, part := range suspect.parts {
		suspicions = append(suspicions, crash.Suspicion{
			Fingerprint: part, Part: true, Server: incarnation, At: crashedAt, Probe: slices.Contains(suspect.probedParts, part),
		})
	}
	return suspicions
}

// addSuspicions adds what this entry has found, which is reported at once.
func (relay *Relay) addSuspicions(suspicions []crash.Suspicion) {
	for _, subject := range relay.config.Crashes.AddOwn(relay.config.Clock.Now(), suspicions...) {
		event.QuarantineBegun.Log(relay.config.Log, logrus.Fields{"fingerprint": subject.Fingerprint.String(), "part": subject.Part})
	}
}
