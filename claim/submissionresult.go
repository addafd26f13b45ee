package claim

// SubmissionResult is how a [Submission] ends.
type SubmissionResult struct {
	Reply Reply
	// Withdraw is to be submitted, until it succeeds, if it is not nil.
	Withdraw *Release
}
