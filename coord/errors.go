package coord

import (
	"fmt"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// NotCoordinatingError reports a call to an entry that does not coordinate.
type NotCoordinatingError struct {
	Instance names.Instance
}

// Error implements error.
func (notCoordinatingError *NotCoordinatingError) Error() string {
	return fmt.Sprintf("instance %q does not coordinate", notCoordinatingError.Instance)
}

// NoCoordinatorError reports that no coordinator is known.
type NoCoordinatorError struct{}

// Error implements error.
func (*NoCoordinatorError) Error() string { return "no coordinator is known" }

// UnknownAccountError reports an account that the policy in force lacks.
type UnknownAccountError struct {
	Account names.ClientAccount
}

// Error implements error.
func (unknownAccountError *UnknownAccountError) Error() string {
	return fmt.Sprintf("client account %q is not in the policy in force", unknownAccountError.Account)
}

// NoAnswerError reports a coordinator that is not asked, as it has just left a
// request without an answer.
type NoAnswerError struct {
	// Since is how long ago that was.
	Since time.Duration
}

// Error implements error.
func (noAnswerError *NoAnswerError) Error() string {
	return fmt.Sprintf("the coordinator left a request without an answer %v ago", noAnswerError.Since)
}
