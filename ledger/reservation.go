package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/engine"
)

// reservation is the state of one item whose memory is reserved.
type reservation struct {
	weights Weights
	// recorded reports whether the confirmed record names the item.
	recorded bool
	// latestLoadArrival bounds the time at which a load of the item can still
	// reach the engine. It is valid only while no load is in flight and no
	// predecessor is active.
	latestLoadArrival time.Time
	// loadsInFlight counts the loads that were emitted and have no outcome yet.
	loadsInFlight int
	// lastOrderAt is when the last order for the item was emitted.
	lastOrderAt time.Time
	// ordered reports whether an order for the item was emitted.
	ordered bool
	// unloadFence is the fence of the unload that decides when the memory is
	// free: a report that includes it and does not list the item proves that.
	// It is noFence if there is no such unload.
	unloadFence engine.Fence
	// latestUnloadArrival bounds the time at which an unload of the item can
	// still reach the engine.
	latestUnloadArrival time.Time
	// resident reports whether the last report listed the item.
	resident bool
	// usable reports whether the last report showed the item as loaded, at a time
	// when no unload of it could arrive any more.
	usable bool
}
