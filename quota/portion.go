package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// prefetchDivisor bounds a prefetch to this part of what remains of the level.
const prefetchDivisor = 8

// maxBorrowers bounds the borrowers whose refund batches a portion tracks.
const maxBorrowers = 2048

// portion is one seat's part of an account's bucket. refill keeps the sum of
// level and outstanding within the capacity. After the limit is lowered,
// outstanding loans alone may exceed it until they end.
type portion struct {
	limit       Limit
	level       float64
	outstanding call.Tokens
	refilledAt  time.Time
	// stamp is the last point of the history, in the lender's count.
	stamp   int64
	history history
	loans   map[int64]*loan
	// appliedBatches holds the last applied batch of refunds by borrower.
	appliedBatches map[names.Instance]int64
}

// newPortion returns a portion that was empty at start and not used since.
// Earlier holders may have lent all its tokens, so it cannot start with any.
func newPortion(start time.Time, stamp int64, limit Limit, switches Switches) *portion {
	portion := &portion{limit: limit, refilledAt: start, stamp: stamp, loans: map[int64]*loan{}, appliedBatches: map[names.Instance]int64{}}
	if switches.FullStart {
		_, portion.level = limit.portion()
	}
	return portion
}

// refill adds the tokens earned up to now, less the drift of a clock that may be
// fast, and applies limit.
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

// recordHeadroom adds the current headroom to the history.
func (portion *portion) recordHeadroom() {
	_, capacity := portion.limit.portion()
	portion.history.record(portion.stamp, max(0, capacity-portion.level-float64(portion.outstanding)), capacity/historyResolution)
}

// applyReport applies what a borrower reports of its loan.
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

// applyRefunds restores tokens that requests reserved and did not use, as far as
// the bucket would still contain them if they had never been taken.
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

// lend moves tokens from the level to the loan. Unless the ask accepts a part,
// it lends the whole need or nothing, so that refused requests borrow nothing.
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

// dropExpiredLoans drops the loans whose borrowers have certainly stopped
// spending. Unreported tokens may have been spent, so they are not restored.
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

// disposable reports whether the portion is full and has no loans, so that a new
// one, which refills from the start of the seat lease, would be the same.
func (portion *portion) disposable() bool {
	_, capacity := portion.limit.portion()
	return len(portion.loans) == 0 && portion.level >= capacity
}

// limitBorrowers clears appliedBatches if there are too many borrowers. It also
// clears the history, so that no cleared batch can be applied again.
func (portion *portion) limitBorrowers() {
	if len(portion.appliedBatches) <= maxBorrowers {
		return
	}
	portion.appliedBatches = map[names.Instance]int64{}
	portion.history = history{}
	portion.recordHeadroom()
}

// loansOf returns the number of loans of one borrower.
func (portion *portion) loansOf(borrower names.Instance) int {
	count := 0
	for _, loan := range portion.loans {
		if loan.borrower == borrower {
			count++
		}
	}
	return count
}
