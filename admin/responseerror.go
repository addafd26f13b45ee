package admin

import "fmt"

// ResponseError reports a response that is none of the API, or lacks what its status
// announces. A change may have taken effect; the caller must retry it with the same id.
type ResponseError struct {
	Status int
	// Field is the name of what is missing.
	Field string
}

// Error implements error.
func (responseError *ResponseError) Error() string {
	return fmt.Sprintf("response with status %d has no %s", responseError.Status, responseError.Field)
}
