package route_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/route"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

var epoch = time.Unix(1_800_000_000, 0)

func at(offset time.Duration) time.Time { return epoch.Add(offset) }

// plan is a [route.Plan] that tests modify.
type plan struct {
	version  int64
	replicas map[route.Target][]route.Replica
}

func (plan *plan) Version() int64                               { return plan.version }
func (plan *plan) Replicas(target route.Target) []route.Replica { return plan.replicas[target] }

var notes = route.Target{Model: "notes"}

func planOf(servers ...names.BackendServer) *plan {
	replicas := make([]route.Replica, 0, len(servers))
	for _, server := range servers {
		replicas = append(replicas, route.Replica{Server: server, Domain: "a"})
	}
	return &plan{version: 1, replicas: map[route.Target][]route.Replica{notes: replicas}}
}

func TestNoServerIsAnError(t *testing.T) {
	g := NewWithT(t)
	router := route.New(route.Config{Domain: "a", Plan: planOf("one")})
	_, err := router.Pick(at(0), route.Query{Target: notes, Tried: []names.BackendServer{"one"}})
	var unavailable *route.UnavailableError
	g.Expect(err).To(BeAssignableToTypeOf(unavailable))
}

func loadOf(sequence int64, wait time.Duration) *route.Load {
	return &route.Load{Sequence: sequence, FirstToken: wait}
}

// share picks a server count times and returns the share of picks of server.
func share(router *route.Router, now time.Time, query route.Query, server names.BackendServer, count int) float64 {
	hits := 0
	for range count {
		choice, err := router.Pick(now, query)
		if err == nil && choice.Server == server {
			hits++
		}
	}
	return float64(hits) / float64(count)
}

// observe records an answer of each of the first servers of notes, with a load
// report of the given wait.
func observe(router *route.Router, now time.Time, sequence int64, waits ...time.Duration) {
	servers := []names.BackendServer{"one", "two", "three", "four"}
	for i, wait := range waits {
		router.Sent(now, servers[i])
		router.Answered(now, servers[i], route.Observation{Target: notes, Load: loadOf(sequence, wait)})
	}
}

func routerOf(config route.Config, servers ...names.BackendServer) *route.Router {
	config.Domain, config.Plan = "a", planOf(servers...)
	router := route.New(config)
	_, _ = router.Pick(at(0), route.Query{Target: notes})
	return router
}

func TestLateReportsAreDropped(t *testing.T) {
	g := NewWithT(t)
	for _, each := range []struct {
		policy route.Policy
		low    float64
		high   float64
	}{{route.Policy{}, 0, 0}, {route.Policy{NoSequence: true}, 0.9, 1}} {
		router := routerOf(route.Config{Policy: each.policy}, "one", "two")
		observe(router, at(0), 5, time.Second, 100*time.Millisecond)
		observe(router, at(0), 4, 0)
		got := share(router, at(0), route.Query{Target: notes}, "one", 100)
		g.Expect(got).To(And(BeNumerically(">=", each.low), BeNumerically("<=", each.high)))
	}
}

func TestOldReportsLoseWeight(t *testing.T) {
	g := NewWithT(t)
	router := routerOf(route.Config{}, "one", "two")
	observe(router, at(0), 1, 300*time.Millisecond, 250*time.Millisecond)
	g.Expect(share(router, at(0), route.Query{Target: notes}, "two", 100)).To(Equal(1.0))
	for range 10 {
		router.Sent(at(0), "two")
	}
	g.Expect(share(router, at(0), route.Query{Target: notes}, "two", 100)).To(BeZero(), "what was sent since counts")
}

func TestNearbyServersGoFirstUnlessLoaded(t *testing.T) {
	g := NewWithT(t)
	plan := planOf("one", "two", "three")
	plan.replicas[notes][1].Domain = "b"
	plan.replicas[notes][2].Domain = "c"
	router := route.New(route.Config{Domain: "a", Plan: plan})
	g.Expect(share(router, at(0), route.Query{Target: notes}, "one", 100)).To(Equal(1.0))
	observe(router, at(0), 1, 200*time.Millisecond, 20*time.Millisecond, 20*time.Millisecond)
	g.Expect(share(router, at(0), route.Query{Target: notes}, "one", 100)).To(BeZero())
	flat := route.New(route.Config{Domain: "a", Plan: plan, Policy: route.Policy{NoDistance: true}})
	g.Expect(share(flat, at(0), route.Query{Target: notes}, "one", 300)).To(BeNumerically("<", 0.7))
}

func TestAffinityHoldsWithinABound(t *testing.T) {
	g := NewWithT(t)
	servers := []names.BackendServer{"one", "two", "three", "four"}
	router := routerOf(route.Config{}, servers...)
	query := route.Query{Target: notes, Prefix: 42}
	choice, _ := router.Pick(at(0), query)
	g.Expect(choice.Reason).To(Equal(route.ReasonAffinity))
	g.Expect(share(router, at(0), query, choice.Server, 100)).To(Equal(1.0))
	other := route.New(route.Config{Domain: "a", Plan: planOf(servers...), Seed: 9})
	g.Expect(share(other, at(0), query, choice.Server, 100)).To(Equal(1.0), "all entries agree")
	for range 50 {
		router.Sent(at(0), choice.Server)
	}
	g.Expect(share(router, at(0), query, choice.Server, 100)).To(BeZero(), "not beyond the bound")
	off := routerOf(route.Config{Policy: route.Policy{NoAffinity: true}}, servers...)
	g.Expect(share(off, at(0), query, choice.Server, 300)).To(BeNumerically("<", 0.5))
}

func TestFailingServerIsSetAsideAndProbed(t *testing.T) {
	g := NewWithT(t)
	for _, each := range []struct {
		policy  route.Policy
		ejected bool
	}{{route.Policy{}, true}, {route.Policy{NoEjection: true}, false}} {
		router := routerOf(route.Config{Policy: each.policy}, "one", "two", "three", "four")
		for range 3 {
			router.Sent(at(0), "one")
			router.Failed(at(0), "one", route.Observation{Target: notes, Code: call.CodeBroken})
		}
		query := route.Query{Target: notes, Idempotent: true}
		g.Expect(share(router, at(0), query, "one", 200) == 0).To(Equal(each.ejected))
		if !each.ejected {
			continue
		}
		g.Expect(router.Changes()).To(Equal([]route.Change{{Server: "one", Ejected: true, Until: at(time.Second)}}))
		probe, _ := router.Pick(at(2*time.Second), query)
		g.Expect(probe).To(Equal(route.Choice{Server: "one", Domain: "a", Reason: route.ReasonProbe}))
		router.Sent(at(2*time.Second), "one")
		g.Expect(share(router, at(2*time.Second), query, "one", 200)).To(BeZero(), "one probe at a time")
		router.Answered(at(2*time.Second), "one", route.Observation{Target: notes})
		g.Expect(router.Changes()).To(Equal([]route.Change{{Server: "one"}}))
		g.Expect(share(router, at(2*time.Second), query, "one", 200)).To(BeNumerically(">", 0))
	}
}

func TestShareSetAsideIsBounded(t *testing.T) {
	g := NewWithT(t)
	router := routerOf(route.Config{}, "one", "two", "three", "four")
	for _, server := range []names.BackendServer{"one", "two", "three", "four"} {
		for range 3 {
			router.Sent(at(0), server)
			router.Failed(at(0), server, route.Observation{Target: notes, Code: call.CodeBroken})
		}
	}
	_, err := router.Pick(at(0), route.Query{Target: notes})
	g.Expect(err).NotTo(HaveOccurred())
	used := map[names.BackendServer]bool{}
	for range 100 {
		choice, _ := router.Pick(at(0), route.Query{Target: notes})
		used[choice.Server] = true
	}
	g.Expect(len(used)).To(BeNumerically(">=", 3))
}

func TestSlowServerIsSetAside(t *testing.T) {
	g := NewWithT(t)
	for _, each := range []struct {
		policy  route.Policy
		ejected bool
	}{{route.Policy{}, true}, {route.Policy{NoEjection: true}, false}} {
		router := routerOf(route.Config{Policy: each.policy}, "one", "two", "three", "four")
		for range 20 {
			for _, server := range []names.BackendServer{"one", "two", "three", "four"} {
				gap := 30 * time.Millisecond
				if server == "one" {
					gap *= 6
				}
				router.Sent(at(0), server)
				router.Answered(at(0), server, route.Observation{Target: notes, TokenGap: gap})
			}
		}
		g.Expect(share(router, at(0), route.Query{Target: notes}, "one", 200) == 0).To(Equal(each.ejected))
	}
}

func TestRetriesStopUnderOverload(t *testing.T) {
	g := NewWithT(t)
	for _, each := range []struct {
		policy route.Policy
		most   int
	}{{route.Policy{}, 3}, {route.Policy{NoBudget: true}, 100}} {
		router := routerOf(route.Config{Policy: each.policy}, "one", "two")
		retries := 0
		for range 100 {
			router.Sent(at(0), "one")
			router.Failed(at(0), "one", route.Observation{Target: notes, Code: call.CodeOverloaded})
			failedAttempt := route.FailedAttempt{Outcome: call.NotRun{}, Code: call.CodeOverloaded, Attempts: 1}
			if _, ok := router.MayRetry(at(0), failedAttempt); ok {
				retries++
			}
		}
		g.Expect(retries).To(Equal(each.most))
		_, ok := router.MayRetry(at(0), route.FailedAttempt{Outcome: call.NotRun{}, Code: call.CodeDraining, Attempts: 1})
		g.Expect(ok).To(BeTrue(), "a leaving server costs no request")
	}
}

func TestHedgesAreFew(t *testing.T) {
	g := NewWithT(t)
	for _, each := range []struct {
		policy route.Policy
		most   int
	}{{route.Policy{}, 5 + 20}, {route.Policy{NoBudget: true}, 1000}} {
		router := routerOf(route.Config{Policy: each.policy}, "one", "two")
		hedges := 0
		for range 1000 {
			router.Sent(at(0), "one")
			if router.MayHedge(at(0), true) {
				hedges++
			}
			router.Answered(at(0), "one", route.Observation{Target: notes, FirstToken: 100 * time.Millisecond})
		}
		g.Expect(hedges).To(BeNumerically("~", each.most, 1))
		g.Expect(router.MayHedge(at(0), false)).To(BeFalse())
		g.Expect(router.HedgeAfter(notes)).To(Equal(250 * time.Millisecond))
	}
}

// fleet returns a plan with the given number of copies of each model, spread over
// the servers.
func fleet(models, runners, copies int) *plan {
	plan := &plan{version: 1, replicas: map[route.Target][]route.Replica{}}
	for model := range models {
		replicas := make([]route.Replica, 0, copies)
		for index := range copies {
			number := (model*copies + index*models) % runners
			replicas = append(replicas, route.Replica{
				Server: server(number), Domain: names.FailureDomain(fmt.Sprint("d", number%5)),
			})
		}
		plan.replicas[target(model)] = replicas
	}
	return plan
}

func BenchmarkPick(b *testing.B) {
	for _, copies := range []int{4, 64} {
		b.Run(fmt.Sprintf("models=340/runners=700/copies=%d", copies), func(b *testing.B) {
			router := route.New(route.Config{Domain: "d0", Plan: fleet(340, 700, copies)})
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				number++
				now := at(time.Duration(number) * time.Millisecond)
				query := route.Query{Target: target(number % 340), Prefix: uint64(number % 1000)}
				choice, _ := router.Pick(now, query)
				router.Sent(now, choice.Server)
				router.Answered(now, choice.Server, route.Observation{Target: query.Target, Load: loadOf(int64(number), time.Millisecond)})
			}
		})
	}
}
