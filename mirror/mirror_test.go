package mirror_test

import (
	"context"
	"errors"
	"io"
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

// source is a service whose watches can be made deaf, and whose history can be
// dropped.
type source struct {
	// mutex guards all below.
	mutex     sync.Mutex
	entries   map[string]store.Entry
	log       []store.Entry
	revision  store.Revision
	dropped   store.Revision
	deaf      bool
	down      bool
	changed   chan struct{}
	snapshots int
	watches   int
}

func newSource() *source {
	return &source{entries: map[string]store.Entry{}, changed: make(chan struct{}), revision: 1}
}

func (source *source) put(key, value string, deleted bool) store.Revision {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.revision++
	entry := store.NewEntry(store.EntryConfig{Key: key, Value: []byte(value), Revision: source.revision, Deleted: deleted})
	source.log = append(source.log, entry)
	if deleted {
		delete(source.entries, key)
	} else {
		source.entries[key] = entry
	}
	if !source.deaf {
		close(source.changed)
		source.changed = make(chan struct{})
	}
	return source.revision
}

func (source *source) set(edit func(*source)) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	edit(source)
	close(source.changed)
	source.changed = make(chan struct{})
}

func (source *source) counts() (snapshots, watches int) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.snapshots, source.watches
}

// Snapshot implements [mirror.Source].
func (source *source) Snapshot(context.Context, string) ([]store.Entry, store.Revision, error) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.snapshots++
	if source.down {
		return nil, 0, errDown
	}
	var entries []store.Entry
	for _, entry := range source.entries {
		entries = append(entries, entry)
	}
	return entries, source.revision, nil
}

// Changes implements [mirror.Source].
func (source *source) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Entry, store.Revision, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for first := true; ; first = false {
		source.mutex.Lock()
		if first {
			source.watches++
		}
		changed, down, dropped, deaf := source.changed, source.down, source.dropped, source.deaf
		var events []store.Entry
		for _, entry := range source.log {
			if entry.Revision() > after {
				events = append(events, entry)
			}
		}
		revision := source.revision
		source.mutex.Unlock()
		switch {
		case down:
			return nil, 0, errDown
		case after < dropped:
			return nil, 0, &store.HistoryError{Prefix: prefix, After: after}
		case len(events) > 0 && !deaf:
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

// owner keeps what it is told.
type owner struct {
	// mutex guards all below.
	mutex    sync.Mutex
	values   map[string]string
	lost     int
	regained int
}

// Replaced implements [mirror.Handler].
func (owner *owner) Replaced(entries []store.Entry) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	owner.values = map[string]string{}
	for _, entry := range entries {
		owner.values[entry.Key()] = string(entry.Value())
	}
}

// Changed implements [mirror.Handler].
func (owner *owner) Changed(entries []store.Entry) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	for _, entry := range entries {
		if entry.Deleted() {
			delete(owner.values, entry.Key())
		} else {
			owner.values[entry.Key()] = string(entry.Value())
		}
	}
}

// Lost implements [mirror.Handler].
func (owner *owner) Lost(time.Time) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	owner.lost++
}

// Regained implements [mirror.Handler].
func (owner *owner) Regained(time.Time) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	owner.regained++
}

func (owner *owner) value(key string) string {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return owner.values[key]
}

func (owner *owner) outages() (lost, regained int) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return owner.lost, owner.regained
}

// follow runs a mirror until the test ends.
func follow(t *testing.T, service *source) (*mirror.Mirror, *owner) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	followed := &owner{}
	follower := mirror.New(mirror.Config{Source: service, Handler: followed, Clock: clock.NewService(clock.ServiceConfig{}), Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return follower, followed
}

const patience = 5 * time.Second

func TestMirrorFollowsChanges(t *testing.T) {
	g := NewWithT(t)
	service := newSource()
	service.put("a", "1", false)
	_, followed := follow(t, service)
	g.Eventually(func() string { return followed.value("a") }, patience).Should(Equal("1"))
	service.put("a", "2", false)
	g.Eventually(func() string { return followed.value("a") }, patience).Should(Equal("2"))
	service.put("a", "", true)
	g.Eventually(func() string { return followed.value("a") }, patience).Should(BeEmpty())
}

func TestDroppedHistoryIsReadAgainWhole(t *testing.T) {
	g := NewWithT(t)
	service := newSource()
	service.put("a", "1", false)
	service.put("b", "1", false)
	_, followed := follow(t, service)
	g.Eventually(func() string { return followed.value("b") }, patience).Should(Equal("1"))
	service.set(func(service *source) { service.deaf = true })
	service.put("a", "", true)
	service.put("b", "2", false)
	service.set(func(service *source) { service.deaf, service.dropped = false, service.revision })
	g.Eventually(func() string { return followed.value("b") }, patience).Should(Equal("2"))
	g.Expect(followed.value("a")).To(BeEmpty(), "a deletion may lie in the gap")
}

func TestDeafWatchIsFound(t *testing.T) {
	g := NewWithT(t)
	service := newSource()
	follower, followed := follow(t, service)
	g.Eventually(follower.Revision, patience).Should(Equal(store.Revision(1)))
	service.set(func(service *source) { service.deaf = true })
	revision := service.put("a", "1", false)
	g.Eventually(func() string {
		follower.ExpectRevision(revision)
		return followed.value("a")
	}, 2*time.Second, 50*time.Millisecond).Should(Equal("1"), "within the two seconds in which a policy has to be in force")
}

func TestOutageIsTold(t *testing.T) {
	g := NewWithT(t)
	service := newSource()
	follower, followed := follow(t, service)
	g.Eventually(follower.Revision, patience).Should(Equal(store.Revision(1)))
	service.set(func(service *source) { service.down = true })
	g.Eventually(func() int { lost, _ := followed.outages(); return lost }, patience).Should(Equal(1))
	service.set(func(service *source) { service.down = false })
	service.put("a", "1", false)
	g.Eventually(func() int { _, regained := followed.outages(); return regained }, patience).Should(Equal(1))
	g.Eventually(func() string { return followed.value("a") }, patience).Should(Equal("1"))
}

func TestFedMirrorHasNoWatch(t *testing.T) {
	g := NewWithT(t)
	service := newSource()
	service.put("a", "1", false)
	first, _ := follow(t, service)
	second, followed := follow(t, service)
	g.Eventually(first.Revision, patience).Should(Equal(store.Revision(2)))
	g.Eventually(second.Revision, patience).Should(Equal(store.Revision(2)))
	feed := func() bool {
		first.Confirm(first.Revision())
		entries, to, whole, fresh := first.Since(second.Revision())
		if fresh {
			second.Apply(entries, to, whole)
		}
		return fresh
	}
	g.Expect(feed()).To(BeTrue())
	time.Sleep(100 * time.Millisecond)
	_, before := service.counts()
	revision := service.put("a", "2", false)
	g.Eventually(first.Revision, patience).Should(Equal(revision))
	g.Expect(feed()).To(BeTrue())
	g.Expect(followed.value("a")).To(Equal("2"))
	_, after := service.counts()
	g.Expect(after-before).To(BeNumerically("<=", 1), "only the first mirror watches")
	first.ClearConfirmation()
	first.ExpectRevision(first.Revision())
	_, _, _, fresh := first.Since(second.Revision())
	g.Expect(fresh).To(BeFalse(), "a revision told earlier shows nothing of now")
	second.Detach()
	service.put("a", "3", false)
	g.Eventually(func() string { return followed.value("a") }, patience).Should(Equal("3"), "it watches by itself again")
}

func TestRevisionToldAheadConfirmsOnceReached(t *testing.T) {
	g := NewWithT(t)
	service := newSource()
	first, _ := follow(t, service)
	g.Eventually(first.Revision, patience).Should(Equal(store.Revision(1)))
	first.Confirm(2)
	_, _, _, fresh := first.Since(0)
	g.Expect(fresh).To(BeFalse(), "a change is missing")
	service.put("a", "1", false)
	g.Eventually(func() bool { _, _, _, fresh := first.Since(0); return fresh }, 700*time.Millisecond, 10*time.Millisecond).Should(BeTrue())
}

func TestFeedBeyondTheKeptDeletionsIsWhole(t *testing.T) {
	g := NewWithT(t)
	service := newSource()
	old := service.put("gone", "1", false)
	service.put("gone", "", true)
	service.put("a", "1", false)
	first, _ := follow(t, service)
	g.Eventually(first.Revision, patience).Should(Equal(store.Revision(4)))
	first.Confirm(4)
	entries, to, whole, fresh := first.Since(old)
	g.Expect(fresh).To(BeTrue())
	g.Expect(whole).To(BeTrue())
	g.Expect(to).To(Equal(store.Revision(4)))
	g.Expect(entries).To(HaveLen(1))
}

// TestChangesThatFollowEachOtherShareWatches plays a registry in which something
// changes all the time: all is told, in a few calls.
func TestChangesThatFollowEachOtherShareWatches(t *testing.T) {
	g := NewWithT(t)
	service := newSource()
	service.put("first", "1", false)
	_, followed := follow(t, service)
	g.Eventually(func() string { return followed.value("first") }).Should(Equal("1"))
	began := time.Now()
	for range 200 {
		service.put("often", time.Now().String(), false)
		time.Sleep(2 * time.Millisecond)
	}
	service.put("last", "2", false)
	g.Eventually(func() string { return followed.value("last") }).Should(Equal("2"))
	_, watches := service.counts()
	g.Expect(watches).To(BeNumerically("<=", 2+time.Since(began)/(50*time.Millisecond)))
}
