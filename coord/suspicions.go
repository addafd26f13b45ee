package coord

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
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
