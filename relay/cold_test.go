package relay_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

// worstSecond returns the most requests that arrived in any second.
func (rated *ratedServer) worstSecond() int {
	rated.mutex.Lock()
	defer rated.mutex.Unlock()
	arrivals := slices.Clone(rated.arrivals)
	slices.SortFunc(arrivals, func(a, b rateArrival) int { return a.at.Compare(b.at) })
	worst, first := 0, 0
	for last, arrival := range arrivals {
		for arrival.at.Sub(arrivals[first].at) >= time.Second {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst
}

// coldServer starts a server that is cold for some time, and registers it at all entries.
func (fleet *fleet) coldServer(id names.BackendServer, left time.Duration) *ratedServer {
	rated := fleet.ratedServer(id)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	cold := *fleet.servers[id]
	cold.Incarnation, cold.ColdLeft, cold.ColdStated, cold.ListedAt = 2, left, true, time.Now()
	fleet.servers[id] = &cold
	for _, each := range fleet.all {
		each.pool.Put(&cold)
	}
	return rated
}

// TestColdServersGetFewRequests guards against entries that send a cold server more
// requests in a second than it accepts, by what reaches it over real connections.
func TestColdServersGetFewRequests(t *testing.T) {
	const perSecond, coldFor = 19, 8 * time.Second
	cases := []struct {
		name    string
		others  int
		disturb func(fleet *fleet)
	}{
		{name: "beside a warm server", others: 1, disturb: func(*fleet) {}},
		{name: "without another server", disturb: func(*fleet) {}},
		{name: "a new coordinator", others: 1, disturb: func(fleet *fleet) { fleet.elect(1) }},
		{name: "no coordinator", others: 1, disturb: func(fleet *fleet) { fleet.loseCoordinator() }},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			fleet := newEntries(t, 22, route("order", policy.KindUnsafe, "desk"))
			for _, entry := range fleet.all {
				entry.pool.SetColdStarts(map[names.Service]pool.ColdStart{"desk": {Span: 3 * time.Second, PerSecond: perSecond}}, time.Now())
				entry.pool.RegistryRead()
			}
			for range each.others {
				fleet.ratedServer("warm")
			}
			time.Sleep(time.Second)
			cold := fleet.coldServer("cold", coldFor)
			callers := fleet.startRateCallers()
			time.Sleep(2 * time.Second)
			each.disturb(fleet)
			time.Sleep(4 * time.Second)
			callers.finish()
			g.Expect(cold.worstSecond()).To(BeNumerically("<=", perSecond))
			g.Expect(cold.count(time.Time{}, time.Now())).To(BeNumerically(">", 0))
			t.Logf("%d requests, %d in the worst second", cold.count(time.Time{}, time.Now()), cold.worstSecond())
			if each.others > 0 {
				g.Expect(callers.refused).To(BeNumerically("<=", callers.served/50), "the warm server takes the rest")
			}
		})
	}
}
