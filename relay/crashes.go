package relay

import (
	"strconv"
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
	return crash.FingerprintOf(account, exchange.request.Method, exchange.request.RequestURI, exchange.body)
}

// quarantined reports whether the request is quarantined, so that it must not be sent to
// any further server.
func (exchange *exchange) quarantined() bool {
	crashes := exchange.relay.config.Crashes
	return !crashes.Empty() && crashes.Quarantined(exchange.fingerprint())
}

// suspectBroken handles an attempt that got no complete response although the request had
// neither passed its deadline nor lost its caller. The server is reported as crashed unless
// it has sent anything new when CrashConfirmDelay has passed.
func (exchange *exchange) suspectBroken(server *pool.Server) {
	relay, suspect, brokenAt := exchange.relay, exchange.newSuspect(server), exchange.now()
	elapsed := relay.config.Clock.After(relay.config.CrashConfirmDelay)
	go func() {
		<-elapsed
		if lastBytesAt, alive := relay.config.Pool.AliveAfter(server, brokenAt); alive {
			relay.clearSuspect(suspect, lastBytesAt.Sub(brokenAt))
			return
		}
		relay.confirmSuspect(suspect)
	}()
}

// suspectSilent handles a request that was ended by its deadline or its caller while the
// server had sent nothing since a time. As a slow server is silent, too, the server is
// reported as crashed only if the registry shows that it ended unannounced.
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
			relay.confirmSuspect(suspect)
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
	// parts are the IDs of the parts that the request's prompt shares with others.
	parts []string
}

// newSuspect returns the exchange's request as a suspect for a crash of server.
func (exchange *exchange) newSuspect(server *pool.Server) suspect {
	return suspect{
		request: exchange.info.ID, fingerprint: exchange.fingerprint(), server: server, answered: exchange.answered, parts: exchange.info.SharedParts,
	}
}

// fields returns the fields of log events about the suspect.
func (suspect suspect) fields() logrus.Fields {
	fields := logrus.Fields{
		"request": suspect.request, "server": string(suspect.server.ID), "born": suspect.server.Incarnation,
		"fingerprint": suspect.fingerprint.String(), "answered": suspect.answered,
	}
	if len(suspect.parts) > 0 {
		fields["parts"] = strings.Join(suspect.parts, ",")
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

// confirmSuspect records that the request's server crashed.
func (relay *Relay) confirmSuspect(suspect suspect) {
	metrics.GetOrRegisterCounter("relay.crash.suspected", relay.config.Metrics).Inc(1)
	event.RequestSuspected.Log(relay.config.Log, suspect.fields())
	incarnation := string(suspect.server.ID) + "/" + strconv.FormatInt(suspect.server.Incarnation, 10)
	suspicion := crash.Suspicion{Fingerprint: suspect.fingerprint, Server: incarnation, At: relay.config.Clock.Now()}
	for _, fingerprint := range relay.config.Crashes.Add(suspicion) {
		event.QuarantineBegun.Log(relay.config.Log, logrus.Fields{"fingerprint": fingerprint.String()})
	}
}
