package claim

import (
	"time"

	"github.com/basilkeel/basilkeel/store"
)

// Action is an instruction of a [Writer] to its caller, which does the I/O. It
// is sealed: [Load], [Write], [DeleteKeys], [Respond] and [Wake] implement it. At
// most one load or write is in progress.
type Action interface{ action() }

// Load asks to read the head of the shard and then its segments from number
// From on. These include the segment after the last one of the head, which
// exists from the time it is sealed until the head is written again.
type Load struct{ From int64 }

// Write asks to carry out one compare-and-swap.
type Write struct{ Swap store.Swap }

// DeleteKeys asks to delete keys that are no longer used. A failure is harmless, as
// the head no longer refers to them.
type DeleteKeys struct{ Keys []string }

// Respond asks to send Reply for the operation that was submitted with ID.
type Respond struct {
	ID    OperationID
	Reply Reply
}

// Wake asks for a [Tick] at or after At.
type Wake struct{ At time.Time }

func (Load) action()       {}
func (Write) action()      {}
func (DeleteKeys) action() {}
func (Respond) action()    {}
func (Wake) action()       {}
