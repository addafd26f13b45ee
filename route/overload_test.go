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

// today is the size of a user today.
func today() scenario {
	return scenario{
		entries: 3, servers: 12, models: 15, copies: 4, slots: 64, tuned: 30,
		engine: engineModel{
			base: 12 * time.Millisecond, perStream: 800 * time.Microsecond,
			perPrompt: 60 * time.Microsecond, chunk: 256, prefixes: 24,
		},
		length: 40 * time.Second, shares: []float64{0.35, 0.3, 0.15, 0.1, 0.1}, giveUp: 10 * time.Second, seed: 1,
	}
}

// simCapacity is the requests per second at which useful work peaks in today's
// size, found by TestOverloadTable.
const simCapacity = 90.0

func (scenario scenario) at(load float64) scenario {
	scenario.rate = load * simCapacity * float64(scenario.servers) / 12
	scenario.entitled = simCapacity * float64(scenario.servers) / 12 / float64(len(scenario.shares))
	return scenario
}

// policies are the ways that are measured side by side.
func policies(base scenario) map[string]scenario {
	least := route.Policy{LeastLoaded: true, NoAffinity: true, NoEjection: true, NoDistance: true, NoBudget: true}
	fifo, static := base, base
	fifo.route.Policy, static.route.Policy = least, least
	fifo.queue.Policy = queue.Policy{NoFairness: true, NoDeadline: true, NoRefusal: true, NoPacing: true, NoBatchClass: true}
	static.queue.Policy = queue.Policy{NoFairness: true, StrictKinds: true, NoRefusal: true, NoPacing: true, NoBatchClass: true}
	fifo.queue.Preemptions, static.queue.Preemptions = -1, -1
	// The tuned baselines run no more at once than fits the gap between tokens,
	// as an operator who knows the engine would set by hand.
	tunedFifo, tunedStatic := fifo, static
	tunedFifo.slots, tunedStatic.slots = base.tuned, base.tuned
	return map[string]scenario{
		"fifo": fifo, "static": static, "fifo, tuned": tunedFifo, "static, tuned": tunedStatic, "basilkeel": base,
	}
}

// outcome is what one run came to.
type outcome struct {
	// useful is tokens per second and server of requests that met their objective.
	useful float64
	// attained is the part of interactive requests that were answered in time, of
	// all and of those that were not refused.
	attained, kept float64
	// worst is the least of the accounts' useful work over its fair share.
	worst float64
	// worstAll is the same with batch work counted.
	worstAll float64
	// wrongful is the part of requests inside their rate that were refused.
	wrongful float64
	failed   int
	perUser  []float64
}

// measure reads a run between two times.
func (sim *simulation) measure(from, to time.Duration, capacity float64) outcome {
	accounts := len(sim.scenario.shares)
	result := outcome{perUser: make([]float64, accounts)}
	demand, owed, owedGot := make([]float64, accounts), make([]float64, accounts), make([]float64, accounts)
	var total, attained, kept, inRate, wrongful float64
	for _, job := range sim.jobs {
		if job.done && job.last >= from && job.last < to {
			if job.attained() {
				result.useful += float64(job.output)
				result.perUser[job.account] += float64(job.output)
			}
		}
		if job.arrived < from || job.arrived >= to {
			continue
		}
		demand[job.account] += float64(job.output)
		if job.kind != call.KindBatch {
			owed[job.account] += float64(job.output)
			if job.attained() {
				owedGot[job.account] += float64(job.output)
			}
		}
		if job.kind == call.KindInteractive {
			total++
			if !job.refused {
				kept++
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
	result.worst = worst(owedGot, owed, max(capacity*span*float64(sim.scenario.servers), sum(owedGot)))
	result.worstAll = worst(result.perUser, demand, max(capacity*span*float64(sim.scenario.servers), result.useful))
	result.useful /= span * float64(sim.scenario.servers)
	result.attained, result.kept, result.wrongful = attained/total, attained/max(1, kept), wrongful/max(1, inRate)
	return result
}

// worst is the least part that an account got of its fair share: the max-min
// fair division of capacity over the demands.
func worst(got, demand []float64, capacity float64) float64 {
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
		result.useful, 100*result.attained, 100*result.kept, result.worst, result.worstAll, 100*result.wrongful, result.failed)
}

const (
	warmUp = 8 * time.Second
	coolUp = 38 * time.Second
)

// spread is the least, the mean and the greatest of a figure over the seeds.
type spread struct{ least, mean, most float64 }

func spreadOf(results []outcome, figure func(outcome) float64) spread {
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

func useful(result outcome) float64     { return result.useful }
func attained(result outcome) float64   { return result.attained }
func worstOwed(result outcome) float64  { return result.worst }
func worstTotal(result outcome) float64 { return result.worstAll }
func wrongful(result outcome) float64   { return result.wrongful }
func broken(result outcome) float64     { return float64(result.failed) }

// runs measures a scenario over seeds from one.
func runs(scenario scenario, seeds int) []outcome {
	results := make([]outcome, 0, seeds)
	for seed := range seeds {
		scenario.seed = uint64(seed + 1)
		results = append(results, simulate(scenario).measure(warmUp, coolUp, 0))
	}
	return results
}

func report(t *testing.T, title string, results []outcome) {
	t.Helper()
	t.Logf("| %s | %v | %v | %v | %v | %v | %v |", title, spreadOf(results, useful), spreadOf(results, attained),
		spreadOf(results, worstOwed), spreadOf(results, worstTotal), spreadOf(results, wrongful), spreadOf(results, broken))
}

// quickSeeds are run in CI, fullSeeds for the docs.
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
		for name, scenario := range policies(today().at(load)) {
			if name != "basilkeel" && !*fullRun {
				continue
			}
			results := runs(scenario, seeds())
			report(t, fmt.Sprintf("%.2fx %s", load, name), results)
			if name != "basilkeel" {
				continue
			}
			peak = max(peak, spreadOf(results, useful).mean)
			if load < 2 {
				continue
			}
			g.Expect(spreadOf(results, useful).least).To(BeNumerically(">=", 0.9*peak), "useful work")
			g.Expect(spreadOf(results, worstOwed).least).To(BeNumerically(">=", 0.8), "worst-served account")
		}
	}
}

// recovered is how long after the burst's end 95 in 100 interactive requests
// are in time again, in every second from then on.
func recovered(sim *simulation) time.Duration {
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
	for name, scenario := range policies(today().at(0.7)) {
		if name != "basilkeel" && name != "fifo" && !*fullRun {
			continue
		}
		scenario.burst, scenario.burstFrom, scenario.burstTo = 5*simCapacity, 10*time.Second, 20*time.Second
		for seed := range seeds() {
			scenario.seed = uint64(seed + 1)
			took := recovered(simulate(scenario))
			t.Logf("%s seed %d recovers in %v", name, seed+1, took)
			if name == "basilkeel" {
				g.Expect(took).To(BeNumerically("<=", 5*time.Second))
			}
		}
	}
}

// flood lets the first of five equal accounts send eight times its part.
func flood() scenario {
	scenario := today().at(0.64 + 8*0.16)
	scenario.shares = []float64{1.28 / 1.92, 0.16 / 1.92, 0.16 / 1.92, 0.16 / 1.92, 0.16 / 1.92}
	return scenario
}

// others is the part of the interactive requests of all but the first account
// that were answered in time.
func others(sim *simulation) float64 {
	total, inTime := 0.0, 0.0
	for _, job := range sim.jobs {
		if job.account == 0 || job.kind != call.KindInteractive || job.arrived < warmUp || job.arrived >= coolUp {
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
	ways := policies(flood())
	calm := today().at(0.8)
	calm.shares = []float64{0.2, 0.2, 0.2, 0.2, 0.2}
	t.Logf("| no flood | others in time %.2f |", others(simulate(calm)))
	unfair := flood()
	unfair.queue.Policy = queue.Policy{NoFairness: true}
	ways["no fairness"] = unfair
	for name, scenario := range ways {
		var results []outcome
		for seed := range seeds() {
			scenario.seed = uint64(seed + 1)
			results = append(results, outcome{attained: others(simulate(scenario))})
		}
		part := spreadOf(results, attained)
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
		for name, scenario := range policies(today().at(load)) {
			scenario.enforced = true
			report(t, fmt.Sprintf("%.0fx, rates enforced, %s", load, name), runs(scenario, seeds()))
		}
	}
}

func TestFaultsUnderLoad(t *testing.T) {
	if !*fullRun {
		t.Skip("a table for the docs; run with -overload.full -v")
	}
	slow, lost, lag := today().at(0.7), today().at(0.7), today().at(0.9)
	slow.slowServer, lost.lose, lag.lag = 6, true, 3*time.Second
	for title, base := range map[string]scenario{"slow": slow, "lost": lost, "lag": lag} {
		ways := policies(base)
		kept := base
		kept.route.Policy.NoEjection = true
		ways["not set aside"] = kept
		for name, scenario := range ways {
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
		"no batch class": {NoBatchClass: true}, "strict kinds": {StrictKinds: true},
	}
	for name, policy := range without {
		scenario := today().at(2)
		scenario.queue.Policy = policy
		report(t, "2x "+name, runs(scenario, seeds()))
	}
	for name, policy := range map[string]route.Policy{
		"no affinity": {NoAffinity: true}, "least loaded": {LeastLoaded: true}, "no distance": {NoDistance: true},
		"no budget": {NoBudget: true},
	} {
		scenario := today().at(2)
		scenario.route.Policy = policy
		report(t, "2x "+name, runs(scenario, seeds()))
	}
}

// sliceCapacity is the requests per second at which the slice's useful work peaks,
// found by TestSliceOfTheTarget.
const sliceCapacity = 950.0

// slice is a tenth of the target's servers and models with all of its entries,
// so that an entry hears as seldom of a server as at the target.
func slice(load float64) scenario {
	scenario := today()
	scenario.entries, scenario.servers, scenario.models, scenario.copies = 400, 70, 34, 6
	scenario.slots, scenario.tuned = 160, 80
	scenario.engine = engineModel{
		base: 8 * time.Millisecond, perStream: 330 * time.Microsecond,
		perPrompt: 20 * time.Microsecond, chunk: 512, prefixes: 64,
	}
	scenario.rate = load * sliceCapacity
	scenario.entitled = sliceCapacity / float64(len(scenario.shares))
	return scenario
}

func TestSliceOfTheTarget(t *testing.T) {
	if !*fullRun {
		t.Skip("a table for the docs; run with -overload.full -v")
	}
	for _, load := range []float64{0.8, 1, 2, 5} {
		for name, scenario := range policies(slice(load)) {
			report(t, fmt.Sprintf("slice %.2fx %s", load, name), runs(scenario, 2))
		}
	}
}
