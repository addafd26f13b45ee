package engine

import (
	"context"
	"net/http"

	"github.com/basilkeel/basilkeel/names"
)

// PlainService is the interface of a plain service.
type PlainService interface {
	// Call runs one call. A *[SendError] says whether it may have run.
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

// PlainResponse is the complete response of a plain service.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   []byte
}
