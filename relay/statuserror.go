package relay

import "fmt"

// StatusError reports the status with which a server refused a request.
type StatusError struct {
	Status int
}

// Error implements error.
func (statusError *StatusError) Error() string {
	return fmt.Sprintf("the server answered with status %d and did not run the request", statusError.Status)
}
