package store

import "fmt"

// ConflictError reports that an entry did not have the expected revision.
// The write did not take effect.
type ConflictError struct {
	Key      string
	Expected Revision
	Actual   Revision
}

// Error implements error.
func (conflictError *ConflictError) Error() string {
	return fmt.Sprintf("entry %q has revision %s, expected %s", conflictError.Key, conflictError.Actual, conflictError.Expected)
}

// UnknownError reports a write that may or may not have taken effect.
type UnknownError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (unknownError *UnknownError) Error() string {
	return fmt.Sprintf("%s: effect unknown: %v", unknownError.Operation, unknownError.Cause)
}

// Unwrap returns the cause.
func (unknownError *UnknownError) Unwrap() error { return unknownError.Cause }

// UnavailableError reports a call that had no effect because the service could
// not be reached or refused it, or a read that got no reply.
type UnavailableError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (unavailableError *UnavailableError) Error() string {
	return fmt.Sprintf("%s: platform service unavailable: %v", unavailableError.Operation, unavailableError.Cause)
}

// Unwrap returns the cause.
func (unavailableError *UnavailableError) Unwrap() error { return unavailableError.Cause }

// LeaseError reports a lease that does not exist or has expired.
type LeaseError struct {
	Lease LeaseID
}

// Error implements error.
func (leaseError *LeaseError) Error() string {
	return fmt.Sprintf("lease %s has ended", leaseError.Lease)
}

// SizeError reports a value longer than [MaxValueBytes].
type SizeError struct {
	Key   string
	Bytes int
}

// Error implements error.
func (sizeError *SizeError) Error() string {
	return fmt.Sprintf("value of %q has %d bytes, more than %d", sizeError.Key, sizeError.Bytes, MaxValueBytes)
}
