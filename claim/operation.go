package claim

// Operation is a request to a shard's writer. It is sealed: [Begin], [Finish]
// and [Release] implement it. An operation that is repeated for the same attempt
// has no further effect.
type Operation interface {
	// Target returns the claim to which the operation applies.
	Target() Claim
	operation()
}

// Begin requests a claim.
type Begin struct {
	Claim       Claim
	Fingerprint Fingerprint
}

// Finish records the outcome of the call that holds a claim.
type Finish struct {
	Claim Claim
	// Ran reports whether the call ran; otherwise its outcome is unknown.
	Ran bool
	// Answer is returned to repeats of the call; nil if there is none or it is
	// too large to store.
	Answer *Answer
}

// Release withdraws a claim whose call was never sent and never will be. A
// [Begin] of the same attempt that arrives later is denied.
type Release struct{ Claim Claim }

// Target implements [Operation].
func (begin Begin) Target() Claim { return begin.Claim }

// Target implements [Operation].
func (finish Finish) Target() Claim { return finish.Claim }

// Target implements [Operation].
func (release Release) Target() Claim { return release.Claim }

func (Begin) operation()   {}
func (Finish) operation()  {}
func (Release) operation() {}
