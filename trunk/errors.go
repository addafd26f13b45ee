package trunk

import (
	"fmt"
	"net/http"
)

// UnsentError reports a request that certainly did not reach a server.
type UnsentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (unsentError *UnsentError) Error() string {
	return fmt.Sprintf("request to %s was not sent: %v", unsentError.Address, unsentError.Cause)
}

// Unwrap returns the cause.
func (unsentError *UnsentError) Unwrap() error { return unsentError.Cause }

// BrokenError reports a request that may have run and got no whole answer.
type BrokenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (brokenError *BrokenError) Error() string {
	return fmt.Sprintf("no whole answer from %s: %v", brokenError.Address, brokenError.Cause)
}

// Unwrap returns the cause.
func (brokenError *BrokenError) Unwrap() error { return brokenError.Cause }

// CanceledError reports a request that was no longer wanted when its connection
// was there.
type CanceledError struct{}

// Error implements error.
func (*CanceledError) Error() string { return "withdrawn before it was sent" }

// HeaderSizeError reports a head of an answer that goes on for too long.
type HeaderSizeError struct {
	// Bytes is the bound that it passed.
	Bytes int
}

// Error implements error.
func (headerSizeError *HeaderSizeError) Error() string {
	return fmt.Sprintf("the head of an answer is longer than %d bytes", headerSizeError.Bytes)
}

// MismatchError reports answers on a connection that belong to other requests.
type MismatchError struct {
	Responses int
}

// Error implements error.
func (mismatchError *MismatchError) Error() string {
	return fmt.Sprintf("%d answers that belong to other requests", mismatchError.Responses)
}

// StatusError reports an answer whose status says that it is not what was asked
// for.
type StatusError struct {
	Status int
}

// Error implements error.
func (statusError *StatusError) Error() string {
	return fmt.Sprintf("status %d %s", statusError.Status, http.StatusText(statusError.Status))
}
