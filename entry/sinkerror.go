package entry

import "fmt"

// sinkError reports that the response could not be delivered to the caller.
type sinkError struct {
	cause error
}

// Error implements error.
func (sinkError *sinkError) Error() string {
	return fmt.Sprintf("the caller does not take the answer: %v", sinkError.cause)
}

// Unwrap returns the cause.
func (sinkError *sinkError) Unwrap() error { return sinkError.cause }
