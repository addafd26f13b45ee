package copies

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

const (
	// requestsPollPause is the pause between two looks at the requests for the models that
	// a step will unload.
	requestsPollPause = 60 * time.Millisecond
	// fewRequests is the number of requests for these models at which the unload is sent.
	// Until then the engine accepts orders for adapters, and the step can be canceled; it
	// does not end earlier if the unload is sent earlier.
	fewRequests = 2
	// maxRequestsWait bounds that wait.
	maxRequestsWait = 4 * time.Second
	// earliestLoadFraction is the fraction of the usual time of a load after which the engine
	// is asked whether it is done, loadPollPause the pause between two such reports. Loads
	// take 0.6 to 1.6 of the usual time.
	earliestLoadFraction = 0.6
	longestLoadFraction  = 1.6
	loadPollPause        = 200 * time.Millisecond
	// lostDemandFraction is the fraction of the demand that a step was planned for below
	// which it is canceled.
	lostDemandFraction = 0.5
)

// requests returns the number of requests that run for models on an engine, or nil if they
// are not known.
func (dispatcher *Dispatcher) requests(tracker *Tracker, models []names.Model) map[names.Model]int {
	tracker.mutex.Lock()
	server := tracker.server
	tracker.mutex.Unlock()
	requests := make(map[names.Model]int, len(models))
	for _, model := range models {
		running, known := dispatcher.usage.ModelRequests(server, model)
		if !known {
			return nil
		}
		requests[model] = running
	}
	return requests
}

// awaitRequests waits before the first unload of a step. If the requests are not known or
// not scheduled, it is for the time that entries take to learn of the decision; otherwise
// until few requests for the models are left. It reports false if the step is canceled.
func (dispatcher *Dispatcher) awaitRequests(ctx context.Context, tracker *Tracker, step Step) bool {
	end := dispatcher.config.Clock.Now().Add(maxRequestsWait)
	for {
		pause := requestsPollPause
		requests := dispatcher.requests(tracker, step.Unload)
		if !step.Scheduled || requests == nil {
			pause, end = unloadDelay, time.Time{}
		}
		running := 0
		for _, each := range requests {
			running += each
		}
		if tracker.isCanceled() {
			return false
		}
		if step.Scheduled && requests != nil && (running <= fewRequests || !dispatcher.config.Clock.Now().Before(end)) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-dispatcher.config.Clock.After(pause):
		}
		if end.IsZero() {
			return true
		}
	}
}

// awaitLoad asks an engine whether a load is done, from the time on at which it may be. The
// registry shows it up to 1.2 s later. It ends once the load counts as done, also by its
// usual time.
func (dispatcher *Dispatcher) awaitLoad(ctx context.Context, tracker *Tracker, planned *pool.Server, step Step, engine *policy.Engine) {
	tracker.mutex.Lock()
	pause := time.Duration(float64(tracker.loadTime(step.Load, engine)) * earliestLoadFraction)
	tracker.mutex.Unlock()
	for tracker.isLoading(planned, step.Load) && dispatcher.config.Term() != 0 {
		select {
		case <-ctx.Done():
			return
		case <-dispatcher.config.Clock.After(pause):
		}
		pause = loadPollPause
		tracker.finishDueLoad(dispatcher.config.Clock.Now())
		if !tracker.isLoading(planned, step.Load) || tracker.lockOrders(ctx) != nil {
			return
		}
		dispatcher.query(ctx, tracker)
		tracker.unlockOrders()
	}
}

// isLoading reports whether an incarnation is loading a model.
func (tracker *Tracker) isLoading(planned *pool.Server, model names.Model) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.loading == model && tracker.isIncarnation(planned.Incarnation, planned.Address)
}

func (tracker *Tracker) isCanceled() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.canceled
}

// CancelSteps cancels the steps of a service that have sent no order yet and whose demand
// has gone.
func (dispatcher *Dispatcher) CancelSteps(service names.Service, demand map[names.Model]Demand) {
	for _, tracker := range dispatcher.trackersOf(service) {
		if step, canceled := tracker.cancelStep(demand); canceled {
			event.StepCanceled.Log(dispatcher.config.Log, logrus.Fields{
				"server": string(step.Server), "load": string(step.Load), "unload": step.Unload, "work": demand[step.Load].Work, "plannedFor": step.Demand.Work,
			})
			dispatcher.count("stepsCanceled")
		}
	}
}

// cancelStep cancels the running step if it has sent no order yet and the demand for its
// model has gone.
func (tracker *Tracker) cancelStep(demand map[names.Model]Demand) (Step, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if !tracker.stepRunning || !tracker.awaiting || tracker.canceled || !tracker.step.Demand.goneBy(demand[tracker.step.Load]) {
		return Step{}, false
	}
	tracker.canceled = true
	return tracker.step, true
}

// goneBy reports whether a later demand is too small for what was planned for this one.
func (demand Demand) goneBy(later Demand) bool {
	if demand.Work == 0 && demand.Waiting == 0 {
		return false
	}
	return later.Waiting == 0 && later.Work <= lostDemandFraction*demand.Work
}

// ReadyAfter returns the expected time until an engine of a service holds a model: a
// millisecond if one does already, otherwise by a load that runs, or by one that is still to
// be ordered. It returns zero if no engine can load it, or if an engine may be executing an
// order of a former coordinator, whose load may end at any time.
func (dispatcher *Dispatcher) ReadyAfter(service names.Service, model names.Model, engine *policy.Engine) time.Duration {
	earliest, now := time.Duration(0), dispatcher.config.Clock.Now()
	for _, tracker := range dispatcher.trackersOf(service) {
		if dispatcher.evacuated(tracker) {
			continue
		}
		if tracker.mayRunFormerLoad(model, engine, now) {
			return 0
		}
		if ready, possible := tracker.readyAfter(model, engine, now); possible && (earliest == 0 || ready < earliest) {
			earliest = max(ready, time.Millisecond)
		}
	}
	return earliest
}

// mayRunFormerLoad reports whether the engine may be executing a load of a model that a former
// coordinator has ordered: its state has not been known in this term, and such a load would
// not have ended yet.
func (tracker *Tracker) mayRunFormerLoad(model names.Model, engine *policy.Engine, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.reported || tracker.foundAt.IsZero() {
		return false
	}
	longest := time.Duration(float64(tracker.loadTime(model, engine)) * longestLoadFraction)
	return now.Sub(tracker.foundAt) < longest
}

// readyAfter returns the expected time until the engine holds a model, and whether it can
// load it.
func (tracker *Tracker) readyAfter(model names.Model, engine *policy.Engine, now time.Time) (time.Duration, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	switch {
	case tracker.server.Draining || tracker.fenced:
		return 0, false
	case slices.Contains(tracker.usableModels(), model):
		// The scheduler learns of a load up to half a second later, and an entry excludes
		// engines for short times only.
		return 0, true
	case tracker.loading != "" && tracker.loading != model:
		return 0, false
	case tracker.loading == model && !tracker.readyAt.IsZero():
		return tracker.readyAt.Sub(now), true
	default:
		return tracker.loadTime(model, engine), true
	}
}
