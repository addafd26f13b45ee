package claim

// Submission tries the candidates for an operation's shard in order, beginning
// with the one that usually writes the shard. It does no I/O.
type Submission struct {
	operation  Operation
	candidates int
	rank       int
	// mayApply reports whether a candidate may have carried out the operation,
	// or may yet.
	mayApply bool
}

// NewSubmission returns a submission that begins with the first of a number of
// candidates.
func NewSubmission(operation Operation, candidates int) *Submission {
	return &Submission{operation: operation, candidates: candidates}
}

// Rank returns the index of the candidate to try now.
func (submission *Submission) Rank() int { return submission.rank }

// HandleReply handles the reply of the candidate that was tried. It returns the
// result of the submission, or nil if the next candidate is to be tried.
func (submission *Submission) HandleReply(reply Reply) *SubmissionResult {
	if failed, ok := reply.(Failed); ok {
		return submission.HandleNoReply(failed.MayApply)
	}
	_, granted := reply.(Granted)
	return submission.end(reply, !granted)
}

// HandleNoReply handles the failure of the candidate to reply; delivered reports
// whether the operation may have reached it. It returns the same as
// [Submission.HandleReply].
func (submission *Submission) HandleNoReply(delivered bool) *SubmissionResult {
	submission.mayApply = submission.mayApply || delivered
	submission.rank++
	if submission.rank < submission.candidates {
		return nil
	}
	return submission.Abort(false)
}

// Abort ends the submission without a reply; delivered is as for
// [Submission.HandleNoReply].
func (submission *Submission) Abort(delivered bool) *SubmissionResult {
	submission.mayApply = submission.mayApply || delivered
	return submission.end(Failed{MayApply: submission.mayApply}, true)
}

// end returns the result of the submission. If a claim was requested, not
// granted, and may exist, the result withdraws it: the call was not sent and
// never will be.
func (submission *Submission) end(reply Reply, withdraw bool) *SubmissionResult {
	submissionResult := &SubmissionResult{Reply: reply}
	if begin, ok := submission.operation.(Begin); ok && withdraw && submission.mayApply {
		submissionResult.Withdraw = &Release{Claim: begin.Claim}
	}
	return submissionResult
}
