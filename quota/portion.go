package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// prefetchDivisor bounds a loan ahead of need to this part of the level.
const prefetchDivisor = 8

// maxBorrowers bounds the borrowers that a portion remembers.
const maxBorrowers = 2048

// portion is one seat's part of an account's bucket. The level and what is
// outstanding together never exceed the capacity.
type portion struct {
	limit       Limit
	level       float64
	outstanding call.Tokens
	refilledAt      time.Time
	// stamp is the last point of the history, in the count of the home.
	stamp   int64
	history history
	loans   map[int64]*loan
	// appliedBatches holds the last batch of refunds that each borrower had applied.
	appliedBatches map[names.Instance]int64
}

// newPortion returns a portion that was empty at start and untouched since.
// Tokens of earlier homes may have been spent, so it cannot start with any.
func newPortion(start time.Time, stamp int64, limit Limit, switches Switches) *portion {
	portion := &portion{limit: limit, refilledAt: start, stamp: stamp, loans: map[int64]*loan{}, appliedBatches: map[names.Instance]int64{}}
	if switches.FullStart {
		_, portion.level = limit.portion()
	}
	return portion
}

// refill refills the portion up to now, for a clock that may be fast.
func (portion *portion) refill(now time.Time, limit Limit) {
	elapsed := now.Sub(portion.refilledAt).Seconds()
	if elapsed > 0 {
		rate, _ := portion.limit.portion()
		portion.level += elapsed * rate * (1 - ClockDrift)
		portion.refilledAt = now
	}
	portion.limit = limit
	_, capacity := limit.portion()
	portion.level = max(0, min(portion.level, capacity-float64(portion.outstanding)))
	portion.recordHeadroom()
}

// recordHeadroom records the headroom of this moment.
func (portion *portion) recordHeadroom() {
	_, capacity := portion.limit.portion()
	portion.history.record(portion.stamp, max(0, capacity-portion.level-float64(portion.outstanding)), capacity/historyResolution)
}

// applyReport takes in what a borrower tells of its loan.
func (portion *portion) applyReport(loan *loan, ask Ask, stamp int64) {
	if spent := min(ask.Spent, loan.lent-loan.returned) - loan.spent; spent > 0 {
		loan.spent += spent
		portion.outstanding -= spent
	}
	if returned := min(ask.Returned, loan.lent-loan.spent) - loan.returned; returned > 0 {
		loan.returned += returned
		portion.outstanding -= returned
		portion.level += float64(returned)
	}
	portion.stamp = stamp
	portion.recordHeadroom()
}

// applyRefunds puts back what requests reserved and did not use, as far as the
// bucket would hold it had it never been taken.
func (portion *portion) applyRefunds(borrower names.Instance, ask Ask, switches Switches) {
	if ask.Batch <= portion.appliedBatches[borrower] {
		return
	}
	portion.appliedBatches[borrower] = ask.Batch
	_, capacity := portion.limit.portion()
	for _, refund := range ask.Refunds {
		if switches.BlindRefund {
			room := capacity - portion.level - float64(portion.outstanding)
			portion.level += max(0, min(float64(refund.Tokens), room))
			continue
		}
		portion.level += portion.history.refund(refund.Stamp, float64(refund.Tokens))
	}
}

// lend moves tokens from the level to the loan. It lends the need whole or not
// at all, unless a part is asked for, so that refused requests hold nothing.
func (portion *portion) lend(loan *loan, ask Ask, switches Switches) {
	available := call.Tokens(portion.level)
	tokens := min(ask.Need, available)
	switch {
	case tokens == ask.Need:
		tokens += min(ask.Prefetch, (available-tokens)/prefetchDivisor)
	case !ask.Partial:
		tokens = 0
	}
	tokens = max(0, tokens)
	loan.lent += tokens
	portion.outstanding += tokens
	if !switches.CreditBeforeDebit {
		portion.level -= float64(tokens)
	}
}

// dropExpiredLoans drops the loans whose borrowers have surely stopped.
func (portion *portion) dropExpiredLoans(now time.Time, switches Switches) {
	for id, loan := range portion.loans {
		if switches.EarlyReclaim {
			portion.outstanding -= loan.outstanding()
			portion.level += float64(loan.outstanding())
			delete(portion.loans, id)
			continue
		}
		if now.Before(loan.expires) {
			continue
		}
		portion.outstanding -= loan.outstanding()
		delete(portion.loans, id)
	}
}

// disposable tells that the portion is full and lends nothing, so that a new one,
// which fills from the start of the tenure, would be the same.
func (portion *portion) disposable() bool {
	_, capacity := portion.limit.portion()
	return len(portion.loans) == 0 && portion.level >= capacity
}

// limitBorrowers forgets old batches once there are too many borrowers, and with them
// the history, so that none of the forgotten can be applied again.
func (portion *portion) limitBorrowers() {
	if len(portion.appliedBatches) <= maxBorrowers {
		return
	}
	portion.appliedBatches = map[names.Instance]int64{}
	portion.history = history{}
	portion.recordHeadroom()
}

// loansOf counts the loans of one borrower.
func (portion *portion) loansOf(borrower names.Instance) int {
	count := 0
	for _, loan := range portion.loans {
		if loan.borrower == borrower {
			count++
		}
	}
	return count
}
