package engine

import "fmt"

// SendError reports a request that got no answer.
type SendError struct {
	// MaybeSent tells that the request can have reached the backend server.
	MaybeSent bool
	Cause     error
}

// Error implements error.
func (sendError *SendError) Error() string {
	return fmt.Sprintf("backend server gave no answer (sent=%t): %v", sendError.MaybeSent, sendError.Cause)
}

// Unwrap returns the cause.
func (sendError *SendError) Unwrap() error { return sendError.Cause }

// BrokenError reports a stream that ended before it was whole.
type BrokenError struct {
	// Pieces counts the pieces received, those before the offset included.
	Pieces int
	Cause  error
}

// Error implements error.
func (brokenError *BrokenError) Error() string {
	return fmt.Sprintf("stream broke after %d pieces: %v", brokenError.Pieces, brokenError.Cause)
}

// Unwrap returns the cause.
func (brokenError *BrokenError) Unwrap() error { return brokenError.Cause }

// StatusError reports an answer of a backend server that is not a success.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (statusError *StatusError) Error() string {
	return fmt.Sprintf("backend server answered %d: %s", statusError.Status, statusError.Message)
}

// FencedError reports an order refused because a newer epoch was seen.
type FencedError struct {
	Sent Fence
	Seen Fence
}

// Error implements error.
func (fencedError *FencedError) Error() string {
	return fmt.Sprintf("order of epoch %d refused, engine has seen epoch %d", fencedError.Sent.Epoch, fencedError.Seen.Epoch)
}
