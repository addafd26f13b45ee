package stand

import (
	"sort"
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/store"
)

// kvRow is the latest state of one key. A deleted key is kept as a tombstone so
// that watches can report the deletion.
type kvRow struct {
	value    []byte
	revision store.Revision
	lease    store.LeaseID
	deleted  bool
}

// kvLease is one live lease.
type kvLease struct {
	ttl time.Duration
	end time.Time
}

// kvTable is the state machine of the key-value service. It does no I/O and takes
// the time as an argument. Each operation first ends the expired leases.
type kvTable struct {
	rows     map[string]kvRow
	leases   map[store.LeaseID]kvLease
	revision store.Revision
	// lastLease is the identifier of the latest lease granted.
	lastLease store.LeaseID
}

func newKVTable() *kvTable {
	return &kvTable{rows: map[string]kvRow{}, leases: map[store.LeaseID]kvLease{}}
}

func (table *kvTable) get(now time.Time, key string) (store.Entry, bool) {
	table.expire(now)
	row, ok := table.rows[key]
	if !ok || row.deleted {
		return store.Entry{}, false
	}
	return row.entry(key), true
}

func (table *kvTable) list(now time.Time, prefix string) []store.Entry {
	table.expire(now)
	return table.collect(prefix, func(row kvRow) bool { return !row.deleted })
}

// changes returns the entries under prefix whose revision is higher than after,
// including tombstones.
func (table *kvTable) changes(now time.Time, prefix string, after store.Revision) []store.Entry {
	table.expire(now)
	return table.collect(prefix, func(row kvRow) bool { return row.revision > after })
}

func (table *kvTable) swap(now time.Time, swap store.Swap) (store.Revision, error) {
	table.expire(now)
	if len(swap.Value) > store.MaxValueBytes {
		return 0, &store.SizeError{Key: swap.Key, Bytes: len(swap.Value)}
	}
	if actual := table.revisionOf(swap.Key); actual != swap.Expected {
		return 0, &store.ConflictError{Key: swap.Key, Expected: swap.Expected, Actual: actual}
	}
	if _, live := table.leases[swap.Lease]; !swap.Lease.IsZero() && !live {
		return 0, &store.LeaseError{Lease: swap.Lease}
	}
	table.put(swap.Key, kvRow{value: swap.Value, lease: swap.Lease})
	return table.revision, nil
}

func (table *kvTable) remove(now time.Time, key string, expected store.Revision) error {
	table.expire(now)
	actual := table.revisionOf(key)
	if actual != expected {
		return &store.ConflictError{Key: key, Expected: expected, Actual: actual}
	}
	if actual != 0 {
		table.put(key, kvRow{deleted: true})
	}
	return nil
}

func (table *kvTable) grant(now time.Time, ttl time.Duration) store.LeaseID {
	table.expire(now)
	table.lastLease.Number++
	table.leases[table.lastLease] = kvLease{ttl: ttl, end: now.Add(ttl)}
	return table.lastLease
}

func (table *kvTable) renew(now time.Time, id store.LeaseID) error {
	table.expire(now)
	lease, live := table.leases[id]
	if !live {
		return &store.LeaseError{Lease: id}
	}
	lease.end = now.Add(lease.ttl)
	table.leases[id] = lease
	return nil
}

func (table *kvTable) revoke(now time.Time, id store.LeaseID) error {
	table.expire(now)
	if _, live := table.leases[id]; !live {
		return &store.LeaseError{Lease: id}
	}
	table.endLease(id)
	return nil
}

// expire ends the leases that have expired by now and deletes their keys.
func (table *kvTable) expire(now time.Time) {
	for id, lease := range table.leases {
		if !now.Before(lease.end) {
			table.endLease(id)
		}
	}
}

func (table *kvTable) endLease(id store.LeaseID) {
	delete(table.leases, id)
	for key, row := range table.rows {
		if row.lease == id && !row.deleted {
			table.put(key, kvRow{deleted: true})
		}
	}
}

// put stores row at key with the next revision.
func (table *kvTable) put(key string, row kvRow) {
	table.revision++
	row.revision = table.revision
	table.rows[key] = row
}

// revisionOf returns the revision of key, or zero if the key does not exist.
func (table *kvTable) revisionOf(key string) store.Revision {
	if row, ok := table.rows[key]; ok && !row.deleted {
		return row.revision
	}
	return 0
}

func (table *kvTable) collect(prefix string, want func(kvRow) bool) []store.Entry {
	entries := []store.Entry{}
	for key, row := range table.rows {
		if strings.HasPrefix(key, prefix) && want(row) {
			entries = append(entries, row.entry(key))
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key() < entries[j].Key() })
	return entries
}

func (row kvRow) entry(key string) store.Entry {
	return store.NewEntry(store.EntryConfig{Key: key, Value: row.value, Revision: row.revision, Deleted: row.deleted})
}
