package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// maxLoans bounds the loans of one borrower from one portion.
const maxLoans = 8

// LenderConfig configures a [Lender].
type LenderConfig struct {
	// Start is when the seat lease began; portions are empty then and refill from
	// then on.
	Start    time.Time
	Epoch    int64
	Switches Switches
}

// Lender lends the tokens of one seat of one shard for one holder's epoch. It
// is pure decision code and not safe for concurrent use.
type Lender struct {
	config   LenderConfig
	portions map[names.ClientAccount]*portion
	lastLoan int64
	// stamp counts reports. All portions share the count, so that a stamp of a
	// dropped portion is never mistaken for one of its successor.
	stamp int64
}

// NewLender returns a lender without portions or loans.
func NewLender(config LenderConfig) *Lender {
	return &Lender{config: config, portions: map[names.ClientAccount]*portion{}}
}

// Epoch returns the holder's epoch.
func (lender *Lender) Epoch() int64 { return lender.config.Epoch }

// Portions returns the number of accounts that the lender has state for.
func (lender *Lender) Portions() int { return len(lender.portions) }

// Loans returns the number of loans that have not expired.
func (lender *Lender) Loans() int {
	count := 0
	for _, portion := range lender.portions {
		count += len(portion.loans)
	}
	return count
}

// Exchange applies the reports of borrower and lends what it asks for, as far
// as the limits allow. until is when the seat lease ends on the local clock;
// from then on the second result is false and nothing changes.
func (lender *Lender) Exchange(now, until time.Time, borrower names.Instance, asks []Ask, limits Limits) ([]Grant, bool) {
	if !now.Before(until) && !lender.config.Switches.NoFence {
		return nil, false
	}
	length := min(LoanLength, until.Sub(now))
	if lender.config.Switches.NoFence {
		length = LoanLength
	}
	grants := make([]Grant, 0, len(asks))
	for _, ask := range asks {
		limit, known := limits.Limit(ask.Account)
		if !known {
			continue
		}
		if grant, ok := lender.answerAsk(now, length, borrower, ask, limit); ok {
			grants = append(grants, grant)
		}
	}
	return grants, true
}

// Tick drops expired loans, and portions that a new one would equal.
func (lender *Lender) Tick(now time.Time, limits Limits) {
	for account, portion := range lender.portions {
		limit, known := limits.Limit(account)
		if !known {
			limit = Limit{}
		}
		portion.refill(now, limit)
		portion.dropExpiredLoans(now, lender.config.Switches)
		portion.limitBorrowers()
		if portion.disposable() {
			delete(lender.portions, account)
		}
	}
}

// answerAsk applies one ask and returns its grant.
func (lender *Lender) answerAsk(now time.Time, length time.Duration, borrower names.Instance, ask Ask, limit Limit) (Grant, bool) {
	portion := lender.portion(ask.Account, limit)
	portion.refill(now, limit)
	portion.dropExpiredLoans(now, lender.config.Switches)
	id, loan, ok := lender.loan(portion, borrower, ask)
	if !ok {
		return Grant{}, false
	}
	if id == ask.Loan {
		lender.stamp++
		portion.applyReport(loan, ask, lender.stamp)
	}
	if ask.Epoch == lender.config.Epoch {
		portion.applyRefunds(borrower, ask, lender.config.Switches)
	}
	portion.lend(loan, ask, lender.config.Switches)
	if ends := now.Add(length); ends.After(loan.expires) {
		loan.expires = ends
	}
	grant := Grant{
		Account:   ask.Account,
		Epoch:     lender.config.Epoch,
		Loan:      id,
		Lent:      loan.lent,
		Lease:     shortenForDrift(length),
		Stamp:     lender.stamp,
		Batch:     portion.appliedBatches[borrower],
		Available: call.Tokens(portion.level),
	}
	return grant, true
}

// loan returns the loan that ask names, or opens one if that does not exist.
// The third result is false if the borrower has too many loans.
func (lender *Lender) loan(portion *portion, borrower names.Instance, ask Ask) (int64, *loan, bool) {
	known, ok := portion.loans[ask.Loan]
	if ok && ask.Epoch == lender.config.Epoch && known.borrower == borrower {
		return ask.Loan, known, true
	}
	if portion.loansOf(borrower) >= maxLoans {
		return 0, nil, false
	}
	lender.lastLoan++
	opened := &loan{borrower: borrower}
	portion.loans[lender.lastLoan] = opened
	return lender.lastLoan, opened, true
}

// portion returns the portion of an account and creates it if necessary.
func (lender *Lender) portion(account names.ClientAccount, limit Limit) *portion {
	known, ok := lender.portions[account]
	if ok {
		return known
	}
	opened := newPortion(lender.config.Start, lender.stamp, limit, lender.config.Switches)
	lender.portions[account] = opened
	return opened
}
