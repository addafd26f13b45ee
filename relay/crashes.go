package relay

import (
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// fingerprint is the same for all requests of the caller that are alike.
func (exchange *exchange) fingerprint() crash.Fingerprint {
	account := names.ClientAccount("")
	if exchange.account != nil {
		account = exchange.account.Name
	}
	return crash.Of(account, exchange.request.Method, exchange.request.RequestURI, exchange.body)
}

// quarantined tells whether the request may reach no server, or no further one.
func (exchange *exchange) quarantined() bool {
	crashes := exchange.relay.config.Crashes
	return !crashes.Empty() && crashes.Quarantined(exchange.fingerprint())
}

// suspectBroken notes that a server broke off, in case that it crashed.
func (exchange *exchange) suspectBroken(server *pool.Server) {
	relay, suspect, broke := exchange.relay, exchange.newSuspect(server), exchange.now()
	passed := relay.config.Clock.After(relay.config.CrashConfirmDelay)
	go func() {
		<-passed
		if heard, alive := relay.config.Pool.AliveAfter(server, broke); alive {
			relay.clearSuspect(suspect, heard.Sub(broke))
			return
		}
		relay.confirmSuspect(suspect)
	}()
}

// suspectSilent notes that a request ended by its deadline or its caller while its
// server was silent since a time. Slow servers are silent, too; whether it crashed
// is told by the registry.
func (exchange *exchange) suspectSilent(server *pool.Server, since time.Time) {
	relay := exchange.relay
	if _, alive := relay.config.Pool.AliveAfter(server, since); alive {
		return
	}
	suspect := exchange.newSuspect(server)
	passed := relay.config.Clock.After(relay.config.Pool.Unlisting())
	go func() {
		<-passed
		if _, alive := relay.config.Pool.AliveAfter(server, since); !alive && relay.config.Pool.Crashed(server, relay.config.Clock.Now()) {
			relay.confirmSuspect(suspect)
		}
	}()
}

// suspect is a request whose server may have crashed.
type suspect struct {
	request     string
	fingerprint crash.Fingerprint
	server      *pool.Server
}

func (exchange *exchange) newSuspect(server *pool.Server) suspect {
	return suspect{request: exchange.call.ID, fingerprint: exchange.fingerprint(), server: server}
}

func (suspect suspect) fields() logrus.Fields {
	return logrus.Fields{
		"request": suspect.request, "server": string(suspect.server.ID), "born": suspect.server.Born,
		"fingerprint": suspect.fingerprint.String(),
	}
}

// clearSuspect drops a suspicion: the server sent bytes that long after it broke off.
func (relay *Relay) clearSuspect(suspect suspect, silence time.Duration) {
	metrics.GetOrRegisterCounter("relay.crash.cleared", relay.config.Metrics).Inc(1)
	fields := suspect.fields()
	fields["heardMs"] = silence.Milliseconds()
	event.SuspicionCleared.Log(relay.config.Log, fields)
}

// confirmSuspect notes that the server has crashed.
func (relay *Relay) confirmSuspect(suspect suspect) {
	metrics.GetOrRegisterCounter("relay.crash.suspected", relay.config.Metrics).Inc(1)
	event.RequestSuspected.Log(relay.config.Log, suspect.fields())
	incarnation := string(suspect.server.ID) + "/" + strconv.FormatInt(suspect.server.Born, 10)
	sighting := crash.Sighting{Fingerprint: suspect.fingerprint, Server: incarnation, At: relay.config.Clock.Now()}
	for _, fingerprint := range relay.config.Crashes.Learn(sighting) {
		event.QuarantineBegun.Log(relay.config.Log, logrus.Fields{"fingerprint": fingerprint.String()})
	}
}
