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
func (passage *passage) fingerprint() crash.Fingerprint {
	account := names.ClientAccount("")
	if passage.account != nil {
		account = passage.account.Name
	}
	return crash.FingerprintOf(account, passage.request.Method, passage.request.RequestURI, passage.body)
}

// quarantined tells whether the request may reach no server, or no further one.
func (passage *passage) quarantined() bool {
	crashes := passage.relay.config.Crashes
	return !crashes.Empty() && crashes.Quarantined(passage.fingerprint())
}

// suspect notes that a server broke off, in case that it crashed.
func (passage *passage) suspect(server *pool.Server) {
	relay, suspicion, broke := passage.relay, passage.suspicion(server), passage.now()
	passed := relay.config.Clock.After(relay.config.CrashSilence)
	go func() {
		<-passed
		if heard, alive := relay.config.Pool.AliveAfter(server, broke); alive {
			relay.dismiss(suspicion, heard.Sub(broke))
			return
		}
		relay.confirm(suspicion)
	}()
}

// suspectSilent notes that a request ended by its deadline or its caller while its
// server was silent since a time. Slow servers are silent, too; whether it crashed
// is told by the registry.
func (passage *passage) suspectSilent(server *pool.Server, since time.Time) {
	relay := passage.relay
	if _, alive := relay.config.Pool.AliveAfter(server, since); alive {
		return
	}
	suspicion := passage.suspicion(server)
	passed := relay.config.Clock.After(relay.config.Pool.RegistryExpiry())
	go func() {
		<-passed
		if _, alive := relay.config.Pool.AliveAfter(server, since); !alive && relay.config.Pool.Crashed(server, relay.config.Clock.Now()) {
			relay.confirm(suspicion)
		}
	}()
}

// suspicion is a request whose server may have crashed.
type suspicion struct {
	request     string
	fingerprint crash.Fingerprint
	server      *pool.Server
}

func (passage *passage) suspicion(server *pool.Server) suspicion {
	return suspicion{request: passage.call.ID, fingerprint: passage.fingerprint(), server: server}
}

func (suspicion suspicion) fields() logrus.Fields {
	return logrus.Fields{
		"request": suspicion.request, "server": string(suspicion.server.ID), "born": suspicion.server.Incarnation,
		"fingerprint": suspicion.fingerprint.String(),
	}
}

// dismiss drops a suspicion: the server sent bytes that long after it broke off.
func (relay *Relay) dismiss(suspicion suspicion, heard time.Duration) {
	metrics.GetOrRegisterCounter("relay.crash.cleared", relay.config.Metrics).Inc(1)
	fields := suspicion.fields()
	fields["heardMs"] = heard.Milliseconds()
	event.SuspicionCleared.Log(relay.config.Log, fields)
}

// confirm notes that the server has crashed.
func (relay *Relay) confirm(suspicion suspicion) {
	metrics.GetOrRegisterCounter("relay.crash.suspected", relay.config.Metrics).Inc(1)
	event.RequestSuspected.Log(relay.config.Log, suspicion.fields())
	incarnation := string(suspicion.server.ID) + "/" + strconv.FormatInt(suspicion.server.Incarnation, 10)
	confirmed := crash.Suspicion{Fingerprint: suspicion.fingerprint, Server: incarnation, At: relay.config.Clock.Now()}
	for _, fingerprint := range relay.config.Crashes.Add(confirmed) {
		event.QuarantineBegun.Log(relay.config.Log, logrus.Fields{"fingerprint": fingerprint.String()})
	}
}
