package quota

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestSeatsMoveToBetterHolders starts one home, which takes every seat, and two
// more later. Each comes to hold the seats that it should, and none is over its
// rate and burst meanwhile; the fleet then rides out an outage, which one home
// alone cannot.
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
		g.Expect(member.keeper.HeldSeats()).To(Equal(Shards), "each has one seat of each shard, as there are three domains")
	}
	fleet.store.set(true, false)
	fleet.step(60)
	g.Expect(fleet.held()).To(Equal(allSeats))
	g.Expect(fleet.spend(10)).To(BeNumerically(">", 0))
	g.Expect(fleet.oracle.excess()).To(BeNumerically("<=", rounding))
}
