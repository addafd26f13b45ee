package pool_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// TestChoicesRepeat guards against choices that depend on the order of a map: a seeded
// simulation then gives another result for each run.
func TestChoicesRepeat(t *testing.T) {
	g := NewWithT(t)
	choices := func(ids []int) []names.BackendServer {
		random := rand.New(rand.NewPCG(7, 1))
		servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: random.Float64})
		for _, id := range ids {
			servers.Put(&pool.Server{ID: names.BackendServer(fmt.Sprintf("s%02d", id)), Service: "api", Incarnation: 1, Slots: 4})
		}
		now := time.Unix(0, 0)
		// One server is replaced, another is dropped after it has expired.
		servers.Put(&pool.Server{ID: "s03", Service: "api", Incarnation: 2, Slots: 4})
		servers.Remove("s05", now)
		now = now.Add(servers.RegistryExpiry() + time.Second)
		servers.Sweep(now)
		var chosen []names.BackendServer
		for range 50 {
			choice, isChosen := servers.Pick(pool.Query{Service: "api"}, now).(pool.Chosen)
			g.Expect(isChosen).To(BeTrue())
			servers.StartRequest(choice.Server.ID, 0, now)
			chosen = append(chosen, choice.Server.ID)
		}
		g.Expect(chosen).NotTo(ContainElement(names.BackendServer("s05")))
		return chosen
	}
	ids := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}
	first := choices(ids)
	slices.Reverse(ids)
	g.Expect(choices(ids)).To(Equal(first))
}
