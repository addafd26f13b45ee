package call

import (
	"fmt"
	"time"
)

// Refusal is the error that ends a request. Match it with errors.As.
type Refusal struct {
	// Code identifies the reason.
	Code Code
	// Message explains the reason to the caller. It must not contain secrets.
	Message string
	// Outcome states whether the request ran. Nil means [Unknown].
	Outcome Outcome
	// RetryAfter is the time after which to retry; zero means that a retry will
	// not help.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s)", refusal.Code, refusal.Message, refusal.OutcomeOrUnknown())
}

// OutcomeOrUnknown returns the outcome, or [Unknown] if none is set.
func (refusal *Refusal) OutcomeOrUnknown() Outcome {
	if refusal.Outcome == nil {
		return Unknown{}
	}
	return refusal.Outcome
}
