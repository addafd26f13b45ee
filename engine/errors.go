package engine

import "fmt"

// SendError reports a request without a usable response.
type SendError struct {
	// MaybeSent reports whether the request may have reached the backend server.
	MaybeSent bool
	Cause     error
}

// Error implements error.
func (sendError *SendError) Error() string {
	return fmt.Sprintf("no usable response from backend server (sent=%t): %v", sendError.MaybeSent, sendError.Cause)
}

// Unwrap returns the cause.
func (sendError *SendError) Unwrap() error { return sendError.Cause }

// BrokenError reports a stream that ended before it was complete.
type BrokenError struct {
	// Pieces is the number of pieces received, including those skipped by the
	// offset.
	Pieces int
	Cause  error
}

// Error implements error.
func (brokenError *BrokenError) Error() string {
	return fmt.Sprintf("stream broke after %d pieces: %v", brokenError.Pieces, brokenError.Cause)
}

// Unwrap returns the cause.
func (brokenError *BrokenError) Unwrap() error { return brokenError.Cause }

// StatusError reports a response of a backend server with an unsuccessful
// status.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (statusError *StatusError) Error() string {
	return fmt.Sprintf("backend server answered %d: %s", statusError.Status, statusError.Message)
}

// FencedError reports an order that the engine refused because it has seen a
// newer epoch.
type FencedError struct {
	Sent Fence
	Seen Fence
}

// Error implements error.
func (fencedError *FencedError) Error() string {
	return fmt.Sprintf("engine refused an order of epoch %d, it has seen epoch %d", fencedError.Sent.Epoch, fencedError.Seen.Epoch)
}
