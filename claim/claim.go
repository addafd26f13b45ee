package claim

import "github.com/basilkeel/basilkeel/names"

// Claim is the right to attempt one call once. The zero value belongs to a
// call without an idempotency key, for which nothing is kept.
type Claim struct {
	id      ID
	attempt names.Request
}

// ID identifies the claim.
func (claim Claim) ID() ID { return claim.id }

// Attempt is the request that holds the claim.
func (claim Claim) Attempt() names.Request { return claim.attempt }

// isRecorded tells whether the service holds the claim.
func (claim Claim) isRecorded() bool { return claim.attempt != "" }
