package claim

import "github.com/basilkeel/basilkeel/store"

// OperationID connects an operation with its reply.
type OperationID uint64

// Input is what happens to a [Writer]. It is sealed: [Submit], [Loaded],
// [LoadFailed], [Written] and [Tick] implement it.
type Input interface{ input() }

// Submit brings an operation, answered by a [Respond] with the same call.
type Submit struct {
	ID        OperationID
	Operation Operation
}

// Loaded answers a [Load].
type Loaded struct {
	// Revision of the head; zero where there is none yet.
	Revision store.Revision
	head     head
	// segments holds those asked for, by number, and the one after the last
	// sealed where it exists already.
	segments map[int64][]Record
}

// LoadFailed answers a [Load] that got no answer.
type LoadFailed struct{}

// Written answers a [Write].
type Written struct{ Result WriteResult }

// Tick tells that a [Wake] is due.
type Tick struct{}

func (Submit) input()     {}
func (Loaded) input()     {}
func (LoadFailed) input() {}
func (Written) input()    {}
func (Tick) input()       {}
