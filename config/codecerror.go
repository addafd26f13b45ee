package config

import "errors"

var (
	errTrailingData = errors.New("data after the JSON value")
	errRefFormat    = errors.New("a reference is not hash.version.revision")
	errNewerFormat  = errors.New("the stored format is newer than this program")
)

// CodecError reports bytes that cannot be decoded.
type CodecError struct {
	Cause error
}

// Error implements error.
func (codecError *CodecError) Error() string {
	return "not in the expected form: " + codecError.Cause.Error()
}

// Unwrap returns the cause.
func (codecError *CodecError) Unwrap() error { return codecError.Cause }
