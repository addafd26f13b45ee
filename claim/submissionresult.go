package claim

// SubmissionResult is the result of a [Submission].
type SubmissionResult struct {
	Reply Reply
	// Withdraw, if not nil, must be submitted until it succeeds.
	Withdraw *Release
}
