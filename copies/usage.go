package copies

import (
	"maps"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// Usage is what entries report of the use of engines.
type Usage interface {
	// ModelRequests returns the number of requests that run for a model on a server.
	ModelRequests(server *pool.Server, model names.Model) (running int, known bool)
	// AdapterUsedAt returns when a request last used an adapter on a server, or the zero
	// time if that is long ago.
	AdapterUsedAt(server *pool.Server, adapter pool.Adapter) (usedAt time.Time, known bool)
}

// unknownUsage knows nothing.
type unknownUsage struct{}

// ModelRequests implements [Usage].
func (unknownUsage) ModelRequests(*pool.Server, names.Model) (int, bool) { return 0, false }

// AdapterUsedAt implements [Usage].
func (unknownUsage) AdapterUsedAt(*pool.Server, pool.Adapter) (time.Time, bool) {
	return time.Time{}, false
}

// leastUsedAdapter returns the adapter of an engine that was not used for longest. The
// order for it counts as use, as the request that it is for has yet to arrive. If use is
// not known it is the one that was loaded first. The engine has an adapter, and the
// tracker's orderLock is taken.
func (dispatcher *Dispatcher) leastUsedAdapter(tracker *Tracker) pool.Adapter {
	tracker.mutex.Lock()
	server, adapters, loadedAt := tracker.server, slices.Clone(tracker.ledger.adapters), maps.Clone(tracker.adapterLoadedAt)
	tracker.mutex.Unlock()
	if len(adapters) == 0 {
		return pool.Adapter{}
	}
	least, leastAt := adapters[0], time.Time{}
	for index, adapter := range adapters {
		usedAt, known := dispatcher.usage.AdapterUsedAt(server, adapter)
		if !known {
			return adapters[0]
		}
		if loadedAt[adapter].After(usedAt) {
			usedAt = loadedAt[adapter]
		}
		if index == 0 || usedAt.Before(leastAt) {
			least, leastAt = adapter, usedAt
		}
	}
	return least
}
