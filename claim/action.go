package claim

import (
	"time"

	"github.com/basilkeel/basilkeel/store"
)

// Action is what a [Writer] wants done. It is sealed: [Load], [Write], [Delete],
// [Respond] and [Wake] implement it. At most one load or write is under way.
type Action interface{ action() }

// Load asks for the head, and then for the segments of the shard from number
// From on, and for the one after the last sealed.
type Load struct{ From int64 }

// Write asks for one compare-and-swap.
type Write struct{ Swap store.Swap }

// Delete asks to delete keys that are out of use; it is no matter if that fails.
type Delete struct{ Keys []string }

// Respond is the reply to a submitted operation.
type Respond struct {
	ID    OperationID
	Reply Reply
}

// Wake asks for a [Tick] at or after a time.
type Wake struct{ At time.Time }

func (Load) action()    {}
func (Write) action()   {}
func (Delete) action()  {}
func (Respond) action() {}
func (Wake) action()    {}
