package mirror

import (
	"cmp"
	"context"
	"errors"
	"slices"
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
	lastPause  = 250 * time.Millisecond
	// freshFor is how long after the service confirmed it a mirror counts as up to
	// date: a look of the coordinator each half second, and its answer.
	freshFor = 800 * time.Millisecond
	// feedLifetime is how long after another mirror's last changes a watch is taken
	// up again, and feedPoll the time between looks at that.
	feedLifetime = 700 * time.Millisecond
	feedPoll     = 50 * time.Millisecond
	// watchSpacing is the least time between two watches: each that returns with a
	// change costs a call, and hundreds of servers change something at any time.
	watchSpacing = 60 * time.Millisecond
	// deafAfter is how long a watch may lag behind the service; it answers within
	// milliseconds, and within a quarter of a second when slow.
	deafAfter = 350*time.Millisecond + watchSpacing
	// leastChanges is how many changes out of date are kept at least, so that they are
	// not sorted out each time.
	leastChanges = 256
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

// Handler is told what a mirror sees. Calls do not overlap.
type Handler interface {
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
	Source  Source
	Prefix  string
	Handler Handler
	Clock   *clock.Service
	Log     logrus.FieldLogger
}

// Mirror follows one prefix.
type Mirror struct {
	config Config
	lost   bool
	pause  time.Duration
	// watched is when the last watch began; only Run uses it.
	watched time.Time
	// owning serialises calls of the owner.
	owning sync.Mutex
	// mutex guards all below.
	mutex    sync.Mutex
	loaded   bool
	revision store.Revision
	// behind is when a revision was first seen that this mirror has not reached.
	behind time.Time
	// interrupt ends the watch that is under way.
	interrupt context.CancelFunc
	deaf      bool
	// latest holds the last change of each key, deletions too; what was deleted up
	// to horizon may be missing.
	latest  map[string]store.Entry
	horizon store.Revision
	// changes are in the order of their revisions; those that are not in latest are out
	// of date.
	changes []store.Entry
	// fedUntil is until when another mirror's changes are taken instead of a watch.
	fedUntil time.Time
	// confirmed is when the service last showed that this mirror is up to date.
	confirmed time.Time
	// toldRevision is what the service told last, at toldAt.
	toldRevision store.Revision
	toldAt       time.Time
}

// New returns a mirror that has read nothing.
func New(config Config) *Mirror {
	return &Mirror{config: config, pause: firstPause, latest: map[string]store.Entry{}}
}

// Since returns the changes after a revision and the revision that they lead to;
// whole tells that they are all entries instead. It returns false where the
// service has not confirmed lately that this mirror is up to date.
func (mirror *Mirror) Since(after store.Revision) (entries []store.Entry, to store.Revision, whole, fresh bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.config.Clock.Now().Sub(mirror.confirmed) > freshFor {
		return nil, 0, false, false
	}
	whole = after < mirror.horizon
	for _, entry := range slices.Backward(mirror.changes) {
		if !whole && entry.Revision() <= after {
			break
		}
		if mirror.current(entry) && (entry.Revision() > after || !entry.Deleted()) {
			entries = append(entries, entry)
		}
	}
	slices.Reverse(entries)
	return entries, mirror.revision, whole, true
}

// Apply takes another mirror's changes after this one's revision, and has no watch
// of its own while more come.
func (mirror *Mirror) Apply(entries []store.Entry, to store.Revision, whole bool) {
	mirror.mutex.Lock()
	if !mirror.loaded || to < mirror.revision {
		mirror.mutex.Unlock()
		return
	}
	mirror.fedUntil = mirror.config.Clock.Now().Add(feedLifetime)
	if mirror.interrupt != nil {
		mirror.interrupt()
	}
	fresh := entries[:0:0]
	for _, entry := range entries {
		if whole || entry.Revision() > mirror.revision {
			fresh = append(fresh, entry)
		}
	}
	mirror.keep(fresh, to, whole)
	mirror.mutex.Unlock()
	mirror.owning.Lock()
	defer mirror.owning.Unlock()
	switch {
	case whole:
		mirror.config.Handler.Replaced(live(fresh))
	case len(fresh) > 0:
		mirror.config.Handler.Changed(fresh)
	}
}

// Detach has this mirror watch by itself: the other one may be out of date.
func (mirror *Mirror) Detach() {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.fedUntil = time.Time{}
}

// ClearConfirmation tells that the service did not answer, so that this mirror may be out of
// date.
func (mirror *Mirror) ClearConfirmation() {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.confirmed, mirror.toldAt = time.Time{}, time.Time{}
}

func live(entries []store.Entry) []store.Entry {
	return slices.DeleteFunc(slices.Clone(entries), store.Entry.Deleted)
}

// keep notes changes up to a revision. It is called with the mutex held.
func (mirror *Mirror) keep(entries []store.Entry, to store.Revision, whole bool) {
	if whole {
		mirror.latest, mirror.changes, mirror.horizon = map[string]store.Entry{}, nil, to
	}
	added := len(mirror.changes)
	for _, entry := range entries {
		mirror.latest[entry.Key()] = entry
		mirror.changes = append(mirror.changes, entry)
	}
	slices.SortStableFunc(mirror.changes[added:], func(a, b store.Entry) int { return cmp.Compare(a.Revision(), b.Revision()) })
	if len(mirror.changes) > 2*len(mirror.latest)+leastChanges {
		mirror.changes = slices.DeleteFunc(mirror.changes, func(entry store.Entry) bool { return !mirror.current(entry) })
	}
	mirror.revision = max(mirror.revision, to)
	mirror.confirm()
}

// current tells whether a change is the last one of its key. It is called with the
// mutex held.
func (mirror *Mirror) current(entry store.Entry) bool {
	return mirror.latest[entry.Key()].Revision() == entry.Revision()
}

// fed tells whether another mirror's changes come in.
func (mirror *Mirror) fed() bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.loaded && mirror.config.Clock.Now().Before(mirror.fedUntil)
}

// Revision returns the revision up to which changes are known.
func (mirror *Mirror) Revision() store.Revision {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.revision
}

// ExpectRevision tells the mirror a revision of the service that is known from elsewhere.
// A mirror of all keys that does not reach it in time has a watch that no longer
// hears of changes, and reads everything again.
func (mirror *Mirror) ExpectRevision(revision store.Revision) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.verify(revision)
}

// Confirm is [Mirror.ExpectRevision] with a revision that the service told just now.
func (mirror *Mirror) Confirm(revision store.Revision) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.verify(revision)
	mirror.toldRevision, mirror.toldAt = revision, mirror.config.Clock.Now()
	mirror.confirm()
}

// confirm notes when the service last told a revision that this mirror has
// reached. It is called with the mutex held.
func (mirror *Mirror) confirm() {
	if mirror.toldRevision <= mirror.revision && mirror.toldAt.After(mirror.confirmed) {
		mirror.confirmed = mirror.toldAt
	}
}

// verify is called with the mutex held.
func (mirror *Mirror) verify(revision store.Revision) {
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
		if mirror.fed() {
			mirror.regain()
			select {
			case <-ctx.Done():
			case <-mirror.config.Clock.After(feedPoll):
			}
			continue
		}
		err := mirror.step(ctx)
		if err == nil {
			mirror.regain()
			continue
		}
		var historyError *store.HistoryError
		if errors.As(err, &historyError) {
			mirror.reload()
			event.MirrorReset.Log(mirror.config.Log, logrus.Fields{"prefix": mirror.config.Prefix, "cause": err.Error()})
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if mirror.fed() {
			continue
		}
		if mirror.wasDeaf() {
			mirror.reload()
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
	if !mirror.isLoaded() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		entries, revision, err := mirror.config.Source.Snapshot(callCtx, mirror.config.Prefix)
		if err != nil {
			return err
		}
		mirror.mutex.Lock()
		mirror.loaded = true
		mirror.keep(entries, revision, true)
		mirror.mutex.Unlock()
		mirror.owning.Lock()
		defer mirror.owning.Unlock()
		mirror.config.Handler.Replaced(entries)
		return nil
	}
	if rest := watchSpacing - mirror.config.Clock.Now().Sub(mirror.watched); rest > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-mirror.config.Clock.After(rest):
		}
	}
	mirror.watched = mirror.config.Clock.Now()
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
	mirror.mutex.Lock()
	mirror.interrupt = nil
	mirror.keep(entries, revision, false)
	mirror.mutex.Unlock()
	mirror.owning.Lock()
	defer mirror.owning.Unlock()
	if len(entries) > 0 {
		mirror.config.Handler.Changed(entries)
	}
	return nil
}

func (mirror *Mirror) isLoaded() bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.loaded
}

// reload has everything read again.
func (mirror *Mirror) reload() {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.loaded = false
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
	mirror.config.Handler.Lost(mirror.config.Clock.Now())
}

func (mirror *Mirror) regain() {
	mirror.pause = firstPause
	if !mirror.lost {
		return
	}
	mirror.lost = false
	event.StoreRegained.Log(mirror.config.Log, logrus.Fields{"prefix": mirror.config.Prefix, "revision": int64(mirror.Revision())})
	mirror.config.Handler.Regained(mirror.config.Clock.Now())
}
