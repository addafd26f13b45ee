package relay

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// crashSilence is how long after it broke off an answer a server must have sent
// nothing to anybody to count as crashed. Crashed servers are back after some
// seconds, others answer within a fraction of one.
const crashSilence = 1500 * time.Millisecond

func (passage *passage) fingerprint() crash.Fingerprint {
	account := names.ClientAccount("")
	if passage.account != nil {
		account = passage.account.Name
	}
	return crash.Of(account, passage.request.Method, passage.request.RequestURI, passage.body)
}

// suspect notes that a server broke off, in case that it crashed.
func (passage *passage) suspect(server *pool.Server) {
	relay, fingerprint, id, broke := passage.relay, passage.fingerprint(), passage.call.ID, passage.now()
	passed := relay.config.Clock.After(crashSilence)
	go func() {
		<-passed
		if relay.config.Pool.HeardSince(server, broke) {
			return
		}
		sighting := crash.Sighting{Fingerprint: fingerprint, Server: string(server.ID) + "/" + strconv.FormatInt(server.Born, 10)}
		relay.config.Crashes.Saw(sighting, relay.config.Clock.Now())
		event.RequestSuspected.Log(relay.config.Log, logrus.Fields{
			"request": id, "server": string(server.ID), "born": server.Born, "fingerprint": strconv.FormatUint(uint64(fingerprint), 16),
		})
	}()
}
