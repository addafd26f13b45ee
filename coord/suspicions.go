package coord

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/pool"
)

// CrashStore stores the record of suspicions in the platform's service.
type CrashStore interface {
	// StoreCrashes replaces the record that was read last.
	StoreCrashes(ctx context.Context, record crash.Record) error
}

// exchangeSuspicions adds the suspicions in an entry's report and returns those that
// the entry lacks, with the number of the newest one. It is called with the
// coordinator's mutex held.
func (term *term) exchangeSuspicions(report Report, now time.Time) ([]crash.Suspicion, int64) {
	term.aggregator.Add(report.Suspicions)
	term.aggregator.Expire(now)
	version := report.SuspicionsVersion
	if report.Holdings.Term != term.number {
		version = 0
	}
	return term.aggregator.Since(version)
}

// storeSuspicions stores the record of suspicions if it has changed, so that it
// survives the loss of all entries.
func (coordinator *Coordinator) storeSuspicions(ctx context.Context, term *term) {
	if coordinator.config.Term() != term.number {
		return
	}
	record, number, changed := coordinator.unstoredSuspicions(term)
	if !changed {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := coordinator.config.CrashStore.StoreCrashes(callCtx, record); err != nil {
		event.SuspectsUnkept.Log(coordinator.config.Log, logrus.Fields{"term": term.number, "cause": err.Error()})
		return
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	term.storedSuspicions = number
}

// unstoredSuspicions returns the record of suspicions with the number of the newest
// one; changed reports whether it differs from the stored record.
func (coordinator *Coordinator) unstoredSuspicions(term *term) (record crash.Record, number int64, changed bool) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	number = term.aggregator.LastNumber()
	if number == term.storedSuspicions {
		return crash.Record{}, number, false
	}
	return term.aggregator.Record(), number, true
}

// refuteSuspicions withdraws the unconfirmed suspicions that are about to count although this
// entry has heard from the server since, such as if the entry that reported them has lost its
// connections to servers and to the coordinator.
func (client *Client) refuteSuspicions(now time.Time) {
	crashes, registry := client.config.Crashes, client.config.Metrics
	for _, suspicion := range crashes.TakeCounted() {
		metrics.GetOrRegisterCounter("crash.unconfirmed.counted", registry).Inc(1)
		event.SuspicionCounted.Log(client.config.Log, suspicionFields(suspicion))
	}
	due, count := crashes.Unconfirmed(now)
	metrics.GetOrRegisterGauge("crash.unconfirmed", registry).Update(int64(count))
	for _, suspicion := range due {
		id, incarnation, valid := crash.ParseServerName(suspicion.Server)
		if !valid {
			continue
		}
		if _, alive := client.config.Pool.AliveAfter(&pool.Server{ID: id, Incarnation: incarnation}, suspicion.At); alive {
			metrics.GetOrRegisterCounter("crash.unconfirmed.refuted", registry).Inc(1)
			event.SuspicionRefuted.Log(client.config.Log, suspicionFields(suspicion))
			suspicion.Withdrawn = true
			client.logQuarantines(crashes.AddOwn(now, suspicion))
		}
	}
}

// logQuarantines logs the quarantines that have begun.
func (client *Client) logQuarantines(begun []crash.Subject) {
	for _, subject := range begun {
		event.QuarantineBegun.Log(client.config.Log, logrus.Fields{"fingerprint": subject.Fingerprint.String(), "part": subject.Part})
	}
}

// suspicionFields returns the fields of log events about a suspicion.
func suspicionFields(suspicion crash.Suspicion) logrus.Fields {
	return logrus.Fields{"fingerprint": suspicion.Fingerprint.String(), "part": suspicion.Part, "server": suspicion.Server}
}
