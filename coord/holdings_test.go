package coord

import (
	"fmt"
	"strings"
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

// TestLongHoldingsFitIntoReplies guards against replies that no entry can receive because
// of engines that report very long names.
func TestLongHoldingsFitIntoReplies(t *testing.T) {
	g := NewWithT(t)
	holdings := newHoldings()
	var current []pool.Holding
	for index := range 9 {
		current = append(current, pool.Holding{
			Server: names.BackendServer(fmt.Sprintf("engine-%d", index)), Models: []names.Model{names.Model(strings.Repeat("m", 900_000))},
		})
	}
	holdings.update(current)
	told := map[names.BackendServer]bool{}
	version := Version{Term: 1}
	for range current {
		changed, number := holdings.since(version, 1)
		bytes := 0
		for _, holding := range changed {
			told[holding.Server] = true
			bytes += len(holding.Models[0])
		}
		g.Expect(bytes).To(BeNumerically("<", 2<<20))
		version.Number = number
	}
	g.Expect(told).To(HaveLen(len(current)))
}
