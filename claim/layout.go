package claim

import (
	"context"
	"errors"
	"strconv"
	"sync"

	"github.com/basilkeel/basilkeel/store"
)

// layoutKey is the key under which the number of shards is stored.
const layoutKey = keyPrefix + "layout"

// layout checks that the configured number of shards is the stored one.
type layout struct {
	store  store.Store
	shards int

	// mu guards checked.
	mu      sync.Mutex
	checked bool
}

// check stores the number of shards if none is stored, and returns a
// *[LayoutError] if another one is. Once it has succeeded, it reads nothing.
func (layout *layout) check(ctx context.Context) error {
	layout.mu.Lock()
	defer layout.mu.Unlock()
	if layout.checked {
		return nil
	}
	entry, found, err := layout.store.Get(ctx, layoutKey)
	if err != nil {
		return err
	}
	want := strconv.Itoa(layout.shards)
	if !found {
		_, err := layout.store.Swap(ctx, store.Swap{Key: layoutKey, Value: []byte(want)})
		var conflictError *store.ConflictError
		if err != nil && !errors.As(err, &conflictError) {
			return err
		}
		if entry, _, err = layout.store.Get(ctx, layoutKey); err != nil {
			return err
		}
	}
	if string(entry.Value()) != want {
		return &LayoutError{Stored: string(entry.Value()), Configured: layout.shards}
	}
	layout.checked = true
	return nil
}
