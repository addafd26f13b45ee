package entry

import "net/http"

// plainResponse is the whole answer of a plain service.
type plainResponse struct {
	Status int
	Header http.Header
	Body   []byte
}
