package quota

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

const allSeats = Shards * Seats

func tokenCount(tokens int) call.Tokens { return call.Tokens(tokens) }

func refusalOf(err error) *call.Refusal {
	var refusal *call.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}

func TestFleetLosesAHolder(t *testing.T) {
	g := NewWithT(t)
	fleet := newFleet(t, fixedLimits{limit: Limit{Rate: 300, Burst: 3000}}, 3)
	fleet.step(12)
	g.Expect(fleet.held()).To(Equal(allSeats))
	fleet.step(12)
	g.Expect(fleet.spend(50)).To(BeNumerically("~", 3000, 200))
	fleet.kill(0)
	granted := 0
	for range 20 {
		fleet.step(1)
		granted += fleet.spend(50)
	}
	g.Expect(granted).To(BeNumerically(">", 20*200*9/10), "two thirds of the rate should remain")
	fleet.removeFromList(0)
	fleet.step(15)
	g.Expect(fleet.held()).To(Equal(allSeats))
	fleet.spend(50)
	g.Expect(fleet.oracle.excess()).To(BeNumerically("<=", rounding))
}

func TestFleetRidesOutAnOutage(t *testing.T) {
	g := NewWithT(t)
	fleet := newFleet(t, fixedLimits{limit: Limit{Rate: 300, Burst: 300}}, 3)
	fleet.step(16)
	fleet.store.set(true, false)
	granted := 0
	for range 60 {
		fleet.step(1)
		granted += fleet.spend(10)
	}
	g.Expect(fleet.held()).To(Equal(allSeats))
	g.Expect(granted).To(BeNumerically(">", 60*300*9/10))
	fleet.kill(2)
	fleet.step(int(SeatLeaseLength.Seconds()) + 2)
	g.Expect(fleet.held()).To(BeNumerically("<", allSeats), "the seats of a killed holder cannot be taken over without the service")
	g.Expect(fleet.spend(10)).To(BeNumerically(">", 0))
	fleet.kill(1)
	fleet.step(int(SeatLeaseLength.Seconds()) + 2)
	g.Expect(fleet.held()).To(BeZero(), "the last holder has no other to confirm it")
	_, err := fleet.reserve(0, 100)
	g.Expect(refusalOf(err)).NotTo(BeNil())
	g.Expect(refusalOf(err).Code).To(Equal(call.CodeUnavailable))
	g.Expect(refusalOf(err).OutcomeOrUnknown()).To(Equal(call.NotRun{}))
	g.Expect(fleet.oracle.excess()).To(BeNumerically("<=", rounding))
}

func TestFleetReplacedAtOnce(t *testing.T) {
	g := NewWithT(t)
	limits := fixedLimits{limit: Limit{Rate: 300, Burst: 300}}
	fleet := newFleet(t, limits, 3)
	fleet.step(16)
	for range 3 {
		fleet.kill(0)
		fleet.removeFromList(0)
	}
	for index := range 3 {
		fleet.members = append(fleet.members, fleet.start(3+index, limits))
	}
	fleet.step(15)
	g.Expect(fleet.held()).To(Equal(allSeats), "refused connections prove that the old holders have ended")
	fleet.spend(10)
	g.Expect(fleet.oracle.excess()).To(BeNumerically("<=", rounding))
}

func TestFleetKeepsSeatsOfKnownHolders(t *testing.T) {
	g := NewWithT(t)
	limits := fixedLimits{limit: Limit{Rate: 300, Burst: 300}}
	fleet := newFleet(t, limits, 3)
	fleet.step(16)
	known := make(map[names.Instance]bool)
	for range 3 {
		known[fleet.members[0].peer.Instance] = true
		fleet.kill(0)
		fleet.removeFromList(0)
	}
	fleet.setKnown(known)
	for index := range 3 {
		fleet.members = append(fleet.members, fleet.start(3+index, limits))
	}
	fleet.step(15)
	g.Expect(fleet.held()).To(BeZero(), "failed holders may be behind a link that refuses connections")
	fleet.setKnown(nil)
	fleet.step(15)
	g.Expect(fleet.held()).To(Equal(allSeats))
}

func TestFleetWithLostAnswers(t *testing.T) {
	g := NewWithT(t)
	fleet := newFleet(t, fixedLimits{limit: Limit{Rate: 300, Burst: 300}}, 3)
	fleet.store.set(false, true)
	fleet.step(16)
	g.Expect(fleet.held()).To(Equal(allSeats))
}

func TestRefusalSaysWhenToRetry(t *testing.T) {
	g := NewWithT(t)
	fleet := newFleet(t, fixedLimits{limit: Limit{Rate: 300, Burst: 300}}, 3)
	fleet.step(16)
	fleet.spend(30)
	_, err := fleet.reserve(0, 150)
	refusal := refusalOf(err)
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(refusal.Code).To(Equal(call.CodeRateLimited))
	g.Expect(refusal.OutcomeOrUnknown()).To(Equal(call.NotRun{}))
	g.Expect(refusal.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second/2)))
	_, err = fleet.reserve(0, 301)
	g.Expect(refusalOf(err).RetryAfter).To(BeZero(), "more than the burst is never granted")
}

func TestSettleGivesTheUnusedBack(t *testing.T) {
	g := NewWithT(t)
	fleet := newFleet(t, fixedLimits{limit: Limit{Rate: 1, Burst: 300}}, 3)
	fleet.step(400)
	var reservations []*Reservation
	for range 3 {
		reservation, err := fleet.reserve(0, 99)
		g.Expect(err).NotTo(HaveOccurred())
		reservations = append(reservations, reservation)
	}
	fleet.step(4)
	_, err := fleet.reserve(1, 90)
	g.Expect(err).To(HaveOccurred())
	for _, reservation := range reservations {
		reservation.Settle(0)
		reservation.Settle(0)
	}
	fleet.step(4)
	_, err = fleet.reserve(1, 285)
	g.Expect(err).NotTo(HaveOccurred(), "unused tokens should be available to another entry")
	_, err = fleet.reserve(2, 30)
	g.Expect(err).To(HaveOccurred(), "unused tokens should be returned only once")
}

func TestStopGivesSeatsAndLoansBack(t *testing.T) {
	g := NewWithT(t)
	fleet := newFleet(t, fixedLimits{limit: Limit{Rate: 1, Burst: 300}}, 3)
	fleet.step(400)
	_, err := fleet.reserve(0, 10)
	g.Expect(err).NotTo(HaveOccurred())
	leaving := fleet.members[0]
	g.Expect(leaving.client.Close(context.Background())).To(Succeed())
	_, err = leaving.client.Reserve(context.Background(), fuzzAccount, 1)
	g.Expect(refusalOf(err).Code).To(Equal(call.CodeDraining))
	closed := make(chan error, 1)
	go func() { closed <- leaving.keeper.Close(context.Background()) }()
	g.Expect(fleet.clock.BlockUntilContext(t.Context(), 1)).To(Succeed())
	fleet.clock.Advance(lengthenForDrift(LoanLength))
	g.Expect(<-closed).To(Succeed())
	fleet.kill(0)
	fleet.removeFromList(0)
	fleet.step(3)
	g.Expect(fleet.held()).To(Equal(allSeats), "a released seat should be taken over without a wait")
}
