package claim

import "fmt"

// LayoutError reports that the configured number of shards differs from the
// stored one, so that stored claims would not be found.
type LayoutError struct {
	Stored     string
	Configured int
}

// Error implements error.
func (layoutError *LayoutError) Error() string {
	return fmt.Sprintf("claims are stored in %s shards, %d are configured", layoutError.Stored, layoutError.Configured)
}

// NoReplyError reports an operation to which another entry sent no reply.
type NoReplyError struct {
	// Delivered reports whether the operation may have reached that entry.
	Delivered bool
	Cause     error
}

// Error implements error.
func (noReplyError *NoReplyError) Error() string {
	return fmt.Sprintf("no reply to a claim operation (delivered=%t): %v", noReplyError.Delivered, noReplyError.Cause)
}

// Unwrap returns the cause.
func (noReplyError *NoReplyError) Unwrap() error { return noReplyError.Cause }

// OperationError reports an operation message that can't be decoded.
type OperationError struct {
	Reason string
}

// Error implements error.
func (operationError *OperationError) Error() string {
	return "claim operation can't be read: " + operationError.Reason
}
