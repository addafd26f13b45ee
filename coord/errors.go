package coord

import (
	"fmt"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// NotCoordinatingError reports a call to an entry that is not the coordinator.
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

// NoTermError reports a reply without a term, which is none of a coordinator.
type NoTermError struct{}

// Error implements error.
func (*NoTermError) Error() string { return "the reply has no term" }

// UnknownAccountError reports a client account that the policy in force does not
// contain.
type UnknownAccountError struct {
	Account names.ClientAccount
}

// Error implements error.
func (unknownAccountError *UnknownAccountError) Error() string {
	return fmt.Sprintf("client account %q is not in the policy in force", unknownAccountError.Account)
}

// NoAnswerError reports a request for a loan, a permit or a probe that was not sent because the
// coordinator has just failed to answer another one.
type NoAnswerError struct {
	// Since is the time since the coordinator failed to answer.
	Since time.Duration
}

// Error implements error.
func (noAnswerError *NoAnswerError) Error() string {
	return fmt.Sprintf("the coordinator failed to answer a request %v ago", noAnswerError.Since)
}

// OutcomeError reports a reply of the coordinator with an unknown outcome.
type OutcomeError struct {
	Outcome string
}

// Error implements error.
func (outcomeError *OutcomeError) Error() string {
	return fmt.Sprintf("the coordinator replied with the unknown outcome %q", outcomeError.Outcome)
}
