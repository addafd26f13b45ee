package engine

import (
	"context"
	"net/http"

	"github.com/basilkeel/basilkeel/names"
)

// PlainService is what an agent needs of a plain service.
type PlainService interface {
	// Call runs one call. A *[SendError] tells whether it can have run.
	Call(ctx context.Context, plainCall PlainCall) (PlainResponse, error)
}

// PlainCall is one call on a plain service, without the caller's credentials.
type PlainCall struct {
	Request names.Request
	Account names.ClientAccount
	Method  string
	// Path is below /svc/<service> and includes the query.
	Path   string
	Header http.Header
	Body   []byte
}

// PlainResponse is the whole answer of a plain service.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   []byte
}
