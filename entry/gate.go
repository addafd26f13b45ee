package entry

import "github.com/basilkeel/basilkeel/ident"

// Gate admits callers by their keys.
type Gate interface {
	// Admit returns the admission for the key secret, or a *call.Refusal.
	Admit(secret string) (ident.Admission, error)
	// Recheck returns a *call.Refusal if a request without output would no
	// longer be admitted.
	Recheck(admission ident.Admission) error
	// CheckRunning returns a *call.Refusal if a request that has produced output has
	// to be canceled.
	CheckRunning(admission ident.Admission) error
}
