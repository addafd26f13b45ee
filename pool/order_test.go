package pool_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
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

// choicesDigest is the digest of the choices of TestChoicesStaySame at commit 9f3de69. It
// changes only with a rule of selection.
const choicesDigest = uint64(15287224962488988421)

// TestChoicesStaySame guards against changes of cost that change choices: for given random
// numbers, each choice has to be that of the version for which the digest was recorded. It
// goes through all kinds of exclusions, several services, and servers that come and go.
func TestChoicesStaySame(t *testing.T) {
	g := NewWithT(t)
	random, events := rand.New(rand.NewPCG(7, 1)), rand.New(rand.NewPCG(7, 2))
	servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: random.Float64})
	now := time.Unix(1000, 0)
	put := func(index, incarnation int) *pool.Server {
		server := &pool.Server{
			ID: names.BackendServer(fmt.Sprintf("s%02d", index)), Service: []names.Service{"desk", "notes", "notes"}[index%3], Incarnation: int64(incarnation),
			Slots: 2 + index%4, Domain: names.FailureDomain([]string{"a", "b"}[index%2]), ListedAt: now,
			Models:   []names.Model{names.Model(fmt.Sprintf("m%d", index%4)), names.Model(fmt.Sprintf("m%d", index%5))},
			Adapters: []pool.Adapter{{Model: names.Model(fmt.Sprintf("m%d", index%4)), Name: "x"}},
		}
		servers.Put(server)
		return server
	}
	const count = 40
	known := make([]*pool.Server, count)
	for index := range count {
		known[index] = put(index, 1)
	}
	digest, kinds := xxhash.New(), map[string]int{}
	for step := range 6000 {
		now = now.Add(time.Duration(events.IntN(20)) * time.Millisecond)
		server := known[events.IntN(count)]
		switch events.IntN(40) {
		case 0:
			servers.Remove(server.ID, now)
			servers.Sweep(now)
		case 1, 2:
			index := events.IntN(count)
			known[index] = put(index, 1+step/1000)
		case 3:
			servers.RecordFailure(server.ID, true, now)
		case 4:
			servers.RecordMissingModel(server.ID, "m1", now)
		case 5:
			servers.Pause(server.ID, 200*time.Millisecond, now)
		case 6:
			servers.AddSlow(server.ID, 1-2*(step%2))
		case 7:
			servers.Gate().Observe(server.Identity(), permit.Limited{PerSecond: 2}, now, now)
			servers.Gate().Close(server.Identity(), 300*time.Millisecond, now)
		case 8:
			servers.Gate().Observe(server.Identity(), permit.Limited{PerSecond: 2}, now, now)
			servers.Gate().CloseYielding(server.Identity(), 300*time.Millisecond, now)
		case 9:
			update := pool.Update{Complete: step%2 == 0, Others: map[names.BackendServer]int{}, Until: now.Add(200 * time.Millisecond)}
			for index := range 8 {
				other := known[events.IntN(count)]
				update.Others[other.ID] = index
				update.Holdings = append(update.Holdings, pool.Holding{
					Server: other.ID, Incarnation: other.Incarnation, Models: other.Models[:1], Adapters: other.Adapters, Busy: index%2 == 0,
				})
			}
			servers.ApplyUpdate(update)
		case 10:
			servers.SetEvacuated([]names.FailureDomain{[]names.FailureDomain{"", "b"}[events.IntN(2)]}, now)
		case 11:
			servers.RecordLoad(server, pool.InstanceLoad{Running: 1, Waiting: step % 3, Pace: 1.5, PaceStated: true}, now)
		case 12:
			servers.SetColdStarts(map[names.Service]pool.ColdStart{"desk": {Span: time.Duration(step%2) * time.Second, PerSecond: 3}}, now)
		case 13:
			moved := *server
			moved.Service = []names.Service{"desk", "notes"}[events.IntN(2)]
			servers.Put(&moved)
		case 14:
			servers.RecordResponse(server.ID, step%3 == 0)
		case 15:
			if step%5 == 0 {
				servers.RecordDeparture(server, now)
			}
		default:
		}
		for range 2 {
			ended := known[events.IntN(count)]
			servers.FinishPrompt(ended.ID, 500)
			servers.EndRequest(ended.ID)
		}
		query := pool.Query{Service: "desk", Domain: "a", Reported: step%3 == 0}
		if events.IntN(2) == 0 {
			query.Service, query.Model = "notes", names.Model(fmt.Sprintf("m%d", events.IntN(5)))
			query.Adapter = names.Adapter([]string{"", "x"}[events.IntN(2)])
		}
		if events.IntN(4) == 0 {
			query.Tried = []names.BackendServer{server.ID}
		}
		if events.IntN(8) == 0 {
			query.Confined, query.Domains = true, []names.FailureDomain{"b"}
		}
		choice := servers.Pick(query, now)
		kinds[fmt.Sprintf("%T", choice)]++
		if chosen, isChosen := choice.(pool.Chosen); isChosen {
			servers.StartRequest(chosen.Server.ID, 500, now)
			_, _ = fmt.Fprintln(digest, chosen.Server.ID, chosen.Server.Incarnation, chosen.Load, chosen.AdapterMissing, chosen.Alternatives, chosen.Yields)
		} else {
			_, _ = fmt.Fprintf(digest, "%T %+v\n", choice, choice)
		}
		_, _ = fmt.Fprintln(digest, servers.Usable(server, now), random.Float64())
	}
	g.Expect(kinds).To(And(HaveKey("pool.Chosen"), HaveKey("pool.Full"), HaveKey("pool.NoCopy"), HaveKey("pool.NoServer")))
	g.Expect(digest.Sum64()).To(Equal(choicesDigest), "%v", kinds)
}
