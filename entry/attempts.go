package entry

import "github.com/basilkeel/basilkeel/call"

// attempts collects how the attempts of one job ended.
type attempts struct {
	last    *call.Refusal
	outcome call.Outcome
}

// add takes in the end of one attempt.
func (attempts *attempts) add(refusal *call.Refusal) {
	attempts.last = refusal
	if attempts.outcome == nil {
		attempts.outcome = call.NotRun{}
	}
	attempts.outcome = call.CombineOutcomes(attempts.outcome, refusal.OutcomeOrUnknown())
}

// conclude returns the final refusal, whose outcome covers all attempts. What a
// server said tells the caller more than stop, the want of a further server.
func (attempts *attempts) conclude(stop *call.Refusal) *call.Refusal {
	if attempts.last == nil {
		return stop
	}
	final := *attempts.last
	final.Outcome = attempts.outcome
	return &final
}
