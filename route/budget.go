package route

// budget limits retries or hedges to a share of the events that earn them.
// Each instance has its own budget, so the whole fleet keeps to the same share.
type budget struct {
	// share is the number of tokens earned with each event.
	share float64
	// burst is the maximum number of tokens kept.
	burst  float64
	tokens float64
}

func newBudget(share, burst float64) budget {
	return budget{share: share, burst: burst, tokens: burst}
}

func (budget *budget) earn() { budget.tokens = min(budget.burst, budget.tokens+budget.share) }

// spend takes one token and reports whether there was one.
func (budget *budget) spend() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
