package store

import (
	"context"
	"time"
)

// Store is the part of the platform's key-value service that the system uses.
// Every method counts as one call to the service, and a waiting watch as one
// more.
//
// Errors are *[ConflictError], *[UnknownError], *[UnavailableError],
// *[LeaseError] or *[SizeError].
type Store interface {
	// Get returns the entry at key, and false if there is none.
	Get(ctx context.Context, key string) (Entry, bool, error)
	// List returns the entries whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes the entry if its revision is the expected one.
	Swap(ctx context.Context, swap Swap) (Revision, error)
	// Delete deletes the entry if its revision is the expected one.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch blocks until an entry under prefix has a revision above after, or
	// ctx is done.
	Watch(ctx context.Context, prefix string, after Revision) ([]Entry, Revision, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its TTL, starting when the service receives the
	// call.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the entries attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
}
