package admin

import "fmt"

// Error codes in JSON responses.
const (
	codeBadRequest   = "badRequest"
	codeTooLarge     = "tooLarge"
	codeUnauthorized = "unauthorized"
	codeForbidden    = "forbidden"
	codeNotFound     = "notFound"
	codeInvalid      = "invalid"
	codeConflict     = "conflict"
	// codeUnknown means that a change may have taken effect or may still do so;
	// the caller must retry it with the same id.
	codeUnknown = "unknown"
	// codeUnavailable means that the platform's key-value service could not be
	// reached and the change has no effect.
	codeUnavailable = "unavailable"
	codeInternal    = "internal"
)

// APIError is the error of a failed request.
type APIError struct {
	// Status is the HTTP status.
	Status  int
	Code    string
	Message string
}

// Error implements error.
func (apiError *APIError) Error() string {
	return fmt.Sprintf("%s: %s", apiError.Code, apiError.Message)
}

// NothingChanged reports whether the change has no effect because the instance
// could not reach the platform's key-value service; another instance may reach
// it.
func (apiError *APIError) NothingChanged() bool { return apiError.Code == codeUnavailable }

// MayTakeEffect reports whether the change may have taken effect or may still
// do so; the caller must retry it with the same id.
func (apiError *APIError) MayTakeEffect() bool { return apiError.Code == codeUnknown }
