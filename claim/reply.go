package claim

import "github.com/basilkeel/basilkeel/call"

// Reply is a writer's answer to an operation. It is sealed: [Granted],
// [Replayed], [Denied], [Acknowledged] and [Failed] implement it.
type Reply interface{ reply() }

// Granted means that the attempt holds the claim, durably.
type Granted struct{}

// Replayed means that another attempt ran and its answer is known.
type Replayed struct{ Answer Answer }

// Denied means that the attempt does not get the claim.
type Denied struct{ Refusal *call.Refusal }

// Acknowledged means that a [Finish] or [Release] is durable or of no consequence.
type Acknowledged struct{}

// Failed means that the service could not be used.
type Failed struct {
	// MayApply tells that the operation can have taken effect, or still can.
	MayApply bool
}

func (Granted) reply()      {}
func (Replayed) reply()     {}
func (Denied) reply()       {}
func (Acknowledged) reply() {}
func (Failed) reply()       {}
