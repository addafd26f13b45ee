package place_test

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/place"
)

const (
	simStep     = 2 * time.Second
	simWarmUp   = 30 * time.Minute
	simMeasured = 2 * time.Hour
	simSpeed    = 3000
	simMemory   = 80
	simWeights  = 0.7
	simTokens   = 600 // per request
	simLoad     = 6 * time.Second
	simAccounts = 5
	// simUtilization is the approximate mean demand as a fraction of the fleet's
	// speed.
	simUtilization = 0.5
	// simPeriod is the period of demand, which rises tenfold in half of it.
	simPeriod = 2 * time.Hour
)

// size is the size and limits of a simulated fleet.
type size struct {
	name                      string
	models, servers, domains  int
	accelerators, loadsAtOnce int
	loadsPerSecond            float64
	adaptersAtOnce, adapters  int
}

var sizes = []size{
	{"vatuloa", 15, 12, 3, 1, 3, 2, 25, 0},
	{"fachwerk", 25, 18, 3, 1, 5, 3, 40, 0},
	{"target", 340, 700, 5, 4, 5, 3, 40, 0},
}

// rates is the demand of one run by model, split over client accounts.
type rates struct {
	base, phase []float64
	shares      [][]float64
	total       float64
}

func newRates(size size, random *rand.Rand) *rates {
	rates := &rates{total: float64(size.servers) * simSpeed}
	for i := range size.models {
		rates.base = append(rates.base, 1/math.Pow(float64(i+1), 0.6))
		rates.phase = append(rates.phase, random.Float64())
		shares, sum := make([]float64, simAccounts), 0.0
		for j := range shares {
			shares[j] = math.Pow(random.Float64(), 4) / float64(j+1)
			sum += shares[j]
		}
		for j := range shares {
			shares[j] /= sum
		}
		rates.shares = append(rates.shares, shares)
	}
	return rates
}

// at returns the rate of each model, which varies between its minimum and ten
// times that. The sum is limited to four fifths of the fleet's speed.
func (rates *rates) at(elapsed time.Duration) []float64 {
	result := make([]float64, len(rates.base))
	var base, sum float64
	for _, rate := range rates.base {
		base += rate
	}
	scale := simUtilization * rates.total / base / 3.9 // 3.9 is roughly the mean of the factor below
	for i := range result {
		angle := 2 * math.Pi * (elapsed.Seconds()/simPeriod.Seconds() + rates.phase[i])
		result[i] = scale * rates.base[i] * math.Pow(10, (1-math.Cos(angle))/2)
		sum += result[i]
	}
	if most := 0.8 * rates.total; sum > most {
		for i := range result {
			result[i] *= most / sum
		}
	}
	return result
}

// totals holds the measurements of one run.
type totals struct {
	requested, served [simAccounts]float64
	duration          time.Duration
	loads, refused    float64
	unreachable       float64
}

func (totals *totals) attainment() float64 {
	var asked, served float64
	for i := range totals.requested {
		asked, served = asked+totals.requested[i], served+totals.served[i]
	}
	return served / asked
}

func (totals *totals) worstAttainment() float64 {
	worst := 1.0
	for i := range totals.requested {
		worst = min(worst, totals.served[i]/totals.requested[i])
	}
	return worst
}

// policy decides which models are resident on which servers.
type policy interface {
	// step advances time and acts on the requested rates and on those that were
	// unserved in the previous step.
	step(sim *sim, rates, unserved []float64)
}

// sim is a simulated fleet under a policy, in virtual time.
type sim struct {
	*world
	size       size
	random     *rand.Rand
	modelBytes []int64
	totals     totals
	served     []map[*runner]float64
}

func newSim(size size, seed uint64, config place.Config) (*sim, *rates) {
	random := rand.New(rand.NewPCG(seed, 7))
	bytes := make([]int64, size.models)
	for i := range bytes {
		bytes[i] = 10 + random.Int64N(15)
	}
	models := newModels(size.models, func(i int) int64 { return bytes[i] }, size.adapters)
	world := newWorld(models, size.servers, size.domains, simMemory, 1, config)
	world.loadTime, world.unloadTime = simLoad, simStep
	return &sim{world: world, size: size, random: random, modelBytes: bytes}, newRates(size, random)
}

// run runs policy and returns the measurements after the warm-up.
func (sim *sim) run(policy policy, rates *rates) totals {
	unserved := make([]float64, sim.size.models)
	for elapsed := time.Duration(0); elapsed < simWarmUp+simMeasured; elapsed += simStep {
		if elapsed == simWarmUp {
			sim.totals = totals{}
		}
		asked := rates.at(elapsed)
		policy.step(sim, asked, unserved)
		unserved = sim.serve(asked)
		for i := range asked {
			for account, share := range rates.shares[i] {
				sim.totals.requested[account] += share * asked[i] * simStep.Seconds()
				sim.totals.served[account] += share * (asked[i] - unserved[i]) * simStep.Seconds()
			}
			sim.totals.refused += unserved[i] * simStep.Seconds() / simTokens
		}
		sim.totals.duration += simStep
	}
	return sim.totals
}

// serve splits each model's rate over its copies as a router that balances by
// load does, and returns the unserved rates.
func (sim *sim) serve(asked []float64) []float64 {
	left := append([]float64(nil), asked...)
	spare := make(map[*runner]float64, len(sim.runners))
	for _, runner := range sim.runners {
		spare[runner] = simSpeed
	}
	copies := make([][]*runner, len(asked))
	sim.served = make([]map[*runner]float64, len(asked))
	for i, model := range sim.models {
		copies[i] = sim.copiesOf(model.Name())
		sim.served[i] = map[*runner]float64{}
		if len(copies[i]) == 0 {
			sim.totals.unreachable += asked[i] * simStep.Seconds() / simTokens
		}
	}
	for range 6 {
		wanted := map[*runner]float64{}
		parts := make([]map[*runner]float64, len(asked))
		for i := range left {
			parts[i] = map[*runner]float64{}
			var room float64
			for _, runner := range copies[i] {
				room += spare[runner]
			}
			for _, runner := range copies[i] {
				if room > 0 {
					parts[i][runner] = left[i] * spare[runner] / room
					wanted[runner] += parts[i][runner]
				}
			}
		}
		for i := range left {
			for _, runner := range copies[i] {
				given := parts[i][runner]
				if wanted[runner] > spare[runner] {
					given *= spare[runner] / wanted[runner]
				}
				left[i] -= given
				sim.served[i][runner] += given
			}
		}
		for runner, sum := range wanted {
			spare[runner] = max(0, spare[runner]-sum)
		}
	}
	return left
}

func (sim *sim) copiesOf(model names.Model) []*runner {
	item := ledger.Item{Model: model}
	var found []*runner
	for _, runner := range sim.runners {
		if ready, ok := runner.usableAt[item]; ok && !sim.now.Before(ready) {
			if _, ok := runner.reserved[item]; ok {
				found = append(found, runner)
			}
		}
	}
	return found
}

// plannerPolicy is the policy of [place.Planner].
type plannerPolicy struct{}

func (plannerPolicy *plannerPolicy) step(sim *sim, rates, unserved []float64) {
	demands := make([]place.Demand, len(rates))
	for i := range rates {
		demands[i] = place.Demand{
			Model: sim.models[i].Name(), TokensPerSecond: rates[i], WorstAttainment: 1 - unserved[i]/rates[i],
		}
	}
	before := sim.stored
	sim.step(0, demands, simStep)
	if sim.stored == before {
		return
	}
	for _, target := range sim.stored.Targets() {
		old, _ := before.Target(target.Server)
		if target.Changed == old.Changed {
			continue
		}
		permitted := loads(old)
		for _, assignment := range target.Items {
			if assignment.MayLoad && !permitted[assignment.Weights.Item] {
				sim.totals.loads++
			}
		}
	}
}
