package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// retryLoad describes a simulated service behind many entries whose requests all fail for
// some time.
type retryLoad struct {
	entries   int
	ratio     float64
	slack     float64
	window    time.Duration
	perSecond float64
	// restarts makes one entry restart each second.
	restarts bool
}

const retryStep = 50 * time.Millisecond

// simulate returns the number of requests and of retries in each step: a minute without
// failures, then half a minute in which each request would be retried twice.
func (load retryLoad) simulate(random *rand.Rand) (requests, resent []int) {
	now := time.Unix(1_800_000_000, 0)
	budgets := make([]*budget, load.entries)
	start := func(index int) {
		budgets[index] = newBudget(load.ratio, load.slack, load.window)
		budgets[index].setEntries(load.entries)
	}
	for index := range budgets {
		start(index)
	}
	const calm, failing = time.Minute, 30 * time.Second
	due := 0.0
	for step := range int((calm + failing) / retryStep) {
		now = now.Add(retryStep)
		requests, resent = append(requests, 0), append(resent, 0)
		if load.restarts && step%int(time.Second/retryStep) == 0 {
			start(random.IntN(load.entries))
		}
		for due += load.perSecond * retryStep.Seconds(); due >= 1; due-- {
			// Half of the requests go to a quarter of the entries.
			among := load.entries
			if random.IntN(2) == 0 {
				among = max(load.entries/4, 1)
			}
			budget := budgets[random.IntN(among)]
			budget.deposit("desk", now)
			requests[step]++
			for range 2 {
				if time.Duration(step)*retryStep >= calm && budget.tryWithdraw("desk", now) {
					resent[step]++
				}
			}
		}
	}
	return requests, resent
}

// excess returns the most by which retries exceed the bound in any window. It allows for
// retries of requests that arrived up to one window earlier.
func (load retryLoad) excess(requests, resent []int) float64 {
	length := int(load.window / retryStep)
	sum := func(counts []int, from int) float64 {
		total := 0
		for step := max(from, 0); step < min(from+length, len(counts)); step++ {
			total += counts[step]
		}
		return float64(total)
	}
	worst := -load.slack
	for from := 0; from+length <= len(requests); from++ {
		most := max(sum(requests, from), sum(requests, from-length/2), sum(requests, from-length))
		worst = max(worst, sum(resent, from)-load.ratio*most-load.slack)
	}
	return worst
}

// TestFleetKeepsItsRetryBudget checks that the entries' budgets together keep the bound
// while a service fails all requests, for fleets of different sizes.
func TestFleetKeepsItsRetryBudget(t *testing.T) {
	cases := []struct {
		name string
		load retryLoad
	}{
		{name: "four entries", load: retryLoad{entries: 4, slack: 54, perSecond: 38}},
		{name: "four entries that restart", load: retryLoad{entries: 4, slack: 54, perSecond: 38, restarts: true}},
		{name: "two dozen", load: retryLoad{entries: 24, slack: 88, perSecond: 133}},
		{name: "two dozen that restart", load: retryLoad{entries: 26, slack: 92, perSecond: 105, restarts: true}},
		{name: "dozens", load: retryLoad{entries: 68, slack: 176, perSecond: 204}},
		{name: "dozens that restart", load: retryLoad{entries: 68, slack: 176, perSecond: 204, restarts: true}},
		{name: "dozens with few requests", load: retryLoad{entries: 68, slack: 176, perSecond: 20}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			each.load.ratio, each.load.window = 0.2, 10*time.Second
			for seed := range uint64(5) {
				requests, resent := each.load.simulate(rand.New(rand.NewPCG(seed, 1)))
				g.Expect(each.load.excess(requests, resent)).To(BeNumerically("<=", 0), "seed %d", seed)
			}
		})
	}
}
