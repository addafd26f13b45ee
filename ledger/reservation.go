package ledger

import (
	"time"

	"github.com/basilkeel/basilkeel/engine"
)

// reservation is what the ledger knows of one item whose memory is reserved.
type reservation struct {
	weights Weights
	// recorded tells that the confirmed record names the item.
	recorded bool
	// latestLoadArrival bounds the time at which a load of the item can still reach
	// the engine; valid only while no load is in flight and there is no
	// predecessor.
	latestLoadArrival time.Time
	// loadsInFlight counts loads that were given out and not answered yet.
	loadsInFlight int
	// lastOrderAt is when the last order for the item was given out.
	lastOrderAt time.Time
	// ordered tells that there was one.
	ordered bool
	// unloadFence is the fence from which on a report without the item frees it;
	// zero while there is none.
	unloadFence engine.Fence
	// latestUnloadArrival bounds the time at which an unload can still reach the engine.
	latestUnloadArrival time.Time
	// resident and usable repeat the last report.
	resident bool
	usable   bool
}
