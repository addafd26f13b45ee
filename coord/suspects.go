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

// suspects takes in an entry's sightings and returns those that it lacks, and the
// number up to which it then has them. It is called with the desk's mutex held.
func (term *term) suspects(report Report, now time.Time) ([]crash.Sighting, int64) {
	term.tally.Add(report.Suspicions)
	term.tally.Expire(now)
	known := report.SuspicionsVersion
	if report.Holdings.Term != term.number {
		known = 0
	}
	return term.tally.Since(known)
}

// keepSuspects writes the record of suspects where it has changed, so that it
// outlives the loss of all entries.
func (coordinator *Coordinator) keepSuspects(ctx context.Context, current *term) {
	if coordinator.config.Term() != current.number {
		return
	}
	record, number, changed := coordinator.changedSuspects(current)
	if !changed {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if err := coordinator.config.CrashStore.StoreCrashes(callCtx, record); err != nil {
		event.SuspectsUnkept.Log(coordinator.config.Log, logrus.Fields{"term": current.number, "cause": err.Error()})
		return
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	current.kept = number
}

func (coordinator *Coordinator) changedSuspects(current *term) (record crash.Record, number int64, changed bool) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	number = current.tally.Number()
	if number == current.kept {
		return crash.Record{}, number, false
	}
	return current.tally.Record(), number, true
}
