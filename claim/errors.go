package claim

import "fmt"

// LayoutError reports a number of shards other than the stored one, under
// which claims would not be found.
type LayoutError struct {
	Stored     string
	Configured int
}

// Error implements error.
func (layoutError *LayoutError) Error() string {
	return fmt.Sprintf("claims are stored in %s shards, %d are configured", layoutError.Stored, layoutError.Configured)
}

// NoReplyError reports an operation that another entry gave no reply to.
type NoReplyError struct {
	// Delivered tells that the operation can have reached it.
	Delivered bool
	Cause     error
}

// Error implements error.
func (noReplyError *NoReplyError) Error() string {
	return fmt.Sprintf("no reply to a claim operation (delivered=%t): %v", noReplyError.Delivered, noReplyError.Cause)
}

// Unwrap returns the cause.
func (noReplyError *NoReplyError) Unwrap() error { return noReplyError.Cause }

// OperationError reports an operation on the wire that can't be read.
type OperationError struct {
	Reason string
}

// Error implements error.
func (operationError *OperationError) Error() string {
	return "claim operation can't be read: " + operationError.Reason
}
