package quota

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"

	"github.com/basilkeel/basilkeel/store"
)

var errDown = errors.New("down")

// fakeStore is an in-memory platform's service with the calls that this package
// uses.
type fakeStore struct {
	store.Store
	mu       sync.Mutex
	entries  map[string]store.Entry
	revision store.Revision
	down     bool
	// loseAnswers makes writes take effect but return an unknown outcome.
	loseAnswers bool
	reads       int
	writes      int
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]store.Entry{}} }

func (fakeStore *fakeStore) set(down, loseAnswers bool) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.down, fakeStore.loseAnswers = down, loseAnswers
}

func (fakeStore *fakeStore) calls() (reads, writes int) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	return fakeStore.reads, fakeStore.writes
}

func (fakeStore *fakeStore) Get(_ context.Context, key string) (store.Entry, bool, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.reads++
	if fakeStore.down {
		return store.Entry{}, false, &store.UnavailableError{Operation: "get", Cause: errDown}
	}
	entry, ok := fakeStore.entries[key]
	return entry, ok, nil
}

func (fakeStore *fakeStore) List(_ context.Context, prefix string) ([]store.Entry, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.reads++
	if fakeStore.down {
		return nil, &store.UnavailableError{Operation: "list", Cause: errDown}
	}
	var entries []store.Entry
	for key, entry := range fakeStore.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key() < entries[j].Key() })
	return entries, nil
}

func (fakeStore *fakeStore) Swap(_ context.Context, swap store.Swap) (store.Revision, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.writes++
	if fakeStore.down {
		return 0, &store.UnavailableError{Operation: "swap", Cause: errDown}
	}
	if actual := fakeStore.entries[swap.Key].Revision(); actual != swap.Expected {
		return 0, &store.ConflictError{Key: swap.Key, Expected: swap.Expected, Actual: actual}
	}
	fakeStore.revision++
	fakeStore.entries[swap.Key] = store.NewEntry(store.EntryConfig{Key: swap.Key, Value: swap.Value, Revision: fakeStore.revision})
	if fakeStore.loseAnswers {
		return 0, &store.UnknownError{Operation: "swap", Cause: errDown}
	}
	return fakeStore.revision, nil
}
