package place

import (
	"errors"
	"fmt"
)

var errItemIndex = errors.New("item index out of range")

// CodecError reports a message or record that cannot be encoded or decoded.
type CodecError struct {
	Part  string
	Cause error
}

// Error implements error.
func (codecError *CodecError) Error() string {
	return fmt.Sprintf("%s: %v", codecError.Part, codecError.Cause)
}

// Unwrap returns the cause.
func (codecError *CodecError) Unwrap() error { return codecError.Cause }
