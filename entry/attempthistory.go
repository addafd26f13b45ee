package entry

import "github.com/basilkeel/basilkeel/call"

// attemptHistory accumulates the refusals of a job's attempts.
type attemptHistory struct {
	last    *call.Refusal
	outcome call.Outcome
}

// add records the refusal of one attempt.
func (attemptHistory *attemptHistory) add(refusal *call.Refusal) {
	attemptHistory.last = refusal
	if attemptHistory.outcome == nil {
		attemptHistory.outcome = call.NotRun{}
	}
	attemptHistory.outcome = call.CombineOutcomes(attemptHistory.outcome, refusal.OutcomeOrUnknown())
}

// finalRefusal returns the refusal for the caller, whose outcome covers all
// attempts. It is the last refusal of a server if there is one, since that
// says more than stop, which only says that no further server can be tried.
func (attemptHistory *attemptHistory) finalRefusal(stop *call.Refusal) *call.Refusal {
	if attemptHistory.last == nil {
		return stop
	}
	final := *attemptHistory.last
	final.Outcome = attemptHistory.outcome
	return &final
}
