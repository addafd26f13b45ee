package claim

import (
	"errors"

	"github.com/basilkeel/basilkeel/store"
)

// WriteResult is the result of one compare-and-swap. It is sealed: [Applied],
// [Conflict], [Uncertain] and [NotApplied] implement it.
type WriteResult interface{ result() }

// Applied means that the write took effect.
type Applied struct{ Revision store.Revision }

// Conflict means that another write came first; this one had no effect.
type Conflict struct{}

// Uncertain means that the write may have taken effect, or may yet.
type Uncertain struct{}

// NotApplied means that the write had no effect and never will.
type NotApplied struct{}

func (Applied) result()    {}
func (Conflict) result()   {}
func (Uncertain) result()  {}
func (NotApplied) result() {}

// newWriteResult converts what [store.Store.Swap] returned. An error of any other
// type means that the result is [Uncertain].
func newWriteResult(revision store.Revision, err error) WriteResult {
	var conflictError *store.ConflictError
	var unavailableError *store.UnavailableError
	var sizeError *store.SizeError
	switch {
	case err == nil:
		return Applied{Revision: revision}
	case errors.As(err, &conflictError):
		return Conflict{}
	case errors.As(err, &unavailableError), errors.As(err, &sizeError):
		return NotApplied{}
	default:
		return Uncertain{}
	}
}
