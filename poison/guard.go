package poison

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
)

const unavailableRetryAfter = time.Second

// GuardConfig configures a [Guard].
type GuardConfig struct {
	Server names.BackendServer
	// Engine is the engine that the guard protects.
	Engine  engine.Engine
	Clock   *clock.Service
	Logger  logrus.FieldLogger
	Tracker Config
	// ReportLag is the maximum age of a report when the engine sends it.
	ReportLag time.Duration
}

// Guard wraps an engine. It runs suspects alone, refuses quarantined requests and
// detects crashes of the engine. All methods are safe for concurrent use.
type Guard struct {
	engine.Engine
	config GuardConfig

	// mu guards the fields below.
	mu      sync.Mutex
	tracker *Tracker
	gate    *Gate
	// crashCount counts presumed crashes. A crash removes all running generations
	// from the gate, so one that was admitted at a lower count is no longer in it.
	crashCount int
	// boot identifies the run of the engine, according to its last report.
	boot string
	// presumedCrash is a crash that no report has confirmed or dismissed yet. While
	// it is set, requests are refused.
	presumedCrash CrashID
	presumedAt    time.Time
	// changed is closed and replaced when a waiting request may be admitted.
	changed chan struct{}
}

// NewGuard returns a guard that knows of no crashes.
func NewGuard(config GuardConfig) *Guard {
	tracker := NewTracker(config.Tracker)
	return &Guard{
		Engine: config.Engine, config: config, tracker: tracker,
		gate: NewGate(GateConfig{Server: config.Server, Tracker: tracker}), changed: make(chan struct{}),
	}
}

// FingerprintOf returns the fingerprint of a generation.
func FingerprintOf(generation engine.Generation) Fingerprint {
	route := string(generation.Model) + "/" + string(generation.Adapter)
	return NewFingerprint(generation.Account, route, []byte(generation.Prompt))
}

// Generate implements [engine.Engine]. Besides the engine's own errors it
// returns a *[call.Refusal] for a generation that did not run.
func (guard *Guard) Generate(ctx context.Context, generation engine.Generation, sink func(engine.Piece) error) error {
	fingerprint := FingerprintOf(generation)
	crashCount, err := guard.admit(ctx, fingerprint)
	if err != nil {
		return err
	}
	err = guard.Engine.Generate(ctx, generation, sink)
	guard.mu.Lock()
	defer guard.mu.Unlock()
	defer guard.wakeWaiters()
	switch {
	case crashCount != guard.crashCount:
		// A crash has already removed the generation from the gate.
	case ctx.Err() == nil && isBroken(err):
		guard.recordPresumedCrash()
	default:
		guard.gate.Finish(guard.config.Clock.Now(), fingerprint, err == nil)
	}
	return err
}

// isBroken reports whether err means that the engine broke off the generation.
func isBroken(err error) bool {
	var (
		brokenError *engine.BrokenError
		sendError   *engine.SendError
	)
	return errors.As(err, &brokenError) || errors.As(err, &sendError) && sendError.MaybeSent
}

// recordPresumedCrash treats a broken stream as a crash until a report shows that
// the engine still runs. The caller holds mu.
func (guard *Guard) recordPresumedCrash() {
	now := guard.config.Clock.Now()
	guard.crashCount++
	crash := guard.gate.RecordCrash(now, guard.boot+"#"+strconv.Itoa(guard.crashCount))
	guard.presumedCrash, guard.presumedAt = crash.ID, now
	event.ServerCrashed.Log(guard.config.Logger, logrus.Fields{"boot": guard.boot, "running": len(crash.Running)})
	for _, fingerprint := range crash.Running {
		guard.logQuarantine(fingerprint)
	}
}

func (guard *Guard) logQuarantine(fingerprint Fingerprint) {
	if quarantined, is := guard.tracker.Classify(guard.config.Clock.Now(), fingerprint).(Quarantined); is {
		event.RequestQuarantined.Log(guard.config.Logger, logrus.Fields{
			"fingerprint": fingerprint.String(), "until": quarantined.Until,
		})
	}
}

// Observe evaluates a report of the engine that was requested at requestedAt. A
// report of a new run of the engine confirms a presumed crash. A report of the
// same run dismisses it if, even with the maximum lag, it describes the engine
// after the crash.
func (guard *Guard) Observe(requestedAt time.Time, report engine.Report) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	defer guard.wakeWaiters()
	pending := guard.presumedCrash != CrashID{}
	switch {
	case report.Boot != guard.boot:
		guard.boot, guard.presumedCrash = report.Boot, CrashID{}
	case pending && requestedAt.Sub(guard.presumedAt) > guard.config.ReportLag:
		guard.tracker.DismissCrash(guard.config.Clock.Now(), guard.presumedCrash)
		guard.presumedCrash = CrashID{}
	}
}

// admit waits until fingerprint may run and returns the current crashCount.
func (guard *Guard) admit(ctx context.Context, fingerprint Fingerprint) (int, error) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	waiting := false
	defer func() {
		if waiting {
			guard.gate.RemoveWaitingSuspect()
		}
	}()
	for {
		now := guard.config.Clock.Now()
		if guard.presumedCrash != (CrashID{}) {
			return 0, unavailable("the backend server may have crashed", unavailableRetryAfter)
		}
		switch decision := guard.gate.Admit(now, fingerprint).(type) {
		case Admit:
			return guard.crashCount, nil
		case RefuseHere:
			return 0, unavailable("the request may have crashed this backend server", unavailableRetryAfter)
		case Refuse:
			return 0, refusalFor(now, decision)
		case Wait:
			if decision.Suspect && !waiting {
				waiting = true
				guard.gate.AddWaitingSuspect(now)
			}
		}
		if err := guard.wait(ctx); err != nil {
			return 0, err
		}
	}
}

// wait releases mu until a waiting request may be admitted or ctx ends.
func (guard *Guard) wait(ctx context.Context) error {
	changed := guard.changed
	guard.mu.Unlock()
	defer guard.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return unavailable("the request did not get to run alone in time", unavailableRetryAfter)
	}
}

func (guard *Guard) wakeWaiters() {
	close(guard.changed)
	guard.changed = make(chan struct{})
}

func refusalFor(now time.Time, decision Refuse) *call.Refusal {
	if !decision.Final {
		return unavailable("the request was there when backend servers crashed", decision.Until.Sub(now))
	}
	return &call.Refusal{
		Code: call.CodeQuarantined, Outcome: call.NotRun{},
		Message: "the request crashed backend servers and is refused until " + decision.Until.UTC().Format(time.RFC3339),
	}
}

func unavailable(message string, retryAfter time.Duration) *call.Refusal {
	return &call.Refusal{Code: call.CodeUnavailable, Message: message, Outcome: call.NotRun{}, RetryAfter: retryAfter}
}

// Snapshot returns all known crashes and clearances, for gossip.
func (guard *Guard) Snapshot() Snapshot {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.tracker.Snapshot()
}

// Merge adds a snapshot received by gossip and reports whether anything was new.
func (guard *Guard) Merge(snapshot Snapshot) bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	defer guard.wakeWaiters()
	return guard.tracker.Merge(guard.config.Clock.Now(), snapshot)
}

// Quarantines returns the quarantined fingerprints, each with the end of
// its quarantine.
func (guard *Guard) Quarantines() map[Fingerprint]time.Time {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.tracker.Quarantines(guard.config.Clock.Now())
}

// Lift ends the quarantine of fingerprint at an operator's request.
func (guard *Guard) Lift(fingerprint Fingerprint) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	defer guard.wakeWaiters()
	guard.tracker.Lift(guard.config.Clock.Now(), fingerprint)
	event.QuarantineLifted.Log(guard.config.Logger, logrus.Fields{"fingerprint": fingerprint.String()})
}
