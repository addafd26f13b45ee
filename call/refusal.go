package call

import (
	"fmt"
	"time"
)

// Refusal is the final error of a request. Match it with errors.As.
type Refusal struct {
	// Code names the reason.
	Code Code
	// Message explains the reason to the caller; it never holds a secret.
	Message string
	// Outcome tells whether the request ran. Nil means [Unknown].
	Outcome Outcome
	// RetryAfter tells when to come back; zero means that a repeat will not help.
	RetryAfter time.Duration
}

// Error implements error.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s)", refusal.Code, refusal.Message, refusal.OutcomeOrUnknown())
}

// OutcomeOrUnknown returns the outcome, and [Unknown] where none was stated.
func (refusal *Refusal) OutcomeOrUnknown() Outcome {
	if refusal.Outcome == nil {
		return Unknown{}
	}
	return refusal.Outcome
}
