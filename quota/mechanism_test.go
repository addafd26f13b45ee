package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// fixedLimits gives every account the same limit.
type fixedLimits struct{ limit Limit }

func (fixedLimits fixedLimits) Limit(names.ClientAccount) (Limit, bool) {
	return fixedLimits.limit, true
}

var (
	epochStart = time.Unix(1000, 0)
	forever    = epochStart.Add(time.Hour)
	// portionLimit gives each portion a capacity of 100 tokens and a rate of 100
	// tokens per second.
	portionLimit = fixedLimits{limit: Limit{Rate: 300, Burst: 300}}
)

func at(elapsed time.Duration) time.Time { return epochStart.Add(elapsed) }

func lendAll(lender *Lender, now, until time.Time, borrower names.Instance, ask Ask) Grant {
	ask.Account, ask.Epoch, ask.Partial = fuzzAccount, lender.Epoch(), true
	grants, held := lender.Exchange(now, until, borrower, []Ask{ask}, portionLimit)
	if !held {
		return Grant{}
	}
	return grants[0]
}

// fullLender returns a lender whose portions are full.
func fullLender(epoch int64, switches Switches) *Lender {
	return NewLender(LenderConfig{Start: at(-time.Hour), Epoch: epoch, Switches: switches})
}

// issuedWithSpentLoan drains a lender that has refilled for half a second,
// reports the loan as spent and drains the lender again at once.
func issuedWithSpentLoan(switches Switches) call.Tokens {
	lender := NewLender(LenderConfig{Start: at(-time.Second / 2), Epoch: 1, Switches: switches})
	first := lendAll(lender, at(0), forever, "entry1", Ask{Need: 100})
	second := lendAll(lender, at(0), forever, "entry1", Ask{Loan: first.Loan, Spent: first.Lent, Need: 100})
	return second.Lent
}

// issuedAfterTakeover drains a lender and its successor at the same time.
func issuedAfterTakeover(switches Switches) call.Tokens {
	first := lendAll(fullLender(1, switches), at(0), forever, "entry1", Ask{Need: 100})
	successor := NewLender(LenderConfig{Start: at(0), Epoch: 2, Switches: switches})
	return first.Lent + lendAll(successor, at(0), forever, "entry1", Ask{Need: 100}).Lent
}

// issuedAfterLeaseEnd drains a lender after its lease has expired, and its
// successor, which has refilled meanwhile.
func issuedAfterLeaseEnd(switches Switches) call.Tokens {
	old := fullLender(1, switches)
	successor := NewLender(LenderConfig{Start: at(SeatLeaseLength), Epoch: 2, Switches: switches})
	woken := lendAll(old, at(2*SeatLeaseLength), at(SeatLeaseLength), "entry1", Ask{Need: 100})
	return woken.Lent + lendAll(successor, at(2*SeatLeaseLength), forever, "entry2", Ask{Need: 100}).Lent
}

// issuedAfterReclaim lends to an entry that has not spent its tokens yet, runs
// the lender's tick and lends to another entry.
func issuedAfterReclaim(switches Switches) call.Tokens {
	lender := fullLender(1, switches)
	balance := NewBalance(BalanceConfig{Account: fuzzAccount, Switches: switches})
	balance.AddWaiting(100)
	pendingAsk := balance.Borrow(at(0), 0, true)
	grants, _ := lender.Exchange(at(0), forever, "entry1", []Ask{pendingAsk.Ask}, portionLimit)
	balance.ApplyGrant(at(0), pendingAsk, grants[0], portionLimit.limit)
	lender.Tick(at(time.Second), portionLimit)
	other := lendAll(lender, at(2*time.Second), forever, "entry2", Ask{Need: 100})
	return balance.Spendable(at(2*time.Second)) + other.Lent
}

// issuedOnLateAnswer lends to an entry that receives the answer late, and drains
// the portion once the lender has dropped the loan.
func issuedOnLateAnswer(switches Switches) call.Tokens {
	lender := fullLender(1, switches)
	balance := NewBalance(BalanceConfig{Account: fuzzAccount, Switches: switches})
	balance.AddWaiting(100)
	pendingAsk := balance.Borrow(at(0), 0, true)
	grants, _ := lender.Exchange(at(0), forever, "entry1", []Ask{pendingAsk.Ask}, portionLimit)
	balance.ApplyGrant(at(3*time.Second), pendingAsk, grants[0], portionLimit.limit)
	lender.Tick(at(5*time.Second), portionLimit)
	later := at(13 * time.Second / 2)
	return balance.Spendable(later) + lendAll(lender, later, forever, "entry2", Ask{Need: 100}).Lent
}

// issuedOnRefund spends a full portion three times, with a refill in between,
// refunds everything and counts what can be borrowed at once.
func issuedOnRefund(switches Switches) call.Tokens {
	lender := fullLender(1, switches)
	loan := lendAll(lender, at(0), forever, "entry1", Ask{Need: 100})
	stamps := make([]int64, 0, 3)
	for i := range 3 {
		now := at(time.Duration(i) * 2 * time.Second)
		report := lendAll(lender, now, forever, "entry1", Ask{Loan: loan.Loan, Spent: loan.Lent})
		stamps = append(stamps, report.Stamp)
		loan = lendAll(lender, now.Add(2*time.Second), forever, "entry1", Ask{Loan: loan.Loan, Spent: loan.Lent, Need: 100})
	}
	now := at(6 * time.Second)
	issued := call.Tokens(100)
	for i, stamp := range stamps {
		refund := Ask{Loan: loan.Loan, Spent: loan.Lent, Need: 100, Batch: int64(i + 1), Refunds: []Refund{{Stamp: stamp, Tokens: 100}}}
		before := loan.Lent
		loan = lendAll(lender, now, forever, "entry1", refund)
		issued += loan.Lent - before
	}
	return issued
}

// lentDuringTakeover isolates a holder from the service while another holder
// votes for it and a third instance prepares to take over its seat. It returns
// what the holder and its successor lend at the same time.
func lentDuringTakeover(switches Switches) call.Tokens {
	record := func(seat int, holder names.Instance) Record {
		return NewRecord(RecordConfig{Seat: seat, Epoch: 1, Holder: holder}).withRevision(1)
	}
	records := []Record{record(0, "cut"), record(1, "voter")}
	held := NewSeatLease(SeatLeaseConfig{Record: records[0], Switches: switches})
	voter := NewSeatLease(SeatLeaseConfig{Record: records[1], Switches: switches})
	held.Renew(records[0], at(0), records)
	lender := fullLender(1, switches)
	takeover := NewTakeover(TakeoverConfig{Self: "successor", Switches: switches})
	for i := range 20 {
		now := at(time.Duration(i) * time.Second)
		voter.Renew(records[1], now, records)
		for _, each := range held.Voters() {
			if vote := held.NewVote(each); voter.CastVote(now, vote) {
				held.Confirm(vote.Revision, now)
			}
		}
		takeover.Observe(now, records)
		if takeover.Ready(now) {
			successor := NewLender(LenderConfig{Start: now, Epoch: 2, Switches: switches})
			now = now.Add(time.Second)
			return lendAll(lender, now, held.Until(), "entry1", Ask{Need: 100}).Lent +
				lendAll(successor, now, forever, "entry2", Ask{Need: 100}).Lent
		}
		for _, each := range takeover.VoteRequests(now) {
			if voter.CastVote(now, each.Vote) {
				takeover.AddPromise(now, each.Voter, each.Vote)
			}
		}
	}
	return 0
}

func TestMechanismsHoldThePortion(t *testing.T) {
	cases := []struct {
		name    string
		off     Switches
		issued  func(Switches) call.Tokens
		allowed call.Tokens
	}{
		{name: "debit before credit", off: Switches{CreditBeforeDebit: true}, issued: issuedWithSpentLoan, allowed: 50},
		{name: "empty start of a new lender", off: Switches{FullStart: true}, issued: issuedAfterTakeover, allowed: 100},
		{name: "fencing of an expired lease", off: Switches{NoFence: true}, issued: issuedAfterLeaseEnd, allowed: 100},
		{name: "reclaim after the borrower's end", off: Switches{EarlyReclaim: true}, issued: issuedAfterReclaim, allowed: 100},
		{name: "lease counted from the request", off: Switches{LeaseFromAnswer: true}, issued: issuedOnLateAnswer, allowed: 100},
		{name: "refund bounded by history", off: Switches{BlindRefund: true}, issued: issuedOnRefund, allowed: 100},
		{name: "promise before takeover", off: Switches{NoPromise: true}, issued: lentDuringTakeover, allowed: 100},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			without, with := each.issued(each.off), each.issued(Switches{})
			t.Logf("without: %d tokens at once, with: %d, allowed %d", without, with, each.allowed)
			g.Expect(with).To(And(BeNumerically(">", 0), BeNumerically("<=", each.allowed)))
			g.Expect(without).To(BeNumerically(">", each.allowed))
		})
	}
}
