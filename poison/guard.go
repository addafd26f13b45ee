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

const elsewhereRetryAfter = time.Second

// GuardConfig carries what a [Guard] is built from.
type GuardConfig struct {
	Server names.BackendServer
	// Engine is what the guard stands before.
	Engine engine.Engine
	Clock  *clock.Service
	Logger logrus.FieldLogger
	Book   Config
	// ReportLag bounds how old a report is when the engine sends it.
	ReportLag time.Duration
}

// Guard is an engine that runs suspects alone, refuses what is quarantined and
// watches for crashes. All methods are safe for concurrent use.
type Guard struct {
	engine.Engine
	config GuardConfig

	// mu guards the fields below.
	mu   sync.Mutex
	book *Book
	gate *Gate
	// era counts crashes; a generation of an earlier era has left the gate.
	era int
	// boot is the engine's last known start.
	boot string
	// presumed is a crash that no report has confirmed or dismissed yet; nothing
	// runs until then.
	presumed   CrashID
	presumedAt time.Time
	// changed is closed, and made anew, when a waiting request may enter.
	changed chan struct{}
}

// NewGuard returns a guard whose book is empty.
func NewGuard(config GuardConfig) *Guard {
	book := NewBook(config.Book)
	return &Guard{
		Engine: config.Engine, config: config, book: book,
		gate: NewGate(GateConfig{Server: config.Server, Book: book}), changed: make(chan struct{}),
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
	era, err := guard.enter(ctx, fingerprint)
	if err != nil {
		return err
	}
	err = guard.Engine.Generate(ctx, generation, sink)
	guard.mu.Lock()
	defer guard.mu.Unlock()
	defer guard.wake()
	switch {
	case era != guard.era:
		// The crash took everything out of the gate.
	case ctx.Err() == nil && broke(err):
		guard.presume()
	default:
		guard.gate.Leave(guard.config.Clock.Now(), fingerprint, err == nil)
	}
	return err
}

// broke tells that the engine cut the generation off.
func broke(err error) bool {
	var (
		brokenError *engine.BrokenError
		sendError   *engine.SendError
	)
	return errors.As(err, &brokenError) || errors.As(err, &sendError) && sendError.Sent
}

// presume takes a broken stream for a crash until a report tells otherwise;
// mu is held.
func (guard *Guard) presume() {
	now := guard.config.Clock.Now()
	guard.era++
	crash := guard.gate.Crashed(now, guard.boot+"#"+strconv.Itoa(guard.era))
	guard.presumed, guard.presumedAt = crash.ID, now
	event.ServerCrashed.Log(guard.config.Logger, logrus.Fields{"boot": guard.boot, "running": len(crash.Running)})
	for _, fingerprint := range crash.Running {
		guard.logQuarantine(fingerprint)
	}
}

func (guard *Guard) logQuarantine(fingerprint Fingerprint) {
	if quarantined, is := guard.book.Judge(guard.config.Clock.Now(), fingerprint).(Quarantined); is {
		event.RequestQuarantined.Log(guard.config.Logger, logrus.Fields{
			"fingerprint": fingerprint.String(), "until": quarantined.Until,
		})
	}
}

// Observe takes a report of the engine that was asked for at askedAt. A new
// start confirms a presumed crash. A report that shows the old start, and is
// from after the crash even if it lags, dismisses it.
func (guard *Guard) Observe(askedAt time.Time, report engine.Report) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	defer guard.wake()
	pending := guard.presumed != CrashID{}
	switch {
	case report.Boot != guard.boot:
		guard.boot, guard.presumed = report.Boot, CrashID{}
	case pending && askedAt.Sub(guard.presumedAt) > guard.config.ReportLag:
		guard.book.Dismiss(guard.config.Clock.Now(), guard.presumed)
		guard.presumed = CrashID{}
	}
}

// enter waits until fingerprint may run and returns the era that it runs in.
func (guard *Guard) enter(ctx context.Context, fingerprint Fingerprint) (int, error) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	expected := false
	defer func() {
		if expected {
			guard.gate.Unexpect()
		}
	}()
	for {
		now := guard.config.Clock.Now()
		if guard.presumed != (CrashID{}) {
			return 0, refusal("the backend server may have crashed", elsewhereRetryAfter)
		}
		switch decision := guard.gate.Enter(now, fingerprint).(type) {
		case Enter:
			return guard.era, nil
		case Elsewhere:
			return 0, refusal("the request may have crashed this backend server", elsewhereRetryAfter)
		case Refuse:
			return 0, refuse(now, decision)
		case Wait:
			if decision.Suspect && !expected {
				expected = true
				guard.gate.Expect(now)
			}
		}
		if err := guard.wait(ctx); err != nil {
			return 0, err
		}
	}
}

// wait releases mu until something changed.
func (guard *Guard) wait(ctx context.Context) error {
	changed := guard.changed
	guard.mu.Unlock()
	defer guard.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return refusal("the request did not get to run alone in time", elsewhereRetryAfter)
	}
}

func (guard *Guard) wake() {
	close(guard.changed)
	guard.changed = make(chan struct{})
}

func refuse(now time.Time, decision Refuse) *call.Refusal {
	if !decision.Final {
		return refusal("the request was there when backend servers crashed", decision.Until.Sub(now))
	}
	return &call.Refusal{
		Code: call.CodeQuarantined, Outcome: call.NotRun{},
		Message: "the request crashed backend servers and is refused until " + decision.Until.UTC().Format(time.RFC3339),
	}
}

func refusal(message string, retryAfter time.Duration) *call.Refusal {
	return &call.Refusal{Code: call.CodeUnavailable, Message: message, Outcome: call.NotRun{}, RetryAfter: retryAfter}
}

// Snapshot returns what the guard's book knows, for gossip.
func (guard *Guard) Snapshot() Snapshot {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.book.Exchange()
}

// Merge takes what gossip brings and tells whether anything was new.
func (guard *Guard) Merge(snapshot Snapshot) bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	defer guard.wake()
	return guard.book.Merge(guard.config.Clock.Now(), snapshot)
}

// Quarantines returns the fingerprints under quarantine and until when.
func (guard *Guard) Quarantines() map[Fingerprint]time.Time {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.book.Quarantines(guard.config.Clock.Now())
}

// Lift ends a quarantine on an operator's word.
func (guard *Guard) Lift(fingerprint Fingerprint) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	defer guard.wake()
	guard.book.Lift(guard.config.Clock.Now(), fingerprint)
	event.QuarantineLifted.Log(guard.config.Logger, logrus.Fields{"fingerprint": fingerprint.String()})
}
