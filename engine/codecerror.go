package engine

import "fmt"

// CodecError reports a message that cannot be decoded.
type CodecError struct {
	// MessageType is the type of the message, such as order.
	MessageType string
	Cause       error
}

// Error implements error.
func (codecError *CodecError) Error() string {
	return fmt.Sprintf("malformed %s: %v", codecError.MessageType, codecError.Cause)
}

// Unwrap returns the cause.
func (codecError *CodecError) Unwrap() error { return codecError.Cause }
