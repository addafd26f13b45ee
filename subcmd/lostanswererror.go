package subcmd

import "fmt"

// lostAnswerError reports that no answer to a change arrived, so that the change
// may or may not have taken effect.
type lostAnswerError struct {
	cause error
}

// Error implements error.
func (lostAnswerError *lostAnswerError) Error() string {
	return fmt.Sprintf("the answer was lost and a change may have taken effect; repeat it with the same change id: %v", lostAnswerError.cause)
}

// Unwrap returns the error of the last attempt.
func (lostAnswerError *lostAnswerError) Unwrap() error { return lostAnswerError.cause }
