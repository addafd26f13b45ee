package engine

import "fmt"

// CodecError reports a message that does not have the form it should.
type CodecError struct {
	// MessageType names the kind of message.
	MessageType string
	Cause       error
}

// Error implements error.
func (codecError *CodecError) Error() string {
	return fmt.Sprintf("malformed %s: %v", codecError.MessageType, codecError.Cause)
}

// Unwrap returns the cause.
func (codecError *CodecError) Unwrap() error { return codecError.Cause }
