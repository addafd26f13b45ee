package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/call"
)

const (
	// rounding is the tolerance for floating-point errors in the levels, in tokens.
	rounding    = 1e-3
	fuzzNodes   = 4
	rapidSteps  = 2000
	seededRuns  = 40
	seededSteps = 10000
)

// profile sets how often each fault occurs, per 10,000 steps.
type profile struct {
	name      string
	rate      call.TokenRate
	pause     int
	isolate   int
	storeDown int
	crash     int
	timeJump  int
	// longRequests makes requests run long and use no tokens.
	longRequests bool
	// resize is how often the limit changes.
	resize int
}

func profiles() []profile {
	return []profile{
		{name: "mixed", rate: 60, pause: 10, isolate: 5, storeDown: 5, crash: 3, timeJump: 3, resize: 10},
		{name: "loss of messages", rate: 60},
		{name: "changes of limit", rate: 60, resize: 50},
		{name: "long requests", rate: 100, longRequests: true},
		{name: "crashes", rate: 2, crash: 5},
		{name: "pauses", rate: 100, pause: 20},
		{name: "cuts", rate: 30, isolate: 10},
		{name: "outages", rate: 30, storeDown: 10, crash: 2, timeJump: 2},
	}
}

// step performs one chosen action, and may inject faults.
func (world *world) step() {
	world.endFaults()
	node := world.nodes[world.choose(len(world.nodes))]
	busy := 3
	if world.highLoad {
		busy = 26
	}
	switch action := world.choose(100); {
	case action < 20:
		world.advance(time.Duration(world.choose(10)) * 10 * time.Millisecond)
	case action < 20+busy:
		if !node.paused {
			node.reserve(call.Tokens(1 + world.choose(50)))
		}
	case action < 48:
		world.settle()
	case action < 49:
		node.timeOut()
	case action < 50 && world.choose(4) == 0:
		world.highLoad = !world.highLoad
	default:
		world.deliver(world.choose(4) == 0)
	}
	world.injectFaults(node)
}

// advance advances the time and runs the instances' timers that are due.
func (world *world) advance(elapsed time.Duration) {
	world.now += elapsed
	for _, node := range world.nodes {
		now := node.clock()
		if world.choose(20) == 0 {
			node.limit = world.limit
		}
		if node.paused {
			continue
		}
		if now.Sub(node.lastFlush) >= FlushPeriod {
			node.lastFlush = now
			node.flush()
			node.tick()
		}
		if now.Sub(node.lastMaintain) >= RenewPeriod/2 {
			node.lastMaintain = now
			for seat := range Seats {
				node.maintain(seat)
			}
		}
	}
}

// endFaults ends present faults at random.
func (world *world) endFaults() {
	for _, node := range world.nodes {
		node.paused = node.paused && world.choose(500) != 0
		node.isolated = node.isolated && world.choose(2000) != 0
	}
	world.storeDown = world.storeDown && world.choose(1000) != 0
}

// injectFaults injects faults at random, as often as the profile says.
func (world *world) injectFaults(node *node) {
	happens := func(weight int) bool { return weight > 0 && world.choose(10000) < weight }
	node.paused = node.paused || happens(world.profile.pause)
	node.isolated = node.isolated || happens(world.profile.isolate)
	world.storeDown = world.storeDown || happens(world.profile.storeDown)
	if happens(world.profile.crash) {
		world.crash(world.choose(len(world.nodes)))
	}
	if happens(world.profile.resize) {
		part := 1 + world.choose(3)
		world.limit = Limit{Rate: world.profile.rate * call.TokenRate(part) / 3, Burst: call.Tokens(100 * part)}
	}
	if happens(world.profile.timeJump) {
		world.advance(time.Duration(world.choose(8)) * time.Second)
	}
}

func (world *world) run(steps int) float64 {
	for range steps {
		world.step()
		world.mostOvercommitted = max(world.mostOvercommitted, world.overcommitted())
	}
	return world.oracle.excess()
}

func TestNeverAboveRateAndBurst(t *testing.T) {
	for _, profile := range profiles() {
		t.Run(profile.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				// Rapid favors small numbers; mixing spreads them over all choices.
				draws := uint64(0)
				choose := func(n int) int {
					draws++
					return int(mix(rapid.Uint64().Draw(t, "choice")+draws) % uint64(n))
				}
				world := newWorld(choose, Switches{}, profile)
				if excess := world.run(rapidSteps); excess > rounding {
					t.Fatalf("issued %.3f tokens above burst and rate", excess)
				}
				if world.mostOvercommitted > rounding {
					t.Fatalf("a seat exceeded its capacity by %.3f tokens", world.mostOvercommitted)
				}
			})
		})
	}
}

// trialResult is the result of several runs with seeded random choices.
type trialResult struct {
	exceeded   int
	mostExcess float64
	// overcommitted is the number of runs in which a seat's tokens exceeded its
	// capacity.
	overcommitted int
	issuedShare   float64
}

func runSeeded(profile profile, switches Switches) trialResult {
	var result trialResult
	var issued, allowed float64
	for seed := range uint64(seededRuns) {
		random := rand.New(rand.NewPCG(seed, 1))
		world := newWorld(random.IntN, switches, profile)
		excess := world.run(seededSteps)
		if excess > rounding {
			result.exceeded++
		}
		if world.mostOvercommitted > rounding {
			result.overcommitted++
		}
		result.mostExcess = max(result.mostExcess, excess)
		allowed += float64(world.limit.Burst) + float64(world.limit.Rate)*world.now.Seconds()
		for _, each := range world.oracle.admissions {
			issued += float64(each.tokens)
		}
	}
	result.issuedShare = issued / allowed
	return result
}

func TestFuzzFindsWhatMechanismsPrevent(t *testing.T) {
	cases := []struct {
		name     string
		switches Switches
		profile  int
	}{
		{name: "debit before credit", switches: Switches{CreditBeforeDebit: true}, profile: 4},
		{name: "reclaim after the borrower's end", switches: Switches{EarlyReclaim: true}, profile: 1},
		{name: "empty start of a new lender", switches: Switches{FullStart: true}, profile: 4},
		{name: "fencing of an expired lease", switches: Switches{NoFence: true}, profile: 6},
		{name: "lease counted from the request", switches: Switches{LeaseFromAnswer: true}, profile: 5},
		{name: "promise before takeover", switches: Switches{NoPromise: true}, profile: 6},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			result := runSeeded(profiles()[each.profile], each.switches)
			t.Logf("of %d runs %d above rate and burst, by up to %.0f tokens, %d with an overcommitted seat", seededRuns, result.exceeded, result.mostExcess, result.overcommitted)
			g.Expect(result.exceeded + result.overcommitted).To(BeNumerically(">", 0))
		})
	}
}

func TestSeededRunsStayWithinBounds(t *testing.T) {
	for _, profile := range profiles() {
		t.Run(profile.name, func(t *testing.T) {
			g := NewWithT(t)
			result := runSeeded(profile, Switches{})
			g.Expect(result.exceeded).To(BeZero())
			g.Expect(result.overcommitted).To(BeZero())
			t.Logf("%.0f %% of what is allowed was issued", 100*result.issuedShare)
		})
	}
}

// mix spreads the bits of number.
func mix(number uint64) uint64 {
	number = (number ^ number>>30) * 0xbf58476d1ce4e5b9
	number = (number ^ number>>27) * 0x94d049bb133111eb
	return number ^ number>>31
}
