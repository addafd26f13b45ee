package claim

// Submission is one operation's way through the candidates for its shard, the
// first being the one that usually writes it. It does no I/O.
type Submission struct {
	operation  Operation
	candidates int
	rank       int
	// mayApply tells that a candidate can have carried out the operation, or can
	// still.
	mayApply bool
}

// NewSubmission returns a session that starts at candidate 0 of candidates.
func NewSubmission(operation Operation, candidates int) *Submission {
	return &Submission{operation: operation, candidates: candidates}
}

// Rank is the candidate to ask now.
func (submission *Submission) Rank() int { return submission.rank }

// HandleReply takes in the reply of the candidate asked. It returns how the
// session ends, or nil where the next candidate is to be asked.
func (submission *Submission) HandleReply(reply Reply) *SubmissionResult {
	if failed, ok := reply.(Failed); ok {
		return submission.HandleNoReply(failed.MayApply)
	}
	_, granted := reply.(Granted)
	return submission.end(reply, !granted)
}

// HandleNoReply takes in that the candidate gave no reply; delivered tells that the
// operation can have reached it. It returns like [Submission.HandleReply].
func (submission *Submission) HandleNoReply(delivered bool) *SubmissionResult {
	submission.mayApply = submission.mayApply || delivered
	submission.rank++
	if submission.rank < submission.candidates {
		return nil
	}
	return submission.Abort(false)
}

// Abort ends the session without a reply; delivered is as for [Submission.HandleNoReply].
func (submission *Submission) Abort(delivered bool) *SubmissionResult {
	submission.mayApply = submission.mayApply || delivered
	return submission.end(Failed{MayApply: submission.mayApply}, true)
}

// end withdraws a claim that was asked for, not granted, and may exist: its
// call is not sent and never will be.
func (submission *Submission) end(reply Reply, withdraw bool) *SubmissionResult {
	submissionResult := &SubmissionResult{Reply: reply}
	if begin, ok := submission.operation.(Begin); ok && withdraw && submission.mayApply {
		submissionResult.Withdraw = &Release{Claim: begin.Claim}
	}
	return submissionResult
}
