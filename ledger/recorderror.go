package ledger

import "fmt"

// RecordError reports a record that cannot be decoded.
type RecordError struct{ Cause error }

// Error implements error.
func (recordError *RecordError) Error() string {
	return fmt.Sprintf("malformed agent record: %v", recordError.Cause)
}

// Unwrap returns the cause.
func (recordError *RecordError) Unwrap() error { return recordError.Cause }
