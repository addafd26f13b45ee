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

// crashSilence is how long after it broke off an answer a server must have given no
// sign of life to count as crashed. Crashed servers are back after some
// seconds, others answer within a fraction of one.
const crashSilence = 1500 * time.Millisecond

func (passage *passage) fingerprint() crash.Fingerprint {
	account := names.ClientAccount("")
	if passage.account != nil {
		account = passage.account.Name
	}
	return crash.Of(account, passage.request.Method, passage.request.RequestURI, passage.body)
}

// quarantined tells whether the request may reach no server, or no further one.
func (passage *passage) quarantined() bool {
	crashes := passage.relay.config.Crashes
	return !crashes.Empty() && crashes.Quarantined(passage.fingerprint())
}

// suspect notes that a server broke off, in case that it crashed.
func (passage *passage) suspect(server *pool.Server) {
	relay, fingerprint, id, broke := passage.relay, passage.fingerprint(), passage.call.ID, passage.now()
	passed := relay.config.Clock.After(crashSilence)
	go func() {
		<-passed
		fields := logrus.Fields{"request": id, "server": string(server.ID), "born": server.Born, "fingerprint": fingerprint.String()}
		if heard, alive := relay.config.Pool.AliveAfter(server, broke); alive {
			metrics.GetOrRegisterCounter("relay.crash.cleared", relay.config.Metrics).Inc(1)
			fields["heardMs"] = heard.Sub(broke).Milliseconds()
			event.SuspicionCleared.Log(relay.config.Log, fields)
			return
		}
		metrics.GetOrRegisterCounter("relay.crash.suspected", relay.config.Metrics).Inc(1)
		event.RequestSuspected.Log(relay.config.Log, fields)
		incarnation := string(server.ID) + "/" + strconv.FormatInt(server.Born, 10)
		for range relay.config.Crashes.Learn(crash.Sighting{Fingerprint: fingerprint, Server: incarnation, At: relay.config.Clock.Now()}) {
			event.QuarantineBegun.Log(relay.config.Log, logrus.Fields{"fingerprint": fingerprint.String()})
		}
	}()
}
