package entry

import "github.com/basilkeel/basilkeel/call"

// attemptHistory collects how the attempts of one job ended.
type attemptHistory struct {
	last    *call.Refusal
	outcome call.Outcome
}

// add takes in the end of one attempt.
func (attemptHistory *attemptHistory) add(refusal *call.Refusal) {
	attemptHistory.last = refusal
	if attemptHistory.outcome == nil {
		attemptHistory.outcome = call.NotRun{}
	}
	attemptHistory.outcome = call.Worst(attemptHistory.outcome, refusal.Result())
}

// finalRefusal returns the final refusal, whose outcome covers all attempts. What a
// server said tells the caller more than stop, the want of a further server.
func (attemptHistory *attemptHistory) finalRefusal(stop *call.Refusal) *call.Refusal {
	if attemptHistory.last == nil {
		return stop
	}
	final := *attemptHistory.last
	final.Outcome = attemptHistory.outcome
	return &final
}
