package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// maxRefunds bounds the refunds of one batch. Further ones are merged into the
// last, with the earliest stamp, which can only lower what is refunded.
const maxRefunds = 16

// credit is an entry's state of one account's loan from one seat.
type credit struct {
	epoch    int64
	loan     int64
	lent     call.Tokens
	spent    call.Tokens
	returned call.Tokens
	expires  time.Time
	stamp    int64

	// openCohort holds the reservations that are in no report yet, reportedCohort
	// those of the report in progress.
	openCohort      *cohort
	reportedCohort  *cohort
	pendingSequence int64
	sentAt          time.Time

	// batch is the sequence number of sentRefunds, which are resent until applied.
	batch         int64
	sentRefunds   []Refund
	queuedRefunds []Refund

	// retryAt is when the seat is worth asking again.
	retryAt   time.Time
	available call.Tokens
	// availableAt is when available was received; zero means never.
	availableAt     time.Time
	unreportedSince time.Time
}

func newCredit() *credit { return &credit{openCohort: &cohort{}} }

// spendable returns the number of tokens that may be spent at now.
func (credit *credit) spendable(now time.Time) call.Tokens {
	if !now.Before(credit.expires) {
		return 0
	}
	return credit.lent - credit.spent - credit.returned
}

// estimate returns how many tokens the seat may be able to lend at now.
func (credit *credit) estimate(now time.Time, rate, capacity float64) float64 {
	if credit.availableAt.IsZero() {
		return capacity
	}
	return min(capacity, float64(credit.available)+rate*now.Sub(credit.availableAt).Seconds())
}

// spend spends up to tokens and returns the part that it spent.
func (credit *credit) spend(now time.Time, seat int, tokens call.Tokens) Part {
	tokens = min(tokens, credit.spendable(now))
	credit.spent += tokens
	credit.markChanged(now)
	return Part{seat: seat, cohort: credit.openCohort, tokens: tokens}
}

// settle returns the unused tokens of a reservation of cohort. An unreported
// reservation is simply not spent; a reported one has to be refunded.
func (credit *credit) settle(now time.Time, cohort *cohort, unused call.Tokens) {
	switch cohort {
	case credit.openCohort:
		credit.spent -= unused
	case credit.reportedCohort:
		cohort.deferredRefund += unused
	default:
		credit.refund(cohort, unused)
	}
	credit.markChanged(now)
}

// markChanged records that there is a change to report to the holder.
func (credit *credit) markChanged(now time.Time) {
	if credit.unreportedSince.IsZero() {
		credit.unreportedSince = now
	}
}

// refund queues tokens for the holder that lent them, unless it was replaced.
func (credit *credit) refund(cohort *cohort, tokens call.Tokens) {
	if cohort.epoch != credit.epoch || tokens <= 0 {
		return
	}
	for i := range credit.queuedRefunds {
		same := credit.queuedRefunds[i].Stamp == cohort.stamp
		if same || i == maxRefunds-1 {
			credit.queuedRefunds[i].Stamp = min(credit.queuedRefunds[i].Stamp, cohort.stamp)
			credit.queuedRefunds[i].Tokens += tokens
			return
		}
	}
	credit.queuedRefunds = append(credit.queuedRefunds, Refund{Stamp: cohort.stamp, Tokens: tokens})
}

// newAsk builds the report to the holder and closes the open cohort.
func (credit *credit) newAsk(now time.Time, sequence int64, account names.ClientAccount) Ask {
	if len(credit.sentRefunds) == 0 && len(credit.queuedRefunds) > 0 {
		credit.sentRefunds, credit.queuedRefunds = credit.queuedRefunds, nil
		credit.batch++
	}
	credit.close()
	credit.pendingSequence, credit.sentAt = sequence, now
	credit.unreportedSince = time.Time{}
	return Ask{
		Account:  account,
		Epoch:    credit.epoch,
		Loan:     credit.loan,
		Spent:    credit.spent,
		Returned: credit.returned,
		Batch:    credit.batch,
		Refunds:  credit.sentRefunds,
	}
}

// close makes the open cohort the reported one. Its stamp is the last one
// known, which is before any stamp at which the report can be counted.
func (credit *credit) close() {
	credit.reportedCohort = credit.openCohort
	credit.reportedCohort.stamp, credit.reportedCohort.epoch = credit.stamp, credit.epoch
	credit.openCohort = &cohort{}
}

// finishAsk ends the report in progress. If its answer was lost, the cohort
// keeps its earlier stamp.
func (credit *credit) finishAsk() {
	cohort := credit.reportedCohort
	credit.reportedCohort, credit.pendingSequence = nil, 0
	credit.refund(cohort, cohort.deferredRefund)
	cohort.deferredRefund = 0
}

// fail ends a report whose answer is lost.
func (credit *credit) fail(now time.Time) {
	credit.finishAsk()
	credit.markChanged(now)
}

// applyGrant applies the answer to the report in progress.
func (credit *credit) applyGrant(grant Grant, switches Switches, now time.Time) {
	leased := credit.sentAt
	if switches.LeaseFromAnswer {
		leased = now
	}
	if grant.Epoch != credit.epoch || grant.Loan != credit.loan {
		credit.replaceLoan(grant)
	} else {
		credit.reportedCohort.stamp = grant.Stamp
	}
	if grant.Batch >= credit.batch {
		credit.sentRefunds, credit.batch = nil, grant.Batch
	}
	credit.lent = max(credit.lent, grant.Lent)
	if until := leased.Add(grant.Lease); until.After(credit.expires) {
		credit.expires = until
	}
	credit.stamp = grant.Stamp
	credit.available = grant.Available
	credit.availableAt = now
	credit.finishAsk()
}

// replaceLoan starts the loan of grant in place of one that the lender has
// dropped or whose lender has been replaced.
func (credit *credit) replaceLoan(grant Grant) {
	if grant.Epoch != credit.epoch {
		credit.queuedRefunds, credit.sentRefunds, credit.batch = nil, nil, 0
	}
	// Reservations made while the report was in progress belong to the old loan.
	late := credit.openCohort
	late.stamp, late.epoch = credit.stamp, credit.epoch
	credit.openCohort = &cohort{}
	credit.epoch, credit.loan = grant.Epoch, grant.Loan
	credit.lent, credit.spent, credit.returned = 0, 0, 0
	credit.expires = time.Time{}
}
