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
	// callTimeout bounds one read. The service answers within milliseconds, and
	// within a quarter of a second when slow.
	callTimeout = 2 * time.Second
	// watchWait is how long the service may delay the answer of a watch without
	// changes. Long waits cost fewer calls; lost connections are detected by
	// keep-alive probes.
	watchWait = 20 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay before a failed call is
	// retried. The registry has to be up to date within two seconds of the end of an
	// outage.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	// freshness is how long a mirror counts as up to date after the service has
	// confirmed it. The coordinator asks the service each half second; the rest is
	// for the answer.
	freshness = 800 * time.Millisecond
	// attachTimeout is how long after the last changes from another mirror a mirror
	// watches again, and attachPollPeriod is how often it checks.
	attachTimeout    = 700 * time.Millisecond
	attachPollPeriod = 50 * time.Millisecond
	// watchSpacing is the minimum time between two watches. Each watch that returns
	// with changes costs a call, and hundreds of servers write changes all the time.
	watchSpacing = 60 * time.Millisecond
	// watchLagLimit is how long a watch may lag behind the service, which answers
	// within milliseconds, and within a quarter of a second when slow.
	watchLagLimit = 350*time.Millisecond + watchSpacing
	// minChangesKept is the least number of obsolete changes that are kept before they
	// are removed, so that they are not removed at each change.
	minChangesKept = 256
	// maxSinceBytes bounds the entries that are passed to another mirror at a time. A
	// message to another process may have four megabytes.
	maxSinceBytes = 2 << 20
	// maxKeptSince bounds the results of Since that are kept. Hundreds of mirrors ask for the
	// changes since one of the few revisions that this one had lately.
	maxKeptSince = 32
)

// Source reads from the key-value service.
type Source interface {
	// Snapshot returns the entries under prefix and a revision. Changes after that
	// revision may be missing from the entries.
	Snapshot(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error)
	// Changes waits up to wait for changes under prefix after a revision, and returns
	// them with the revision to continue from. It fails with a *[store.HistoryError]
	// if the service has dropped changes.
	Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Entry, store.Revision, error)
}

// Handler receives what a mirror reads. Calls of Replaced and Changed do not
// overlap.
type Handler interface {
	// Replaced is called with all entries. Those that are missing no longer exist.
	Replaced(entries []store.Entry)
	// Changed is called with entries that were written or deleted.
	Changed(entries []store.Entry)
	// Lost is called when the service stops answering, at since.
	Lost(since time.Time)
	// Regained is called when the service answers again.
	Regained(at time.Time)
}

// Config configures a [Mirror].
type Config struct {
	Source  Source
	Prefix  string
	Handler Handler
	Clock   *clock.Service
	Log     logrus.FieldLogger
}

// Mirror is a local copy of the entries under one prefix. Except for Run, which is
// called once, it is safe for concurrent use.
type Mirror struct {
	config Config
	// Only Run uses unavailable, retryDelay, lastWatch, the time when the last watch
	// began, and lastReset, the time when everything was last to be read again.
	unavailable bool
	retryDelay  time.Duration
	lastWatch   time.Time
	lastReset   time.Time
	// handling serializes the calls of the handler that pass entries, in the order in which these
	// are recorded. It is taken before mutex.
	handling sync.Mutex
	// mutex guards all below.
	mutex    sync.Mutex
	loaded   bool
	revision store.Revision
	// awaited is a reported revision that this mirror has not reached, and behindSince when it
	// was reported; both are zero if there is none.
	awaited     store.Revision
	behindSince time.Time
	// interrupt cancels the current watch.
	interrupt context.CancelFunc
	// watchStalled is set when a watch was cancelled because it reported no changes.
	watchStalled bool
	// latest holds the last change of each key, including deletions. Deletions up to
	// the revision deletionsAfter may be missing.
	latest         map[string]store.Entry
	deletionsAfter store.Revision
	// changes holds changes in the order of their revisions. Those that are not in
	// latest are obsolete.
	changes []store.Entry
	// kept holds results of Since by their revision until there are other changes.
	kept map[store.Revision]sinceResult
	// attachedUntil is until when this mirror relies on the changes of another mirror
	// instead of a watch.
	attachedUntil time.Time
	// confirmed is when the service last confirmed that this mirror is up to date.
	confirmed time.Time
	// serviceRevision is the revision that the service reported last, at
	// serviceRevisionAt.
	serviceRevision   store.Revision
	serviceRevisionAt time.Time
}

// sinceResult are the changes after a revision. Fits reports whether they are no longer than
// maxSinceBytes.
type sinceResult struct {
	entries []store.Entry
	whole   bool
	fits    bool
}

// New returns a mirror that has read nothing.
func New(config Config) *Mirror {
	return &Mirror{config: config, retryDelay: minRetryDelay, latest: map[string]store.Entry{}, kept: map[store.Revision]sinceResult{}}
}

// Since returns the changes after a revision and the revision that they lead to. If
// whole is set, it returns all entries instead. It reports whether the mirror is
// fresh: if the service has not confirmed lately that the mirror is up to date, or the
// changes are longer than maxSinceBytes, Since returns no changes. Callers must not change
// the entries.
func (mirror *Mirror) Since(after store.Revision) (entries []store.Entry, to store.Revision, whole, fresh bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.config.Clock.Now().Sub(mirror.confirmed) > freshness {
		return nil, 0, false, false
	}
	result, found := mirror.kept[after]
	if !found {
		result = mirror.changesSince(after)
		if len(mirror.kept) < maxKeptSince {
			mirror.kept[after] = result
		}
	}
	if !result.fits {
		return nil, 0, false, false
	}
	return result.entries, mirror.revision, result.whole, true
}

// changesSince returns the changes after a revision. It is called with the mutex held.
func (mirror *Mirror) changesSince(after store.Revision) sinceResult {
	result := sinceResult{whole: after < mirror.deletionsAfter}
	bytes := 0
	for _, entry := range slices.Backward(mirror.changes) {
		if !result.whole && entry.Revision() <= after {
			break
		}
		if mirror.isLatest(entry) && (entry.Revision() > after || !entry.Deleted()) {
			result.entries = append(result.entries, entry)
			bytes += len(entry.Key()) + len(entry.Value())
		}
	}
	if bytes > maxSinceBytes {
		return sinceResult{}
	}
	slices.Reverse(result.entries)
	result.entries, result.fits = slices.Clip(result.entries), true
	return result
}

// Apply applies changes of another mirror after this mirror's revision. The mirror
// does not watch the service until attachTimeout after the last call.
func (mirror *Mirror) Apply(entries []store.Entry, to store.Revision, whole bool) {
	mirror.handling.Lock()
	defer mirror.handling.Unlock()
	mirror.mutex.Lock()
	if !mirror.loaded || to < mirror.revision {
		mirror.mutex.Unlock()
		return
	}
	mirror.attachedUntil = mirror.config.Clock.Now().Add(attachTimeout)
	if mirror.interrupt != nil {
		mirror.interrupt()
	}
	fresh := entries
	if !whole {
		fresh = mirror.newer(entries)
	}
	mirror.record(fresh, to, whole)
	mirror.mutex.Unlock()
	switch {
	case whole:
		mirror.config.Handler.Replaced(withoutDeleted(fresh))
	case len(fresh) > 0:
		mirror.config.Handler.Changed(fresh)
	}
}

// newer returns the entries that the mirror has not reached yet. It is called with the mutex held.
func (mirror *Mirror) newer(entries []store.Entry) []store.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(entry store.Entry) bool { return entry.Revision() <= mirror.revision })
}

// Detach makes this mirror watch the service again, as the other mirror may be out
// of date.
func (mirror *Mirror) Detach() {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.attachedUntil = time.Time{}
}

// ClearConfirmation marks this mirror as possibly out of date, because the service
// did not answer.
func (mirror *Mirror) ClearConfirmation() {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.confirmed, mirror.serviceRevisionAt = time.Time{}, time.Time{}
}

// withoutDeleted returns the entries that are not deletions.
func withoutDeleted(entries []store.Entry) []store.Entry {
	return slices.DeleteFunc(slices.Clone(entries), store.Entry.Deleted)
}

// record stores changes up to a revision, or all entries if whole is set. It is
// called with the mutex held.
func (mirror *Mirror) record(entries []store.Entry, to store.Revision, whole bool) {
	if whole {
		mirror.latest, mirror.changes, mirror.deletionsAfter = map[string]store.Entry{}, nil, to
	}
	clear(mirror.kept)
	added := len(mirror.changes)
	for _, entry := range entries {
		mirror.latest[entry.Key()] = entry
		mirror.changes = append(mirror.changes, entry)
	}
	slices.SortStableFunc(mirror.changes[added:], func(a, b store.Entry) int { return cmp.Compare(a.Revision(), b.Revision()) })
	if len(mirror.changes) > 2*len(mirror.latest)+minChangesKept {
		mirror.changes = slices.DeleteFunc(mirror.changes, func(entry store.Entry) bool { return !mirror.isLatest(entry) })
	}
	mirror.revision = max(mirror.revision, to)
	mirror.confirm()
}

// isLatest reports whether a change is the last one of its key. It is called with
// the mutex held.
func (mirror *Mirror) isLatest(entry store.Entry) bool {
	return mirror.latest[entry.Key()].Revision() == entry.Revision()
}

// attached reports whether this mirror relies on the changes of another mirror.
func (mirror *Mirror) attached() bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.loaded && mirror.config.Clock.Now().Before(mirror.attachedUntil)
}

// Revision returns the revision that this mirror has reached.
func (mirror *Mirror) Revision() store.Revision {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.revision
}

// ExpectRevision reports a revision that the service has reached, as known from
// another source. If a mirror of all keys does not reach it within watchLagLimit,
// its watch no longer reports changes, and the mirror reads everything again.
func (mirror *Mirror) ExpectRevision(revision store.Revision) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.expectRevision(revision)
}

// Confirm is [Mirror.ExpectRevision] with a revision that the service has just
// reported.
func (mirror *Mirror) Confirm(revision store.Revision) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.expectRevision(revision)
	mirror.serviceRevision, mirror.serviceRevisionAt = revision, mirror.config.Clock.Now()
	mirror.confirm()
}

// confirm updates confirmed if this mirror has reached the revision that the
// service reported last. It is called with the mutex held.
func (mirror *Mirror) confirm() {
	if mirror.serviceRevision <= mirror.revision && mirror.serviceRevisionAt.After(mirror.confirmed) {
		mirror.confirmed = mirror.serviceRevisionAt
	}
}

// expectRevision cancels a watch that lags too far behind a reported revision. A lower one
// that is reported later does not show that the mirror is up to date, as who reports it may be
// behind as well. It is called with the mutex held.
func (mirror *Mirror) expectRevision(revision store.Revision) {
	now := mirror.config.Clock.Now()
	if mirror.awaited <= mirror.revision {
		mirror.awaited, mirror.behindSince = 0, time.Time{}
	}
	switch {
	case mirror.awaited == 0 && revision > mirror.revision:
		mirror.awaited, mirror.behindSince = revision, now
	case mirror.awaited > 0 && now.Sub(mirror.behindSince) > watchLagLimit && mirror.interrupt != nil:
		mirror.watchStalled, mirror.awaited, mirror.behindSince = true, 0, time.Time{}
		mirror.interrupt()
	}
}

// Run follows the prefix until ctx ends.
func (mirror *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if mirror.attached() {
			mirror.markAvailable()
			select {
			case <-ctx.Done():
			case <-mirror.config.Clock.After(attachPollPeriod):
			}
			continue
		}
		err := mirror.step(ctx)
		if err == nil {
			mirror.markAvailable()
			continue
		}
		var historyError *store.HistoryError
		if errors.As(err, &historyError) {
			mirror.reload()
			event.MirrorReset.Log(mirror.config.Log, logrus.Fields{"prefix": mirror.config.Prefix, "cause": err.Error()})
			mirror.spaceResets(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if mirror.attached() {
			continue
		}
		if mirror.takeWatchStalled() {
			mirror.reload()
			event.MirrorReset.Log(mirror.config.Log, logrus.Fields{"prefix": mirror.config.Prefix, "cause": "the watch does not report changes"})
			continue
		}
		mirror.markUnavailable(err)
		select {
		case <-ctx.Done():
		case <-mirror.config.Clock.After(mirror.retryDelay):
		}
		mirror.retryDelay = min(2*mirror.retryDelay, maxRetryDelay)
	}
}

// step reads all entries if they are not loaded, else waits for changes once.
func (mirror *Mirror) step(ctx context.Context) error {
	if !mirror.isLoaded() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		entries, revision, err := mirror.config.Source.Snapshot(callCtx, mirror.config.Prefix)
		if err != nil {
			return err
		}
		mirror.handling.Lock()
		defer mirror.handling.Unlock()
		mirror.mutex.Lock()
		mirror.loaded = true
		mirror.record(entries, revision, true)
		mirror.mutex.Unlock()
		mirror.config.Handler.Replaced(entries)
		return nil
	}
	if rest := watchSpacing - mirror.config.Clock.Now().Sub(mirror.lastWatch); rest > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-mirror.config.Clock.After(rest):
		}
	}
	mirror.lastWatch = mirror.config.Clock.Now()
	wait := watchWait
	if mirror.unavailable {
		// The first watch after an outage is short, so that its end is noticed soon.
		wait = maxRetryDelay
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
	mirror.handling.Lock()
	defer mirror.handling.Unlock()
	mirror.mutex.Lock()
	mirror.interrupt = nil
	// Another mirror's changes may have been applied while the answer was on its way.
	fresh := mirror.newer(entries)
	mirror.record(fresh, revision, false)
	mirror.mutex.Unlock()
	if len(fresh) > 0 {
		mirror.config.Handler.Changed(fresh)
	}
	return nil
}

func (mirror *Mirror) isLoaded() bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.loaded
}

// reload makes the next step read all entries.
func (mirror *Mirror) reload() {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.loaded = false
}

// spaceResets waits until maxRetryDelay after the last call, as it costs the service much to
// read everything.
func (mirror *Mirror) spaceResets(ctx context.Context) {
	rest := maxRetryDelay - mirror.config.Clock.Now().Sub(mirror.lastReset)
	if rest > 0 {
		select {
		case <-ctx.Done():
		case <-mirror.config.Clock.After(rest):
		}
	}
	mirror.lastReset = mirror.config.Clock.Now()
}

// takeWatchStalled returns watchStalled and resets it.
func (mirror *Mirror) takeWatchStalled() bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	stalled := mirror.watchStalled
	mirror.watchStalled = false
	return stalled
}

// markUnavailable reports the start of an outage.
func (mirror *Mirror) markUnavailable(cause error) {
	if mirror.unavailable {
		return
	}
	mirror.unavailable = true
	event.StoreLost.Log(mirror.config.Log, logrus.Fields{"prefix": mirror.config.Prefix, "cause": cause.Error()})
	mirror.config.Handler.Lost(mirror.config.Clock.Now())
}

// markAvailable resets the retry delay and reports the end of an outage.
func (mirror *Mirror) markAvailable() {
	mirror.retryDelay = minRetryDelay
	if !mirror.unavailable {
		return
	}
	mirror.unavailable = false
	event.StoreRegained.Log(mirror.config.Log, logrus.Fields{"prefix": mirror.config.Prefix, "revision": mirror.Revision().String()})
	mirror.config.Handler.Regained(mirror.config.Clock.Now())
}
