package coord

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// TestHoldingsAreToldInParts checks that an entry without holdings receives those of a
// large fleet in several replies, although an engine changes between them.
func TestHoldingsAreToldInParts(t *testing.T) {
	g := NewWithT(t)
	const engines, term = 1000, 3
	current := make([]pool.Holding, engines)
	for index := range current {
		current[index] = pool.Holding{Server: names.BackendServer(fmt.Sprintf("engine-%04d", index)), Incarnation: 1}
	}
	holdings := newHoldings()
	holdings.update(current)
	known := map[names.BackendServer]pool.Holding{}
	version := Version{Term: term - 1, Number: 99}
	for exchange := range 12 {
		changed, to := holdings.since(version, term)
		g.Expect(len(changed)).To(BeNumerically("<=", holdingsPerReply))
		for _, holding := range changed {
			known[holding.Server] = holding
		}
		version = Version{Term: term, Number: to}
		current[exchange].Busy = !current[exchange].Busy
		if exchange < 10 {
			holdings.update(current)
		} else {
			current[exchange].Busy = !current[exchange].Busy
		}
	}
	g.Expect(known).To(HaveLen(engines))
	for _, holding := range current {
		g.Expect(known[holding.Server]).To(Equal(holding))
	}
}
