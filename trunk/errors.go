package trunk

import (
	"fmt"
	"net/http"
)

// UnsentError reports that a request certainly did not reach a server.
type UnsentError struct {
	Address string
	Cause   error
}

// Error implements [error].
func (unsentError *UnsentError) Error() string {
	return fmt.Sprintf("request to %s was not sent: %v", unsentError.Address, unsentError.Cause)
}

// Unwrap returns the cause.
func (unsentError *UnsentError) Unwrap() error { return unsentError.Cause }

// BrokenError reports that a request, which may have run, got no complete response.
type BrokenError struct {
	Address string
	Cause   error
}

// Error implements [error].
func (brokenError *BrokenError) Error() string {
	return fmt.Sprintf("incomplete response from %s: %v", brokenError.Address, brokenError.Cause)
}

// Unwrap returns the cause.
func (brokenError *BrokenError) Unwrap() error { return brokenError.Cause }

// CanceledError reports that a request was no longer wanted when its connection was
// ready.
type CanceledError struct{}

// Error implements [error].
func (*CanceledError) Error() string { return "request canceled before it was sent" }

// HeaderSizeError reports that the header of a response is too long.
type HeaderSizeError struct {
	// Bytes is the limit that was exceeded.
	Bytes int
}

// Error implements [error].
func (headerSizeError *HeaderSizeError) Error() string {
	return fmt.Sprintf("response header exceeds %d bytes", headerSizeError.Bytes)
}

// FieldNameError reports a response with a field whose name is no token.
type FieldNameError struct {
	Name string
}

// Error implements [error].
func (fieldNameError *FieldNameError) Error() string {
	return fmt.Sprintf("response has a field named %q", fieldNameError.Name)
}

// FoldedFieldError reports a response with a line that reads as a field, but belongs to the value
// of the field before it as it begins with a blank.
type FoldedFieldError struct {
	Line string
}

// Error implements [error].
func (foldedFieldError *FoldedFieldError) Error() string {
	return fmt.Sprintf("response has the folded field %.100q", foldedFieldError.Line)
}

// CodingError reports a response with a transfer coding in a version of HTTP that has none.
type CodingError struct {
	Line string
}

// Error implements [error].
func (codingError *CodingError) Error() string {
	return fmt.Sprintf("response has the coding %.100q before %s", codingError.Line, firstCodingVersion)
}

// SplicedError reports a response whose header or body encloses the beginning of another
// one.
type SplicedError struct {
	// StatusLine is the beginning of the enclosed response.
	StatusLine string
}

// Error implements [error].
func (splicedError *SplicedError) Error() string {
	return fmt.Sprintf("response encloses another response, which begins with %q", splicedError.StatusLine)
}

// UnreadRequestError reports a response without a length whose connection was reset, or, in a
// success, closed, before the server had read the request, so that its body may be incomplete.
type UnreadRequestError struct {
	Status int
}

// Error implements [error].
func (unreadRequestError *UnreadRequestError) Error() string {
	return fmt.Sprintf("connection ended before the request was read, after status %d and a part of the body", unreadRequestError.Status)
}

// MismatchError reports responses on a connection that belong to other requests.
type MismatchError struct {
	Responses int
}

// Error implements [error].
func (mismatchError *MismatchError) Error() string {
	return fmt.Sprintf("received %d responses that belong to other requests", mismatchError.Responses)
}

// StatusError reports a response with an unexpected status.
type StatusError struct {
	Status int
}

// Error implements [error].
func (statusError *StatusError) Error() string {
	return fmt.Sprintf("status %03d %s", statusError.Status, http.StatusText(statusError.Status))
}
