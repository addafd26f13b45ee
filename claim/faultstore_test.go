package claim

import (
	"context"
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/store"
)

// faultStore is a [store.Store] in memory. Writes can be delayed, so that they
// take effect later, also between the reads of one load.
type faultStore struct {
	store.Store
	entries  map[string]store.Entry
	revision store.Revision
	delayed  []store.Swap
	// ignoreExpected makes every swap succeed, whatever revision it expects.
	ignoreExpected bool
	// onRead runs before each read.
	onRead func()
	swaps  int
	bytes  int
}

func newFaultStore() *faultStore {
	return &faultStore{entries: map[string]store.Entry{}, onRead: func() {}}
}

func (faultStore *faultStore) Get(_ context.Context, key string) (store.Entry, bool, error) {
	faultStore.onRead()
	entry, ok := faultStore.entries[key]
	return entry, ok, nil
}

func (faultStore *faultStore) List(_ context.Context, prefix string) ([]store.Entry, error) {
	faultStore.onRead()
	var entries []store.Entry
	for key, entry := range faultStore.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

func (faultStore *faultStore) Swap(_ context.Context, swap store.Swap) (store.Revision, error) {
	faultStore.swaps++
	faultStore.bytes += len(swap.Value)
	actual := faultStore.entries[swap.Key].Revision()
	if actual != swap.Expected && !faultStore.ignoreExpected {
		return 0, &store.ConflictError{Key: swap.Key, Expected: swap.Expected, Actual: actual}
	}
	if len(swap.Value) > store.MaxValueBytes {
		return 0, &store.SizeError{Key: swap.Key, Bytes: len(swap.Value)}
	}
	faultStore.revision++
	faultStore.entries[swap.Key] = store.NewEntry(store.EntryConfig{
		Key: swap.Key, Value: swap.Value, Revision: faultStore.revision,
	})
	return faultStore.revision, nil
}

func (faultStore *faultStore) Delete(_ context.Context, key string, _ store.Revision) error {
	delete(faultStore.entries, key)
	return nil
}

// applyDelayed lets the i-th delayed write take effect.
func (faultStore *faultStore) applyDelayed(i int) {
	swap := faultStore.delayed[i]
	faultStore.delayed = append(faultStore.delayed[:i], faultStore.delayed[i+1:]...)
	_, _ = faultStore.Swap(context.Background(), swap)
}

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)
