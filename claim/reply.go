package claim

import "github.com/basilkeel/basilkeel/call"

// Reply is a writer's answer to an operation. It is sealed: [Granted],
// [Replayed], [Denied], [Acknowledged] and [Failed] implement it.
type Reply interface{ reply() }

// Granted means that the attempt holds the claim, durably.
type Granted struct{}

// Replayed means that the call has run and its answer is stored.
type Replayed struct{ Answer Answer }

// Denied means that the attempt doesn't get the claim.
type Denied struct{ Refusal *call.Refusal }

// Acknowledged means that a [Finish] or [Release] is durable or changes nothing.
type Acknowledged struct{}

// Failed means that the operation was not completed, mostly because the
// key-value service can't be used.
type Failed struct {
	// MayApply reports whether the operation may have taken effect, or may yet.
	MayApply bool
}

func (Granted) reply()      {}
func (Replayed) reply()     {}
func (Denied) reply()       {}
func (Acknowledged) reply() {}
func (Failed) reply()       {}
