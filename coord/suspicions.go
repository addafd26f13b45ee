package coord

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
)

// CrashStore keeps the record of suspects in the platform's service.
type CrashStore interface {
	// StoreCrashes writes a record in place of the one that was read last.
	StoreCrashes(ctx context.Context, record crash.Record) error
}

// exchangeSuspicions takes in an entry's sightings and returns those that it lacks, and the
// number up to which it then has them. It is called with the desk's mutex held.
func (term *term) exchangeSuspicions(report Report, now time.Time) ([]crash.Sighting, int64) {
	term.aggregator.Add(report.Suspicions)
	term.aggregator.Expire(now)
	version := report.SuspicionsVersion
	if report.Holdings.Term != term.number {
		version = 0
	}
	return term.aggregator.Since(version)
}

// storeSuspicions writes the record of suspects where it has changed, so that it
// outlives the loss of all entries.
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

func (coordinator *Coordinator) unstoredSuspicions(term *term) (record crash.Record, number int64, changed bool) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	number = term.aggregator.Number()
	if number == term.storedSuspicions {
		return crash.Record{}, number, false
	}
	return term.aggregator.Record(), number, true
}
