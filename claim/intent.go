package claim

import "github.com/basilkeel/basilkeel/names"

// Intent describes a call that may not be repeated, before it is sent.
type Intent struct {
	Account names.ClientAccount
	// IdempotencyKey is the key that the caller gave; empty means none.
	IdempotencyKey string
	Fingerprint    Fingerprint
	// Request identifies this attempt of the call; it is unique among all
	// callers.
	Request names.Request
}
