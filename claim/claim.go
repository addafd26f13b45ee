package claim

import "github.com/basilkeel/basilkeel/names"

// Claim is the right of one request to attempt, once, the call that an
// idempotency key identifies. The zero value belongs to a call without an
// idempotency key, for which nothing is stored.
type Claim struct {
	id      ID
	attempt names.Request
}

// ID returns the identifier of the claim.
func (claim Claim) ID() ID { return claim.id }

// Attempt returns the request that wants or holds the claim.
func (claim Claim) Attempt() names.Request { return claim.attempt }

// isRecorded reports whether the claim is one that is stored, that is, whether
// its call has an idempotency key.
func (claim Claim) isRecorded() bool { return claim.attempt != "" }
