package poison

import "fmt"

// SnapshotError reports a snapshot that is malformed or exceeds the limits.
type SnapshotError struct{ Cause error }

// Error implements error.
func (snapshotError *SnapshotError) Error() string {
	return fmt.Sprintf("decode crash snapshot: %v", snapshotError.Cause)
}

// Unwrap returns the cause.
func (snapshotError *SnapshotError) Unwrap() error { return snapshotError.Cause }
