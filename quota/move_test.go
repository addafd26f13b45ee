package quota

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestSeatsMoveToBetterHolders starts one instance, which acquires every seat,
// and two more later. Seats have to move until each instance holds those that it
// should, without exceeding rate and burst. The fleet then has to survive an
// outage of the platform's service, which one holder alone cannot, since it has
// no other holder to vote for it.
func TestSeatsMoveToBetterHolders(t *testing.T) {
	g := NewWithT(t)
	limits := fixedLimits{limit: Limit{Rate: 300, Burst: 300}}
	fleet := newFleet(t, limits, 1)
	fleet.step(16)
	g.Expect(fleet.held()).To(Equal(allSeats))
	for index := range 2 {
		fleet.members = append(fleet.members, fleet.start(1+index, limits))
	}
	for range 60 {
		fleet.step(1)
		fleet.spend(10)
	}
	g.Expect(fleet.held()).To(Equal(allSeats))
	for _, member := range fleet.members {
		g.Expect(member.keeper.HeldSeats()).To(Equal(Shards), "each instance should hold one seat of each shard, as there are three domains")
	}
	fleet.store.set(true, false)
	fleet.step(60)
	g.Expect(fleet.held()).To(Equal(allSeats))
	g.Expect(fleet.spend(10)).To(BeNumerically(">", 0))
	g.Expect(fleet.oracle.excess()).To(BeNumerically("<=", rounding))
}
