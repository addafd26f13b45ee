package coord

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/event"
)

// CrashKeeper keeps the record of suspects in the platform's service.
type CrashKeeper interface {
	// KeepCrashes writes a record in place of the one that was read last.
	KeepCrashes(ctx context.Context, record crash.Record) error
}

// suspects takes in an entry's sightings and returns those that it lacks, and the
// number up to which it then has them. It is called with the desk's mutex held.
func (term *term) suspects(report Report, now time.Time) ([]crash.Suspicion, int64) {
	term.tally.Add(report.Sightings)
	term.tally.Expire(now)
	known := report.Suspects
	if report.Holdings.Term != term.number {
		known = 0
	}
	return term.tally.Since(known)
}

// keepSuspects writes the record of suspects where it has changed, so that it
// outlives the loss of all entries.
func (desk *Desk) keepSuspects(ctx context.Context, current *term) {
	if desk.config.Term() != current.number {
		return
	}
	record, number, changed := desk.changedSuspects(current)
	if !changed {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if err := desk.config.Crashes.KeepCrashes(callCtx, record); err != nil {
		event.SuspectsUnkept.Log(desk.config.Log, logrus.Fields{"term": current.number, "cause": err.Error()})
		return
	}
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	current.kept = number
}

func (desk *Desk) changedSuspects(current *term) (record crash.Record, number int64, changed bool) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	number = current.tally.LastNumber()
	if number == current.kept {
		return crash.Record{}, number, false
	}
	return current.tally.Record(), number, true
}
