package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/call"
)

// portionReservation is a reservation from one portion that may be refunded
// later.
type portionReservation struct {
	stamp    int64
	admitted *admission
}

// runRefunds runs one borrower that spends at once what one portion lends, and
// refunds parts of it much later. It returns the excess over the portion's own
// limit.
func runRefunds(choose chooseFunc, switches Switches, steps int) float64 {
	lender := fullLender(1, switches)
	portionOracle := oracle{limit: Limit{Rate: 100, Burst: 100}}
	now := time.Duration(0)
	var loan Grant
	var running []portionReservation
	batch := int64(0)
	for range steps {
		ask := Ask{Loan: loan.Loan, Spent: loan.Lent, Batch: batch}
		switch choose(4) {
		case 0:
			now += time.Duration(choose(400)) * time.Millisecond
		case 1:
			if len(running) > 0 {
				index := choose(len(running))
				unused := running[index].admitted.tokens * call.Tokens(choose(3)) / 2
				running[index].admitted.tokens -= unused
				batch++
				ask.Batch, ask.Refunds = batch, []Refund{{Stamp: running[index].stamp, Tokens: unused}}
				running = append(running[:index], running[index+1:]...)
			}
		default:
			ask.Need = call.Tokens(1 + choose(60))
		}
		before := loan
		loan = lendAll(lender, at(now), forever, "entry1", ask)
		if loan.Loan != before.Loan {
			before.Lent = 0
		}
		if tokens := loan.Lent - before.Lent; tokens > 0 {
			report := lendAll(lender, at(now), forever, "entry1", Ask{Loan: loan.Loan, Spent: loan.Lent, Batch: batch})
			running = append(running, portionReservation{stamp: report.Stamp, admitted: portionOracle.admit(now, tokens)})
		}
	}
	return portionOracle.excess()
}

func TestRefundsNeverExceedThePortion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draws := uint64(0)
		choose := func(n int) int {
			draws++
			return int(mix(rapid.Uint64().Draw(t, "choice")+draws) % uint64(n))
		}
		if excess := runRefunds(choose, Switches{}, rapidSteps); excess > rounding {
			t.Fatalf("issued %.3f tokens above the portion", excess)
		}
	})
}

func TestFuzzFindsBlindRefunds(t *testing.T) {
	g := NewWithT(t)
	with, without, most := 0, 0, 0.0
	for seed := range uint64(seededRuns) {
		random := rand.New(rand.NewPCG(seed, 2))
		if runRefunds(random.IntN, Switches{}, rapidSteps) > rounding {
			with++
		}
		random = rand.New(rand.NewPCG(seed, 2))
		excess := runRefunds(random.IntN, Switches{BlindRefund: true}, rapidSteps)
		if excess > rounding {
			without++
		}
		most = max(most, excess)
	}
	t.Logf("of %d runs above the portion: %d with, %d without (by up to %.0f tokens)", seededRuns, with, without, most)
	g.Expect(with).To(BeZero())
	g.Expect(without).To(BeNumerically(">", 0))
}
