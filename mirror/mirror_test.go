package mirror_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/mirror"
	"github.com/basilkeel/basilkeel/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errDown = errors.New("down")

// fakeService is a key-value service whose watches can stall, and whose history can
// be dropped.
type fakeService struct {
	// mutex guards all below.
	mutex     sync.Mutex
	entries   map[string]store.Entry
	log       []store.Entry
	revision  store.Revision
	dropped   store.Revision
	stalled   bool
	down      bool
	changed   chan struct{}
	snapshots int
	watches   int
}

func newFakeService() *fakeService {
	return &fakeService{entries: map[string]store.Entry{}, changed: make(chan struct{}), revision: 1}
}

func (fakeService *fakeService) put(key, value string, deleted bool) store.Revision {
	fakeService.mutex.Lock()
	defer fakeService.mutex.Unlock()
	fakeService.revision++
	entry := store.NewEntry(store.EntryConfig{Key: key, Value: []byte(value), Revision: fakeService.revision, Deleted: deleted})
	fakeService.log = append(fakeService.log, entry)
	if deleted {
		delete(fakeService.entries, key)
	} else {
		fakeService.entries[key] = entry
	}
	if !fakeService.stalled {
		close(fakeService.changed)
		fakeService.changed = make(chan struct{})
	}
	return fakeService.revision
}

func (fakeService *fakeService) set(edit func(*fakeService)) {
	fakeService.mutex.Lock()
	defer fakeService.mutex.Unlock()
	edit(fakeService)
	close(fakeService.changed)
	fakeService.changed = make(chan struct{})
}

func (fakeService *fakeService) counts() (snapshots, watches int) {
	fakeService.mutex.Lock()
	defer fakeService.mutex.Unlock()
	return fakeService.snapshots, fakeService.watches
}

// Snapshot implements [mirror.Source].
func (fakeService *fakeService) Snapshot(context.Context, string) ([]store.Entry, store.Revision, error) {
	fakeService.mutex.Lock()
	defer fakeService.mutex.Unlock()
	fakeService.snapshots++
	if fakeService.down {
		return nil, 0, errDown
	}
	var entries []store.Entry
	for _, entry := range fakeService.entries {
		entries = append(entries, entry)
	}
	return entries, fakeService.revision, nil
}

// Changes implements [mirror.Source].
func (fakeService *fakeService) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Entry, store.Revision, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for first := true; ; first = false {
		fakeService.mutex.Lock()
		if first {
			fakeService.watches++
		}
		changed, down, dropped, stalled := fakeService.changed, fakeService.down, fakeService.dropped, fakeService.stalled
		var events []store.Entry
		for _, entry := range fakeService.log {
			if entry.Revision() > after {
				events = append(events, entry)
			}
		}
		revision := fakeService.revision
		fakeService.mutex.Unlock()
		switch {
		case down:
			return nil, 0, errDown
		case after < dropped, after.Era() != revision.Era():
			return nil, 0, &store.HistoryError{Prefix: prefix, After: after}
		case len(events) > 0 && !stalled:
			return events, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timeout.C:
			return nil, after, nil
		case <-changed:
		}
	}
}

// recorder is a handler that stores the entries and counts the outages.
type recorder struct {
	// mutex guards all below.
	mutex    sync.Mutex
	values   map[string]string
	lost     int
	regained int
}

// Replaced implements [mirror.Handler].
func (recorder *recorder) Replaced(entries []store.Entry) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.values = map[string]string{}
	for _, entry := range entries {
		recorder.values[entry.Key()] = string(entry.Value())
	}
}

// Changed implements [mirror.Handler].
func (recorder *recorder) Changed(entries []store.Entry) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	for _, entry := range entries {
		if entry.Deleted() {
			delete(recorder.values, entry.Key())
		} else {
			recorder.values[entry.Key()] = string(entry.Value())
		}
	}
}

// Lost implements [mirror.Handler].
func (recorder *recorder) Lost(time.Time) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.lost++
}

// Regained implements [mirror.Handler].
func (recorder *recorder) Regained(time.Time) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.regained++
}

func (recorder *recorder) value(key string) string {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return recorder.values[key]
}

func (recorder *recorder) outages() (lost, regained int) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return recorder.lost, recorder.regained
}

// startMirror runs a mirror of service until the test ends.
func startMirror(t *testing.T, service *fakeService) (*mirror.Mirror, *recorder) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	recorded := &recorder{}
	follower := mirror.New(mirror.Config{Source: service, Handler: recorded, Clock: clock.NewService(clock.ServiceConfig{}), Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return follower, recorded
}

const waitTimeout = 5 * time.Second

func TestMirrorFollowsChanges(t *testing.T) {
	g := NewWithT(t)
	service := newFakeService()
	service.put("a", "1", false)
	_, recorder := startMirror(t, service)
	g.Eventually(func() string { return recorder.value("a") }, waitTimeout).Should(Equal("1"))
	service.put("a", "2", false)
	g.Eventually(func() string { return recorder.value("a") }, waitTimeout).Should(Equal("2"))
	service.put("a", "", true)
	g.Eventually(func() string { return recorder.value("a") }, waitTimeout).Should(BeEmpty())
}

func TestDroppedHistoryCausesAFullRead(t *testing.T) {
	g := NewWithT(t)
	service := newFakeService()
	service.put("a", "1", false)
	service.put("b", "1", false)
	_, recorder := startMirror(t, service)
	g.Eventually(func() string { return recorder.value("b") }, waitTimeout).Should(Equal("1"))
	service.set(func(service *fakeService) { service.stalled = true })
	service.put("a", "", true)
	service.put("b", "2", false)
	service.set(func(service *fakeService) { service.stalled, service.dropped = false, service.revision })
	g.Eventually(func() string { return recorder.value("b") }, waitTimeout).Should(Equal("2"))
	g.Expect(recorder.value("a")).To(BeEmpty(), "a deletion may be among the dropped changes")
}

func TestStalledWatchIsDetected(t *testing.T) {
	g := NewWithT(t)
	service := newFakeService()
	follower, recorder := startMirror(t, service)
	g.Eventually(follower.Revision, waitTimeout).Should(Equal(store.Revision(1)))
	service.set(func(service *fakeService) { service.stalled = true })
	revision := service.put("a", "1", false)
	g.Eventually(func() string {
		follower.ExpectRevision(revision)
		return recorder.value("a")
	}, 2*time.Second, 50*time.Millisecond).Should(Equal("1"), "within the two seconds in which a policy has to be in force")
}

// Guards against a watch that reports no changes and is not noticed, as a coordinator that is
// cut off from the service reports an old revision several times a second (review/6).
func TestStalledWatchIsDetectedBesideOldRevisions(t *testing.T) {
	g := NewWithT(t)
	service := newFakeService()
	follower, recorder := startMirror(t, service)
	g.Eventually(follower.Revision, waitTimeout).Should(Equal(store.Revision(1)))
	service.set(func(service *fakeService) { service.stalled = true })
	revision := service.put("a", "1", false)
	reported := 0
	g.Eventually(func() string {
		if reported%10 == 0 {
			follower.Confirm(revision)
		}
		reported++
		follower.ExpectRevision(1)
		return recorder.value("a")
	}, 2*time.Second, 50*time.Millisecond).Should(Equal("1"), "within the two seconds in which a policy has to be in force")
}

func TestOutageIsReported(t *testing.T) {
	g := NewWithT(t)
	service := newFakeService()
	follower, recorder := startMirror(t, service)
	g.Eventually(follower.Revision, waitTimeout).Should(Equal(store.Revision(1)))
	service.set(func(service *fakeService) { service.down = true })
	g.Eventually(func() int { lost, _ := recorder.outages(); return lost }, waitTimeout).Should(Equal(1))
	service.set(func(service *fakeService) { service.down = false })
	service.put("a", "1", false)
	g.Eventually(func() int { _, regained := recorder.outages(); return regained }, waitTimeout).Should(Equal(1))
	g.Eventually(func() string { return recorder.value("a") }, waitTimeout).Should(Equal("1"))
}

func TestAttachedMirrorHasNoWatch(t *testing.T) {
	g := NewWithT(t)
	service := newFakeService()
	service.put("a", "1", false)
	first, _ := startMirror(t, service)
	second, recorder := startMirror(t, service)
	g.Eventually(first.Revision, waitTimeout).Should(Equal(store.Revision(2)))
	g.Eventually(second.Revision, waitTimeout).Should(Equal(store.Revision(2)))
	forward := func() bool {
		first.Confirm(first.Revision())
		entries, to, whole, fresh := first.Since(second.Revision())
		if fresh {
			second.Apply(entries, to, whole)
		}
		return fresh
	}
	g.Expect(forward()).To(BeTrue())
	time.Sleep(100 * time.Millisecond)
	_, before := service.counts()
	revision := service.put("a", "2", false)
	g.Eventually(first.Revision, waitTimeout).Should(Equal(revision))
	g.Expect(forward()).To(BeTrue())
	g.Expect(recorder.value("a")).To(Equal("2"))
	_, after := service.counts()
	g.Expect(after-before).To(BeNumerically("<=", 1), "only the first mirror watches")
	first.ClearConfirmation()
	first.ExpectRevision(first.Revision())
	_, _, _, fresh := first.Since(second.Revision())
	g.Expect(fresh).To(BeFalse(), "an earlier revision does not show that the mirror is up to date")
	second.Detach()
	service.put("a", "3", false)
	g.Eventually(func() string { return recorder.value("a") }, waitTimeout).Should(Equal("3"), "it watches the service again")
}

func TestRevisionAheadConfirmsOnceReached(t *testing.T) {
	g := NewWithT(t)
	service := newFakeService()
	first, _ := startMirror(t, service)
	g.Eventually(first.Revision, waitTimeout).Should(Equal(store.Revision(1)))
	first.Confirm(2)
	_, _, _, fresh := first.Since(0)
	g.Expect(fresh).To(BeFalse(), "a change is missing")
	service.put("a", "1", false)
	g.Eventually(func() bool { _, _, _, fresh := first.Since(0); return fresh }, 700*time.Millisecond, 10*time.Millisecond).Should(BeTrue())
}

func TestChangesBeforeTheKeptDeletionsAreWhole(t *testing.T) {
	g := NewWithT(t)
	service := newFakeService()
	old := service.put("gone", "1", false)
	service.put("gone", "", true)
	service.put("a", "1", false)
	first, _ := startMirror(t, service)
	g.Eventually(first.Revision, waitTimeout).Should(Equal(store.Revision(4)))
	first.Confirm(4)
	entries, to, whole, fresh := first.Since(old)
	g.Expect(fresh).To(BeTrue())
	g.Expect(whole).To(BeTrue())
	g.Expect(to).To(Equal(store.Revision(4)))
	g.Expect(entries).To(HaveLen(1))
}

// TestChangesThatFollowEachOtherShareWatches guards against a call for each change
// of a registry that changes all the time. All changes arrive in a few calls.
func TestChangesThatFollowEachOtherShareWatches(t *testing.T) {
	g := NewWithT(t)
	service := newFakeService()
	service.put("first", "1", false)
	_, recorder := startMirror(t, service)
	g.Eventually(func() string { return recorder.value("first") }).Should(Equal("1"))
	began := time.Now()
	for range 200 {
		service.put("often", time.Now().String(), false)
		time.Sleep(2 * time.Millisecond)
	}
	service.put("last", "2", false)
	g.Eventually(func() string { return recorder.value("last") }).Should(Equal("2"))
	_, watches := service.counts()
	g.Expect(watches).To(BeNumerically("<=", 2+time.Since(began)/(50*time.Millisecond)))
}

// TestLargeEntriesAreNotForwarded guards against messages between processes that are too
// long because of entries that no process needs. The other mirrors then watch themselves.
func TestLargeEntriesAreNotForwarded(t *testing.T) {
	g := NewWithT(t)
	service := newFakeService()
	first, _ := startMirror(t, service)
	g.Eventually(first.Revision, waitTimeout).Should(Equal(store.Revision(1)))
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		service.put(key, strings.Repeat("x", store.MaxValueBytes), false)
	}
	g.Eventually(first.Revision, waitTimeout).Should(Equal(store.Revision(6)))
	first.Confirm(6)
	for _, after := range []store.Revision{0, 1, 2} {
		entries, _, _, fresh := first.Since(after)
		g.Expect(fresh).To(BeFalse())
		g.Expect(entries).To(BeEmpty())
	}
	entries, to, _, fresh := first.Since(5)
	g.Expect(fresh).To(BeTrue())
	g.Expect(entries).To(HaveLen(1))
	g.Expect(to).To(Equal(store.Revision(6)))
}

// lateSource delivers the answer of a watch only after another mirror's changes were applied.
type lateSource struct {
	*fakeService
	// between is called once, when a watch has an answer.
	between func()
}

// Changes implements [mirror.Source].
func (lateSource *lateSource) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Entry, store.Revision, error) {
	entries, to, err := lateSource.fakeService.Changes(ctx, prefix, after, wait)
	if err == nil && len(entries) > 0 && lateSource.between != nil {
		lateSource.between()
		lateSource.between = nil
	}
	return entries, to, err
}

// Guards against changes that are handed on in the wrong order where another mirror's newer ones
// are applied while the answer of a watch is on its way: a removed server would stay listed, a
// revoked key accepted.
func TestLateAnswerOfWatchDoesNotUndoNewerChanges(t *testing.T) {
	g := NewWithT(t)
	service := newFakeService()
	source := &lateSource{fakeService: service}
	recorder := &recorder{values: map[string]string{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	mirrored := mirror.New(mirror.Config{Source: source, Handler: recorder, Clock: clock.NewService(clock.ServiceConfig{}), Log: log})
	applied := make(chan struct{})
	source.between = func() {
		defer close(applied)
		revision := service.put("servers/a", "", true)
		removal := store.NewEntry(store.EntryConfig{Key: "servers/a", Revision: revision, Deleted: true})
		mirrored.Apply([]store.Entry{removal}, revision, false)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		mirrored.Run(ctx)
	}()
	defer func() { cancel(); <-ended }()
	g.Eventually(func() int { _, watches := service.counts(); return watches }, 5*time.Second).Should(BeNumerically(">", 0))
	service.put("servers/a", "listed", false)
	g.Eventually(applied, 5*time.Second).Should(BeClosed())
	listed := func() map[string]string {
		recorder.mutex.Lock()
		defer recorder.mutex.Unlock()
		return maps.Clone(recorder.values)
	}
	g.Consistently(listed, 200*time.Millisecond).ShouldNot(HaveKey("servers/a"))
	mirrored.Confirm(mirrored.Revision())
	entries, _, _, fresh := mirrored.Since(0)
	g.Expect(fresh).To(BeTrue())
	for _, entry := range entries {
		g.Expect(entry.Deleted()).To(BeTrue(), "what is passed on to other mirrors")
	}
}
