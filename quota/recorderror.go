package quota

import "fmt"

// RecordError is returned for a seat's entry in the platform's service that
// cannot be decoded, or whose fields do not match its key.
type RecordError struct {
	Key   string
	Cause error
}

// Error implements error.
func (recordError *RecordError) Error() string {
	return fmt.Sprintf("quota record %q cannot be decoded: %v", recordError.Key, recordError.Cause)
}

// Unwrap returns the cause.
func (recordError *RecordError) Unwrap() error { return recordError.Cause }
