package claim

import "github.com/basilkeel/basilkeel/store"

// OperationID matches a [Respond] to the [Submit] that it replies to.
type OperationID uint64

// Input is an event that a [Writer] handles. It is sealed: [Submit], [Loaded],
// [LoadFailed], [Written] and [Tick] implement it.
type Input interface{ input() }

// Submit passes an operation, to which a [Respond] with the same ID replies.
type Submit struct {
	ID        OperationID
	Operation Operation
}

// Loaded is the result of a [Load].
type Loaded struct {
	// Revision is the revision of the head; zero if there is no head yet.
	Revision store.Revision
	head     head
	// segments holds the segments that were asked for, by number. It includes the
	// one after the last of the head, number head.sealed, if that exists.
	segments map[int64][]Record
}

// LoadFailed reports that a [Load] failed.
type LoadFailed struct{}

// Written is the result of a [Write].
type Written struct{ Result WriteResult }

// Tick reports that the time of a [Wake] has come.
type Tick struct{}

func (Submit) input()     {}
func (Loaded) input()     {}
func (LoadFailed) input() {}
func (Written) input()    {}
func (Tick) input()       {}
