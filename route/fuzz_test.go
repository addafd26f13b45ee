package route_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/route"
)

const (
	fuzzServers = 8
	fuzzTargets = 5
	maxTargets  = 3
	retryShare  = 0.1
	retryBurst  = 4
	hedgeBurst  = 2
	hedgeShare  = 0.05
)

// oracle tracks which servers must not be picked and how many retries and hedges
// were earned.
type oracle struct {
	t        *rapid.T
	plan     *plan
	router   *route.Router
	now      time.Time
	leaving  map[names.BackendServer]time.Time
	inFlight []names.BackendServer
	answered int
	sent     int
	retried  int
	hedged   int
	sequence int64
}

func TestRouterAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := &plan{}
		oracle := &oracle{t: t, plan: plan, now: at(0), leaving: map[names.BackendServer]time.Time{}}
		oracle.replan(t)
		oracle.router = route.New(route.Config{
			Domain: "d0", Plan: plan, MaxTargets: maxTargets, RetryShare: retryShare, RetryBurst: retryBurst,
			HedgeShare: hedgeShare, HedgeBurst: hedgeBurst, Seed: 1,
		})
		t.Repeat(map[string]func(*rapid.T){
			"pick": oracle.pick, "answer": oracle.answer, "fail": oracle.fail, "retry": oracle.retry,
			"hedge": oracle.hedge, "replan": oracle.replan, "advance": oracle.advance, "": oracle.check,
		})
	})
}

func target(number int) route.Target {
	return route.Target{Model: names.Model(fmt.Sprint("m", number))}
}

func server(number int) names.BackendServer { return names.BackendServer(fmt.Sprint("s", number)) }

func (oracle *oracle) replan(t *rapid.T) {
	oracle.plan.version++
	oracle.plan.replicas = map[route.Target][]route.Replica{}
	for number := range fuzzTargets {
		var replicas []route.Replica
		for each := range fuzzServers {
			if rapid.Bool().Draw(t, "has") {
				replicas = append(replicas, route.Replica{
					Server:  server(each),
					Domain:  names.FailureDomain(fmt.Sprint("d", each%3)),
					Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0,
				})
			}
		}
		oracle.plan.replicas[target(number)] = replicas
	}
}

func (oracle *oracle) pick(t *rapid.T) {
	query := route.Query{
		Target:     target(rapid.IntRange(0, fuzzTargets-1).Draw(t, "target")),
		Prefix:     uint64(rapid.IntRange(0, 3).Draw(t, "prefix")),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
	}
	for each := range fuzzServers {
		if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
			query.Tried = append(query.Tried, server(each))
		}
	}
	allowed := oracle.allowed(&query)
	choice, err := oracle.router.Pick(oracle.now, query)
	if err != nil {
		oracle.must(len(allowed) == 0, "no server picked of %v", allowed)
		return
	}
	oracle.must(allowed[choice.Server], "%s picked, allowed are %v", choice.Server, allowed)
	oracle.router.Sent(oracle.now, choice.Server)
	oracle.sent++
	oracle.inFlight = append(oracle.inFlight, choice.Server)
}

func (oracle *oracle) allowed(query *route.Query) map[names.BackendServer]bool {
	allowed := map[names.BackendServer]bool{}
	for _, replica := range oracle.plan.replicas[query.Target] {
		if !replica.Leaving && !oracle.now.Before(oracle.leaving[replica.Server]) {
			allowed[replica.Server] = true
		}
	}
	for _, tried := range query.Tried {
		delete(allowed, tried)
	}
	return allowed
}

// takeInFlight removes one of the requests in flight and returns its server.
func (oracle *oracle) takeInFlight(t *rapid.T) (names.BackendServer, bool) {
	if len(oracle.inFlight) == 0 {
		return "", false
	}
	at := rapid.IntRange(0, len(oracle.inFlight)-1).Draw(t, "flying")
	server := oracle.inFlight[at]
	oracle.inFlight = append(oracle.inFlight[:at], oracle.inFlight[at+1:]...)
	return server, true
}

func (oracle *oracle) answer(t *rapid.T) {
	server, ok := oracle.takeInFlight(t)
	if !ok {
		return
	}
	oracle.sequence++
	oracle.answered++
	observation := route.Observation{
		Target:     target(rapid.IntRange(0, fuzzTargets-1).Draw(t, "target")),
		FirstToken: time.Duration(rapid.IntRange(1, 5000).Draw(t, "first")) * time.Millisecond,
	}
	// The observation has no load report, as one would end the server's draining
	// state.
	oracle.router.Answered(oracle.now, server, observation)
}

func (oracle *oracle) fail(t *rapid.T) {
	server, ok := oracle.takeInFlight(t)
	if !ok {
		return
	}
	code := rapid.SampledFrom([]call.Code{call.CodeOverloaded, call.CodeBroken, call.CodeUnavailable, call.CodeDraining}).Draw(t, "code")
	if _, known := oracle.knows(server); code == call.CodeDraining && known {
		oracle.leaving[server] = oracle.now.Add(30 * time.Second)
	}
	oracle.router.Failed(oracle.now, server, route.Observation{Code: code, Outcome: call.NotRun{}})
}

// knows reports whether the router keeps state of server. It ignores failures of
// servers that it keeps no state of.
func (oracle *oracle) knows(server names.BackendServer) (names.BackendServer, bool) {
	return server, oracle.router.Knows(server)
}

func (oracle *oracle) retry(t *rapid.T) {
	outcome := rapid.SampledFrom([]call.Outcome{call.Run{}, call.NotRun{}, call.Unknown{}, nil}).Draw(t, "outcome")
	idempotent := rapid.Bool().Draw(t, "idempotent")
	_, may := oracle.router.MayRetry(oracle.now, route.FailedAttempt{
		Outcome: outcome, Idempotent: idempotent, Code: call.CodeBroken, Attempts: rapid.IntRange(1, 5).Draw(t, "tries"),
	})
	if may {
		oracle.retried++
		_, notRun := outcome.(call.NotRun)
		oracle.must(idempotent || notRun, "repeats a request that may have run: %v", outcome)
	}
}

func (oracle *oracle) hedge(t *rapid.T) {
	idempotent := rapid.Bool().Draw(t, "idempotent")
	if oracle.router.MayHedge(oracle.now, idempotent) {
		oracle.hedged++
		oracle.must(idempotent, "hedges what must not be repeated")
	}
}

func (oracle *oracle) advance(t *rapid.T) {
	oracle.now = oracle.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "millis")) * time.Millisecond)
}

func (oracle *oracle) check(*rapid.T) {
	const rounding = 1e-6
	oracle.must(float64(oracle.retried) <= retryBurst+retryShare*float64(oracle.answered)+rounding,
		"%d retries after %d answers", oracle.retried, oracle.answered)
	oracle.must(float64(oracle.hedged) <= hedgeBurst+hedgeShare*float64(oracle.sent)+rounding,
		"%d hedges after %d requests", oracle.hedged, oracle.sent)
	targets, servers := oracle.router.Size()
	oracle.must(targets <= maxTargets && servers <= maxTargets*fuzzServers, "keeps %d targets, %d servers", targets, servers)
	oracle.forgetLeaving()
}

// forgetLeaving removes servers whose state the router has dropped, and with it
// that they are draining.
func (oracle *oracle) forgetLeaving() {
	for server := range oracle.leaving {
		if !oracle.router.Knows(server) {
			delete(oracle.leaving, server)
		}
	}
}

func (oracle *oracle) must(holds bool, format string, values ...any) {
	oracle.t.Helper()
	if !holds {
		oracle.t.Fatalf(format, values...)
	}
}
