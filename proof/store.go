package proof

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/store"
)

var errInjected = errors.New("injected fault")

// Store is an in-memory [store.Store] with injected faults. Watches return at
// once with what has changed; leases never end by themselves. It is safe for
// concurrent use.
type Store struct {
	// mutex guards all fields. No other lock is taken under it.
	mutex    sync.Mutex
	entries  map[string]store.Entry
	revision store.Revision
	leases   store.LeaseID
	down     bool
	lost     int
	dropped  int
	calls    map[string]int
	before   func(operation, key string)
	changed  chan struct{}
}

var _ store.Store = (*Store)(nil)

// NewStore returns an empty store without faults.
func NewStore() *Store {
	return &Store{entries: map[string]store.Entry{}, calls: map[string]int{}, changed: make(chan struct{})}
}

// SetDown makes every call fail without effect, or ends that.
func (memory *Store) SetDown(down bool) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.down = down
	memory.wake()
}

// LoseAnswers makes the next count writes take effect and report that their
// effect is unknown.
func (memory *Store) LoseAnswers(count int) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.lost = count
}

// DropWrites makes the next count writes report that their effect is unknown
// without taking effect.
func (memory *Store) DropWrites(count int) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.dropped = count
}

// SetHook calls hook ahead of each call, outside of any lock; nil ends that.
func (memory *Store) SetHook(hook func(operation, key string)) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.before = hook
}

// Calls returns how often each operation was called.
func (memory *Store) Calls() map[string]int {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	calls := make(map[string]int, len(memory.calls))
	for operation, count := range memory.calls {
		calls[operation] = count
	}
	return calls
}

// Entries returns every entry, by key.
func (memory *Store) Entries() []store.Entry {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.under("")
}

// begin counts a call and takes the lock, or fails while the store is down.
func (memory *Store) begin(operation, key string) error {
	memory.mutex.Lock()
	hook := memory.before
	memory.mutex.Unlock()
	if hook != nil {
		hook(operation, key)
	}
	memory.mutex.Lock()
	memory.calls[operation]++
	if memory.down {
		memory.mutex.Unlock()
		return &store.UnavailableError{Operation: operation, Cause: errInjected}
	}
	return nil
}

// Get implements [store.Store].
func (memory *Store) Get(_ context.Context, key string) (store.Entry, bool, error) {
	if err := memory.begin("get", key); err != nil {
		return store.Entry{}, false, err
	}
	defer memory.mutex.Unlock()
	entry, ok := memory.entries[key]
	return entry, ok, nil
}

// List implements [store.Store].
func (memory *Store) List(_ context.Context, prefix string) ([]store.Entry, error) {
	if err := memory.begin("list", prefix); err != nil {
		return nil, err
	}
	defer memory.mutex.Unlock()
	return memory.under(prefix), nil
}

func (memory *Store) under(prefix string) []store.Entry {
	var entries []store.Entry
	for key, entry := range memory.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key() < entries[j].Key() })
	return entries
}

// Swap implements [store.Store].
func (memory *Store) Swap(_ context.Context, swap store.Swap) (store.Revision, error) {
	if err := memory.begin("swap", swap.Key); err != nil {
		return 0, err
	}
	defer memory.mutex.Unlock()
	if len(swap.Value) > store.MaxValueBytes {
		return 0, &store.SizeError{Key: swap.Key, Bytes: len(swap.Value)}
	}
	if memory.dropped > 0 {
		memory.dropped--
		return 0, &store.UnknownError{Operation: "swap", Cause: errInjected}
	}
	if actual := memory.entries[swap.Key].Revision(); actual != swap.Expected {
		return 0, &store.ConflictError{Key: swap.Key, Expected: swap.Expected, Actual: actual}
	}
	memory.revision++
	memory.entries[swap.Key] = store.NewEntry(store.EntryConfig{Key: swap.Key, Value: swap.Value, Revision: memory.revision})
	memory.wake()
	if memory.lost > 0 {
		memory.lost--
		return 0, &store.UnknownError{Operation: "swap", Cause: errInjected}
	}
	return memory.revision, nil
}

// wake lets waiting watches look again. The caller holds the lock.
func (memory *Store) wake() {
	close(memory.changed)
	memory.changed = make(chan struct{})
}

// Delete implements [store.Store].
func (memory *Store) Delete(_ context.Context, key string, expected store.Revision) error {
	if err := memory.begin("delete", key); err != nil {
		return err
	}
	defer memory.mutex.Unlock()
	if actual := memory.entries[key].Revision(); actual != expected {
		return &store.ConflictError{Key: key, Expected: expected, Actual: actual}
	}
	memory.revision++
	delete(memory.entries, key)
	return nil
}

// Watch implements [store.Store].
func (memory *Store) Watch(ctx context.Context, prefix string, after store.Revision) ([]store.Entry, store.Revision, error) {
	for {
		if err := memory.begin("watch", prefix); err != nil {
			return nil, 0, err
		}
		var news []store.Entry
		for _, entry := range memory.under(prefix) {
			if entry.Revision() > after {
				news = append(news, entry)
			}
		}
		revision, changed := memory.revision, memory.changed
		memory.mutex.Unlock()
		if len(news) > 0 {
			return news, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, &store.UnavailableError{Operation: "watch", Cause: ctx.Err()}
		case <-changed:
		}
	}
}

// Grant implements [store.Store].
func (memory *Store) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	if err := memory.begin("grant", ""); err != nil {
		return 0, err
	}
	defer memory.mutex.Unlock()
	memory.leases++
	return memory.leases, nil
}

// Renew implements [store.Store].
func (memory *Store) Renew(context.Context, store.LeaseID) error {
	if err := memory.begin("renew", ""); err != nil {
		return err
	}
	memory.mutex.Unlock()
	return nil
}

// Revoke implements [store.Store].
func (memory *Store) Revoke(context.Context, store.LeaseID) error {
	if err := memory.begin("revoke", ""); err != nil {
		return err
	}
	memory.mutex.Unlock()
	return nil
}
