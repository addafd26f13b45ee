package entry

import "net/http"

// plainResponse is the complete response of a plain service.
type plainResponse struct {
	Status int
	Header http.Header
	Body   []byte
}
