package route_test

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/queue"
	"github.com/basilkeel/basilkeel/route"
)

var fullRun = flag.Bool("overload.full", false, "run all seeds and the slice of the target size")

// currentSize is the scenario of a fleet of the present size, as opposed to the
// target size.
func currentSize() scenario {
	return scenario{
		entries: 3, servers: 12, models: 15, copies: 4, slots: 64, tunedSlots: 30,
		engine: engineModel{
			base: 12 * time.Millisecond, perStream: 800 * time.Microsecond,
			perPrompt: 60 * time.Microsecond, promptChunk: 256, prefixes: 24,
		},
		length: 40 * time.Second, shares: []float64{0.35, 0.3, 0.15, 0.1, 0.1}, callerTimeout: 10 * time.Second, seed: 1,
	}
}

// simCapacity is the requests per second at which useful work peaks in
// currentSize, as TestOverloadKeepsUsefulWorkAndFairness shows in a full run.
const simCapacity = 90.0

// at returns the scenario with its rate set to load times the fleet's capacity,
// of which each account may use an equal part.
func (scenario scenario) at(load float64) scenario {
	scenario.rate = load * simCapacity * float64(scenario.servers) / 12
	scenario.accountRate = simCapacity * float64(scenario.servers) / 12 / float64(len(scenario.shares))
	return scenario
}

// policies returns the scenario under each of the policies that are compared.
func policies(base scenario) map[string]scenario {
	least := route.Policy{LeastLoaded: true, NoAffinity: true, NoEjection: true, NoDistance: true, NoBudget: true}
	fifo, static := base, base
	fifo.route.Policy, static.route.Policy = least, least
	fifo.queue.Policy = queue.Policy{NoFairness: true, NoDeadline: true, NoRefusal: true, NoPacing: true, NoBatchClass: true}
	static.queue.Policy = queue.Policy{NoFairness: true, StrictPriority: true, NoRefusal: true, NoPacing: true, NoBatchClass: true}
	fifo.queue.MaxPreemptions, static.queue.MaxPreemptions = -1, -1
	// The tuned baselines limit concurrency so that the objective for the gap
	// between tokens is met, as an operator who knows the engine would.
	tunedFifo, tunedStatic := fifo, static
	tunedFifo.slots, tunedStatic.slots = base.tunedSlots, base.tunedSlots
	return map[string]scenario{
		"fifo": fifo, "static": static, "fifo, tuned": tunedFifo, "static, tuned": tunedStatic, "basilkeel": base,
	}
}

// outcome holds the results of one run.
type outcome struct {
	// usefulTokens is the output tokens per second and server of requests that met
	// their objective.
	usefulTokens float64
	// attainedShare is the share of interactive requests that met their objective,
	// and attainedOfAccepted the same of those that were not refused.
	attainedShare, attainedOfAccepted float64
	// worstShare is the lowest ratio, over all accounts, of an account's useful
	// work to its fair share, without batch work.
	worstShare float64
	// worstShareWithBatch is the same with batch work counted.
	worstShareWithBatch float64
	// wrongfulShare is the share of requests within their account's rate that were
	// refused.
	wrongfulShare float64
	failed        int
	perAccount    []float64
}

// measure computes the results of a run between two times.
func (sim *simulation) measure(from, to time.Duration, capacity float64) outcome {
	accounts := len(sim.scenario.shares)
	result := outcome{perAccount: make([]float64, accounts)}
	demand, latencyDemand, latencyWork := make([]float64, accounts), make([]float64, accounts), make([]float64, accounts)
	var total, attained, accepted, inRate, wrongful float64
	for _, job := range sim.jobs {
		if job.done && job.last >= from && job.last < to {
			if job.attained() {
				result.usefulTokens += float64(job.output)
				result.perAccount[job.account] += float64(job.output)
			}
		}
		if job.arrived < from || job.arrived >= to {
			continue
		}
		demand[job.account] += float64(job.output)
		if job.kind != call.KindBatch {
			latencyDemand[job.account] += float64(job.output)
			if job.attained() {
				latencyWork[job.account] += float64(job.output)
			}
		}
		if job.kind == call.KindInteractive {
			total++
			if !job.refused {
				accepted++
			}
			if job.attained() {
				attained++
			}
		}
		if job.inRate {
			inRate++
			if job.refused {
				wrongful++
			}
		}
		if job.failed {
			result.failed++
		}
	}
	span := (to - from).Seconds()
	result.worstShare = worstFairShare(latencyWork, latencyDemand, max(capacity*span*float64(sim.scenario.servers), sum(latencyWork)))
	result.worstShareWithBatch = worstFairShare(result.perAccount, demand, max(capacity*span*float64(sim.scenario.servers), result.usefulTokens))
	result.usefulTokens /= span * float64(sim.scenario.servers)
	result.attainedShare, result.attainedOfAccepted, result.wrongfulShare = attained/total, attained/max(1, accepted), wrongful/max(1, inRate)
	return result
}

// worstFairShare returns the lowest ratio, over all accounts, of what an account
// got to its part of the max-min fair division of capacity over the demands.
func worstFairShare(got, demand []float64, capacity float64) float64 {
	fair := make([]float64, len(demand))
	left, open := capacity, len(demand)
	for open > 0 {
		level, closed := left/float64(open), 0
		for i := range demand {
			if fair[i] == 0 && demand[i] <= level {
				fair[i] = max(demand[i], 1e-9)
				left -= demand[i]
				closed++
			}
		}
		open -= closed
		if closed == 0 {
			for i := range fair {
				if fair[i] == 0 {
					fair[i] = level
				}
			}
			break
		}
	}
	least := math.Inf(1)
	for i := range got {
		least = min(least, got[i]/max(fair[i], 1e-9))
	}
	return least
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

func (result outcome) String() string {
	return fmt.Sprintf("useful %6.1f tok/s/server  interactive in time %5.1f%% (of kept %5.1f%%)  worst account %5.2f (with batch %5.2f)  wrongly refused %5.1f%%  failed %d",
		result.usefulTokens, 100*result.attainedShare, 100*result.attainedOfAccepted, result.worstShare, result.worstShareWithBatch, 100*result.wrongfulShare, result.failed)
}

const (
	measureFrom = 8 * time.Second
	measureTo   = 38 * time.Second
)

// spread is the minimum, mean and maximum of a figure over the seeds.
type spread struct{ least, mean, most float64 }

func newSpread(results []outcome, figure func(outcome) float64) spread {
	found := spread{least: math.Inf(1), most: math.Inf(-1)}
	for _, result := range results {
		value := figure(result)
		found.least, found.most = min(found.least, value), max(found.most, value)
		found.mean += value / float64(len(results))
	}
	return found
}

func (spread spread) String() string {
	return fmt.Sprintf("%.2f (%.2f..%.2f)", spread.mean, spread.least, spread.most)
}

func useful(result outcome) float64              { return result.usefulTokens }
func attained(result outcome) float64            { return result.attainedShare }
func worstShare(result outcome) float64          { return result.worstShare }
func worstShareWithBatch(result outcome) float64 { return result.worstShareWithBatch }
func wrongful(result outcome) float64            { return result.wrongfulShare }
func failedRequests(result outcome) float64      { return float64(result.failed) }

// runs simulates a scenario with the seeds from 1 on.
func runs(scenario scenario, seeds int) []outcome {
	results := make([]outcome, 0, seeds)
	for seed := range seeds {
		scenario.seed = uint64(seed + 1)
		results = append(results, simulate(scenario).measure(measureFrom, measureTo, 0))
	}
	return results
}

func report(t *testing.T, title string, results []outcome) {
	t.Helper()
	t.Logf("| %s | %v | %v | %v | %v | %v | %v |", title, newSpread(results, useful), newSpread(results, attained),
		newSpread(results, worstShare), newSpread(results, worstShareWithBatch), newSpread(results, wrongful), newSpread(results, failedRequests))
}

// quickSeeds is the number of seeds run by default, and fullSeeds that of full
// runs, which give the tables of the documentation.
const (
	quickSeeds = 2
	fullSeeds  = 5
)

func seeds() int {
	if *fullRun {
		return fullSeeds
	}
	return quickSeeds
}

func TestOverloadKeepsUsefulWorkAndFairness(t *testing.T) {
	g := NewWithT(t)
	peak, loads := 0.0, []float64{1.5, 2, 5}
	if *fullRun {
		loads = []float64{0.8, 1, 1.25, 1.5, 2, 5}
	}
	for _, load := range loads {
		for name, scenario := range policies(currentSize().at(load)) {
			if name != "basilkeel" && !*fullRun {
				continue
			}
			results := runs(scenario, seeds())
			report(t, fmt.Sprintf("%.2fx %s", load, name), results)
			if name != "basilkeel" {
				continue
			}
			peak = max(peak, newSpread(results, useful).mean)
			if load < 2 {
				continue
			}
			g.Expect(newSpread(results, useful).least).To(BeNumerically(">=", 0.9*peak), "useful work")
			g.Expect(newSpread(results, worstShare).least).To(BeNumerically(">=", 0.8), "worst-served account")
		}
	}
}

// recoveryTime returns the time from the end of the burst until at least 95% of
// interactive requests meet their objective in every second that follows.
func recoveryTime(sim *simulation) time.Duration {
	last := sim.scenario.burstTo
	for from := sim.scenario.burstTo; from < sim.scenario.length-time.Second; from += time.Second {
		total, inTime := 0.0, 0.0
		for _, job := range sim.jobs {
			if job.kind != call.KindInteractive || job.arrived < from || job.arrived >= from+time.Second {
				continue
			}
			total++
			if job.attained() {
				inTime++
			}
		}
		if total > 0 && inTime/total < 0.95 {
			last = from + time.Second
		}
	}
	return last - sim.scenario.burstTo
}

func TestRecoveryAfterOverload(t *testing.T) {
	g := NewWithT(t)
	for name, scenario := range policies(currentSize().at(0.7)) {
		if name != "basilkeel" && name != "fifo" && !*fullRun {
			continue
		}
		scenario.burst, scenario.burstFrom, scenario.burstTo = 5*simCapacity, 10*time.Second, 20*time.Second
		for seed := range seeds() {
			scenario.seed = uint64(seed + 1)
			took := recoveryTime(simulate(scenario))
			t.Logf("%s seed %d recovers in %v", name, seed+1, took)
			if name == "basilkeel" {
				g.Expect(took).To(BeNumerically("<=", 5*time.Second))
			}
		}
	}
}

// flood returns a scenario in which the first of five equal accounts sends eight
// times its share.
func flood() scenario {
	scenario := currentSize().at(0.64 + 8*0.16)
	scenario.shares = []float64{1.28 / 1.92, 0.16 / 1.92, 0.16 / 1.92, 0.16 / 1.92, 0.16 / 1.92}
	return scenario
}

// othersAttained returns the share of interactive requests of all accounts but
// the first that met their objective.
func othersAttained(sim *simulation) float64 {
	total, inTime := 0.0, 0.0
	for _, job := range sim.jobs {
		if job.account == 0 || job.kind != call.KindInteractive || job.arrived < measureFrom || job.arrived >= measureTo {
			continue
		}
		total++
		if job.attained() {
			inTime++
		}
	}
	return inTime / total
}

func TestFloodDoesNotHarmOthers(t *testing.T) {
	g := NewWithT(t)
	variants := policies(flood())
	calm := currentSize().at(0.8)
	calm.shares = []float64{0.2, 0.2, 0.2, 0.2, 0.2}
	t.Logf("| no flood | others in time %.2f |", othersAttained(simulate(calm)))
	unfair := flood()
	unfair.queue.Policy = queue.Policy{NoFairness: true}
	variants["no fairness"] = unfair
	for name, scenario := range variants {
		var results []outcome
		for seed := range seeds() {
			scenario.seed = uint64(seed + 1)
			results = append(results, outcome{attainedShare: othersAttained(simulate(scenario))})
		}
		part := newSpread(results, attained)
		t.Logf("| flood %s | others in time %v |", name, part)
		if name == "basilkeel" {
			g.Expect(part.least).To(BeNumerically(">=", 0.9))
		} else {
			g.Expect(part.most).To(BeNumerically("<", 0.9), name)
		}
	}
}

func TestRatesInFrontOfTheQueue(t *testing.T) {
	if !*fullRun {
		t.Skip("a table for the docs; run with -overload.full -v")
	}
	for _, load := range []float64{2, 5} {
		for name, scenario := range policies(currentSize().at(load)) {
			scenario.enforceRates = true
			report(t, fmt.Sprintf("%.0fx, rates enforced, %s", load, name), runs(scenario, seeds()))
		}
	}
}

func TestFaultsUnderLoad(t *testing.T) {
	if !*fullRun {
		t.Skip("a table for the docs; run with -overload.full -v")
	}
	slow, lost, lag := currentSize().at(0.7), currentSize().at(0.7), currentSize().at(0.9)
	slow.slowServer, lost.loseServer, lag.reportLag = 6, true, 3*time.Second
	for title, base := range map[string]scenario{"slow": slow, "lost": lost, "lag": lag} {
		variants := policies(base)
		noEjection := base
		noEjection.route.Policy.NoEjection = true
		variants["not set aside"] = noEjection
		for name, scenario := range variants {
			report(t, title+" "+name, runs(scenario, seeds()))
		}
	}
}

func TestMechanismsOneByOne(t *testing.T) {
	if !*fullRun {
		t.Skip("a table for the docs; run with -overload.full -v")
	}
	without := map[string]queue.Policy{
		"all": {}, "no fairness": {NoFairness: true}, "no displacement": {NoDisplacement: true},
		"no deadline": {NoDeadline: true}, "no refusal": {NoRefusal: true}, "no pacing": {NoPacing: true},
		"no batch class": {NoBatchClass: true}, "strict kinds": {StrictPriority: true},
	}
	for name, policy := range without {
		scenario := currentSize().at(2)
		scenario.queue.Policy = policy
		report(t, "2x "+name, runs(scenario, seeds()))
	}
	for name, policy := range map[string]route.Policy{
		"no affinity": {NoAffinity: true}, "least loaded": {LeastLoaded: true}, "no distance": {NoDistance: true},
		"no budget": {NoBudget: true},
	} {
		scenario := currentSize().at(2)
		scenario.route.Policy = policy
		report(t, "2x "+name, runs(scenario, seeds()))
	}
}

// sliceCapacity is the requests per second at which useful work peaks in
// targetSlice, as TestSliceOfTheTarget shows.
const sliceCapacity = 950.0

// targetSlice returns a scenario with a tenth of the servers and models of the
// target size but all of its entries, so that an entry gets load reports of a
// server as rarely as at the target size.
func targetSlice(load float64) scenario {
	scenario := currentSize()
	scenario.entries, scenario.servers, scenario.models, scenario.copies = 400, 70, 34, 6
	scenario.slots, scenario.tunedSlots = 160, 80
	scenario.engine = engineModel{
		base: 8 * time.Millisecond, perStream: 330 * time.Microsecond,
		perPrompt: 20 * time.Microsecond, promptChunk: 512, prefixes: 64,
	}
	scenario.rate = load * sliceCapacity
	scenario.accountRate = sliceCapacity / float64(len(scenario.shares))
	return scenario
}

func TestSliceOfTheTarget(t *testing.T) {
	if !*fullRun {
		t.Skip("a table for the docs; run with -overload.full -v")
	}
	for _, load := range []float64{0.8, 1, 2, 5} {
		for name, scenario := range policies(targetSlice(load)) {
			report(t, fmt.Sprintf("slice %.2fx %s", load, name), runs(scenario, 2))
		}
	}
}
