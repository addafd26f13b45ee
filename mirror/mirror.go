package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/store"
)

const (
	// callTimeout bounds one read; the service answers within milliseconds, and
	// within a quarter of a second when slow.
	callTimeout = 2 * time.Second
	// watchWait is how long the service may hold a watch without changes. Longer
	// waits cost fewer calls; lost connections are found by keep-alive probes.
	watchWait = 20 * time.Second
	// firstPause and lastPause bound the wait before a failed call is repeated.
	// The registry has to be current within two seconds of an outage's end.
	firstPause = 50 * time.Millisecond
	lastPause  = 500 * time.Millisecond
	// deafAfter is how long a watch may lag behind the service; it answers within
	// milliseconds, and within a quarter of a second when slow.
	deafAfter = 350 * time.Millisecond
)

// Source is what a mirror reads from.
type Source interface {
	// Snapshot returns the entries under prefix and a revision; changes after
	// it may be missing from the entries.
	Snapshot(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error)
	// Changes waits up to wait for changes under prefix after a revision, and
	// returns them with the revision to go on from. It fails with a
	// *[store.HistoryError] where changes have been dropped.
	Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Entry, store.Revision, error)
}

// Owner is told what a mirror sees. Calls come from one goroutine.
type Owner interface {
	// Replaced gives the whole content: entries that are not in it are gone.
	Replaced(entries []store.Entry)
	// Changed gives entries as they were written or deleted.
	Changed(entries []store.Entry)
	// Lost tells that the service does not answer since a time.
	Lost(since time.Time)
	// Regained tells that the service answers again.
	Regained(at time.Time)
}

// Config carries what a [Mirror] is built from.
type Config struct {
	Source Source
	Prefix string
	Owner  Owner
	Clock  *clock.Service
	Log    logrus.FieldLogger
}

// Mirror follows one prefix.
type Mirror struct {
	config Config
	loaded bool
	lost   bool
	pause  time.Duration
	// mutex guards all below.
	mutex    sync.Mutex
	revision store.Revision
	// behind is when a revision was first seen that this mirror has not reached.
	behind time.Time
	// interrupt ends the watch that is under way.
	interrupt context.CancelFunc
	deaf      bool
}

// New returns a mirror that has read nothing.
func New(config Config) *Mirror { return &Mirror{config: config, pause: firstPause} }

// Revision returns the revision up to which changes are known.
func (mirror *Mirror) Revision() store.Revision {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.revision
}

// Verify tells the mirror a revision of the service that is known from elsewhere.
// A mirror of all keys that does not reach it in time has a watch that no longer
// hears of changes, and reads everything again.
func (mirror *Mirror) Verify(revision store.Revision) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	now := mirror.config.Clock.Now()
	switch {
	case revision <= mirror.revision:
		mirror.behind = time.Time{}
	case mirror.behind.IsZero():
		mirror.behind = now
	case now.Sub(mirror.behind) > deafAfter && mirror.interrupt != nil:
		mirror.deaf, mirror.behind = true, time.Time{}
		mirror.interrupt()
	}
}

// Run follows the prefix until ctx ends.
func (mirror *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := mirror.step(ctx)
		if err == nil {
			mirror.regain()
			continue
		}
		var historyError *store.HistoryError
		if errors.As(err, &historyError) {
			mirror.loaded = false
			event.MirrorReset.Log(mirror.config.Log, logrus.Fields{"prefix": mirror.config.Prefix, "cause": err.Error()})
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if mirror.wasDeaf() {
			mirror.loaded = false
			event.MirrorReset.Log(mirror.config.Log, logrus.Fields{"prefix": mirror.config.Prefix, "cause": "the watch does not tell of changes"})
			continue
		}
		mirror.lose(err)
		select {
		case <-ctx.Done():
		case <-mirror.config.Clock.After(mirror.pause):
		}
		mirror.pause = min(2*mirror.pause, lastPause)
	}
}

func (mirror *Mirror) step(ctx context.Context) error {
	if !mirror.loaded {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		entries, revision, err := mirror.config.Source.Snapshot(callCtx, mirror.config.Prefix)
		if err != nil {
			return err
		}
		mirror.loaded = true
		mirror.reach(revision)
		mirror.config.Owner.Replaced(entries)
		return nil
	}
	wait := watchWait
	if mirror.lost {
		// The first watch after an outage is short, so that its end is seen.
		wait = lastPause
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	mirror.mutex.Lock()
	mirror.interrupt = cancel
	after := mirror.revision
	mirror.mutex.Unlock()
	entries, revision, err := mirror.config.Source.Changes(callCtx, mirror.config.Prefix, after, wait)
	if err != nil {
		return err
	}
	mirror.reach(revision)
	if len(entries) > 0 {
		mirror.config.Owner.Changed(entries)
	}
	return nil
}

// reach notes that changes up to revision are known.
func (mirror *Mirror) reach(revision store.Revision) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.revision = max(mirror.revision, revision)
}

func (mirror *Mirror) wasDeaf() bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	deaf := mirror.deaf
	mirror.deaf = false
	return deaf
}

func (mirror *Mirror) lose(cause error) {
	if mirror.lost {
		return
	}
	mirror.lost = true
	event.StoreLost.Log(mirror.config.Log, logrus.Fields{"prefix": mirror.config.Prefix, "cause": cause.Error()})
	mirror.config.Owner.Lost(mirror.config.Clock.Now())
}

func (mirror *Mirror) regain() {
	mirror.pause = firstPause
	if !mirror.lost {
		return
	}
	mirror.lost = false
	event.StoreRegained.Log(mirror.config.Log, logrus.Fields{"prefix": mirror.config.Prefix, "revision": int64(mirror.Revision())})
	mirror.config.Owner.Regained(mirror.config.Clock.Now())
}
