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

// Store is an in-memory [store.Store] with injected faults. Watches return as
// soon as an entry has been written; they don't report deletions. Leases
// never expire, and no entry is bound to one. It is safe for concurrent use.
type Store struct {
	// mutex guards all fields. No other lock is acquired while it is held.
	mutex         sync.Mutex
	entries       map[string]store.Entry
	revision      store.Revision
	lastLease     store.LeaseID
	down          bool
	answersToLose int
	writesToDrop  int
	calls         map[string]int
	beforeCall    func(operation, key string)
	changed       chan struct{}
}

var _ store.Store = (*Store)(nil)

// NewStore returns an empty store without faults.
func NewStore() *Store {
	return &Store{entries: map[string]store.Entry{}, calls: map[string]int{}, changed: make(chan struct{})}
}

// SetDown sets whether every call fails without effect.
func (memory *Store) SetDown(down bool) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.down = down
	memory.notifyWatches()
}

// LoseAnswers makes the next count swaps take effect and return an error that
// says that their outcome is unknown.
func (memory *Store) LoseAnswers(count int) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.answersToLose = count
}

// DropWrites makes the next count swaps return the same error as [Store.LoseAnswers]
// without taking effect.
func (memory *Store) DropWrites(count int) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.writesToDrop = count
}

// SetHook makes the store run hook before each call, without holding a lock; nil
// removes the hook.
func (memory *Store) SetHook(hook func(operation, key string)) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.beforeCall = hook
}

// Calls returns the number of calls of each operation.
func (memory *Store) Calls() map[string]int {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	calls := make(map[string]int, len(memory.calls))
	for operation, count := range memory.calls {
		calls[operation] = count
	}
	return calls
}

// Entries returns all entries, sorted by key.
func (memory *Store) Entries() []store.Entry {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.listPrefix("")
}

// Restore brings the store back from a copy of its entries: numbers of later writes and
// leases are given out again, in the next era.
func (memory *Store) Restore(entries []store.Entry) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	era := memory.revision.Era() + 1
	memory.entries = map[string]store.Entry{}
	memory.revision = revisionOf(era, 0)
	memory.lastLease = store.LeaseID{Era: era}
	for _, entry := range entries {
		revision, lease := revisionOf(era, entry.Revision().Number()), store.LeaseID{}
		if !entry.Lease().IsZero() {
			lease = store.LeaseID{Era: era, Number: entry.Lease().Number}
		}
		memory.entries[entry.Key()] = store.NewEntry(store.EntryConfig{Key: entry.Key(), Value: entry.Value(), Revision: revision, Lease: lease})
		memory.revision = max(memory.revision, revision)
	}
	memory.notifyWatches()
}

// revisionOf returns the revision of a number that fits.
func revisionOf(era store.Era, number int64) store.Revision {
	revision, err := store.NewRevision(era, number)
	if err != nil {
		panic(err)
	}
	return revision
}

// lockForCall runs the hook, counts the call and returns with the lock held, or
// returns an error without the lock while the store is down.
func (memory *Store) lockForCall(operation, key string) error {
	memory.mutex.Lock()
	hook := memory.beforeCall
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
	if err := memory.lockForCall("get", key); err != nil {
		return store.Entry{}, false, err
	}
	defer memory.mutex.Unlock()
	entry, ok := memory.entries[key]
	return entry, ok, nil
}

// List implements [store.Store].
func (memory *Store) List(_ context.Context, prefix string) ([]store.Entry, error) {
	if err := memory.lockForCall("list", prefix); err != nil {
		return nil, err
	}
	defer memory.mutex.Unlock()
	return memory.listPrefix(prefix), nil
}

// listPrefix returns the entries whose keys begin with prefix, sorted by key. The
// caller holds the lock.
func (memory *Store) listPrefix(prefix string) []store.Entry {
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
	if err := memory.lockForCall("swap", swap.Key); err != nil {
		return 0, err
	}
	defer memory.mutex.Unlock()
	if len(swap.Value) > store.MaxValueBytes {
		return 0, &store.SizeError{Key: swap.Key, Bytes: len(swap.Value)}
	}
	if memory.writesToDrop > 0 {
		memory.writesToDrop--
		return 0, &store.UnknownError{Operation: "swap", Cause: errInjected}
	}
	if actual := memory.entries[swap.Key].Revision(); actual != swap.Expected {
		return 0, &store.ConflictError{Key: swap.Key, Expected: swap.Expected, Actual: actual}
	}
	memory.revision++
	memory.entries[swap.Key] = store.NewEntry(store.EntryConfig{Key: swap.Key, Value: swap.Value, Revision: memory.revision, Lease: swap.Lease})
	memory.notifyWatches()
	if memory.answersToLose > 0 {
		memory.answersToLose--
		return 0, &store.UnknownError{Operation: "swap", Cause: errInjected}
	}
	return memory.revision, nil
}

// notifyWatches makes waiting watches check for updates. The caller holds the lock.
func (memory *Store) notifyWatches() {
	close(memory.changed)
	memory.changed = make(chan struct{})
}

// Delete implements [store.Store].
func (memory *Store) Delete(_ context.Context, key string, expected store.Revision) error {
	if err := memory.lockForCall("delete", key); err != nil {
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
		if err := memory.lockForCall("watch", prefix); err != nil {
			return nil, 0, err
		}
		var updates []store.Entry
		for _, entry := range memory.listPrefix(prefix) {
			if entry.Revision() > after {
				updates = append(updates, entry)
			}
		}
		revision, changed := memory.revision, memory.changed
		memory.mutex.Unlock()
		if len(updates) > 0 {
			return updates, revision, nil
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
	if err := memory.lockForCall("grant", ""); err != nil {
		return store.LeaseID{}, err
	}
	defer memory.mutex.Unlock()
	memory.lastLease.Number++
	return memory.lastLease, nil
}

// Renew implements [store.Store].
func (memory *Store) Renew(_ context.Context, lease store.LeaseID) error {
	if err := memory.lockForCall("renew", ""); err != nil {
		return err
	}
	defer memory.mutex.Unlock()
	if lease.Era != memory.lastLease.Era {
		return &store.LeaseError{Lease: lease}
	}
	return nil
}

// Revoke implements [store.Store].
func (memory *Store) Revoke(context.Context, store.LeaseID) error {
	if err := memory.lockForCall("revoke", ""); err != nil {
		return err
	}
	memory.mutex.Unlock()
	return nil
}
