package relay

import "fmt"

// StatusError reports the status of an answer that is no service of the request.
type StatusError struct {
	Status int
}

// Error implements error.
func (statusError *StatusError) Error() string {
	return fmt.Sprintf("the server answered with status %d", statusError.Status)
}
