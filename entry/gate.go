package entry

import "github.com/basilkeel/basilkeel/ident"

// Gate admits callers by their keys.
type Gate interface {
	// Admit returns the admission of the key that is secret, or a *call.Refusal.
	Admit(secret string) (ident.Admission, error)
	// Recheck returns a *call.Refusal where a request that waits would not be
	// admitted any more.
	Recheck(admission ident.Admission) error
	// CheckRunning returns a *call.Refusal where a request that runs must be cut.
	CheckRunning(admission ident.Admission) error
}
