package route_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/queue"
	"github.com/basilkeel/basilkeel/route"
)

// scenario configures a simulation of the real queue and router with a small
// model of engines and with faults.
type scenario struct {
	entries, servers, models, copies int
	slots, tunedSlots                int
	engine                           engineModel
	queue                            queue.Config
	route                            route.Config
	// rate is the requests per second of all accounts together, until length;
	// between burstFrom and burstTo it is burst.
	rate, burst                float64
	length, burstFrom, burstTo time.Duration
	// shares are the accounts' shares of the demand; their weights are equal.
	shares []float64
	seed   uint64
	// slowServer is the factor by which server 0 slows down after a third of the
	// run; zero means not.
	slowServer float64
	// loseServer stops server 0 after half of the run.
	loseServer bool
	// reportLag delays the load reports that come with the ends of attempts.
	reportLag time.Duration
	// callerTimeout is how long callers wait for a first token.
	callerTimeout time.Duration
	// accountRate is the requests per second that each account may send.
	accountRate float64
	// enforceRates refuses requests above accountRate before they reach a queue.
	enforceRates bool
}

// job is one request of a caller.
type job struct {
	number          int
	account         int
	entry           int
	kind            call.Kind
	query           route.Query
	prompt, shared  int
	output          int
	arrived         time.Duration
	sent            time.Duration
	first, last     time.Duration
	tries           int
	inRate          bool
	refused, failed bool
	done            bool
}

// attained reports whether the job was answered and met its objective.
func (job *job) attained() bool {
	if !job.done {
		return false
	}
	switch job.kind {
	case call.KindInteractive:
		gap := time.Duration(0)
		if job.output > 1 {
			gap = (job.last - job.first) / time.Duration(job.output-1)
		}
		return job.first-job.arrived <= 460*time.Millisecond && gap <= 46*time.Millisecond
	case call.KindVerdict:
		return job.last-job.arrived <= 2*time.Second
	default:
		return true
	}
}

// simEvent is a function to call at a simulated time; sequence orders events of
// the same time.
type simEvent struct {
	at       time.Duration
	sequence int
	act      func()
}

// eventHeap implements [heap.Interface] by time.
type eventHeap []simEvent

func (eventHeap eventHeap) Len() int { return len(eventHeap) }
func (eventHeap eventHeap) Less(i, j int) bool {
	return eventHeap[i].at < eventHeap[j].at || eventHeap[i].at == eventHeap[j].at && eventHeap[i].sequence < eventHeap[j].sequence
}

func (eventHeap eventHeap) Swap(i, j int) { eventHeap[i], eventHeap[j] = eventHeap[j], eventHeap[i] }
func (eventHeap *eventHeap) Push(x any)   { *eventHeap = append(*eventHeap, x.(simEvent)) }
func (eventHeap *eventHeap) Pop() any {
	last := (*eventHeap)[len(*eventHeap)-1]
	*eventHeap = (*eventHeap)[:len(*eventHeap)-1]
	return last
}

// simAgent is an agent with its queue and engine.
type simAgent struct {
	name   names.BackendServer
	queue  *queue.Queue
	engine *simEngine
	jobs   map[queue.ID]*job
	// resumed counts the tokens that preempted requests generated before.
	resumed  map[queue.ID]int
	sequence int64
	dead     bool
	tickAt   time.Duration
}

type simulation struct {
	scenario      scenario
	events        eventHeap
	sequence      int
	now           time.Duration
	random        *rand.Rand
	agents        map[names.BackendServer]*simAgent
	agentsInOrder []*simAgent
	routers       []*route.Router
	jobs          []*job
	// buckets are the accounts' token buckets, as of bucketTimes.
	buckets     []float64
	bucketTimes []time.Duration
	retries     int
	// causes counts refusals by account, kind and cause.
	causes map[string]int
}

const (
	simRoundTrip = 6 * time.Millisecond
	simBurst     = 2.0
)

func (sim *simulation) after(wait time.Duration, act func()) {
	sim.sequence++
	heap.Push(&sim.events, simEvent{at: sim.now + wait, sequence: sim.sequence, act: act})
}

func (sim *simulation) clock() time.Time { return at(sim.now) }

func simulate(scenario scenario) *simulation {
	sim := &simulation{
		scenario: scenario, random: rand.New(rand.NewPCG(scenario.seed, 1)),
		agents: map[names.BackendServer]*simAgent{}, causes: map[string]int{},
		buckets: make([]float64, len(scenario.shares)), bucketTimes: make([]time.Duration, len(scenario.shares)),
	}
	for number := range scenario.servers {
		agent := &simAgent{
			name: server(number), engine: &simEngine{model: scenario.engine},
			jobs: map[queue.ID]*job{}, resumed: map[queue.ID]int{},
		}
		config := scenario.queue
		config.Slots = scenario.slots
		agent.queue = queue.New(config)
		sim.agents[agent.name] = agent
		sim.agentsInOrder = append(sim.agentsInOrder, agent)
	}
	plan := fleet(scenario.models, scenario.servers, scenario.copies)
	for number := range scenario.entries {
		config := scenario.route
		config.Plan, config.Seed = plan, scenario.seed*1000+uint64(number)
		config.Domain = names.FailureDomain(fmt.Sprint("d", number%5))
		sim.routers = append(sim.routers, route.New(config))
	}
	sim.scheduleFaults()
	sim.scheduleArrival()
	for len(sim.events) > 0 && sim.now < scenario.length+30*time.Second {
		next, _ := heap.Pop(&sim.events).(simEvent)
		sim.now = next.at
		next.act()
	}
	return sim
}

func (sim *simulation) scheduleFaults() {
	if sim.scenario.slowServer > 0 {
		sim.after(sim.scenario.length/3, func() { sim.agentsInOrder[0].engine.slowFactor = sim.scenario.slowServer })
	}
	if sim.scenario.loseServer {
		sim.after(sim.scenario.length/2, func() { sim.kill(sim.agentsInOrder[0]) })
	}
}

func (sim *simulation) kill(agent *simAgent) {
	agent.dead = true
	jobs := make([]*job, 0, len(agent.jobs))
	for _, job := range sim.jobs {
		if agent.jobs[queue.ID{Request: job.id(), Attempt: uint32(job.tries)}] == job && !job.done {
			jobs = append(jobs, job)
		}
	}
	agent.jobs = map[queue.ID]*job{}
	for _, job := range jobs {
		sim.failAttempt(job, agent, call.CodeBroken, call.Unknown{}, nil)
	}
}

// scheduleArrival schedules the arrival of the next request, which schedules the
// one after it.
func (sim *simulation) scheduleArrival() {
	rate := sim.scenario.rate
	if sim.now >= sim.scenario.burstFrom && sim.now < sim.scenario.burstTo {
		rate = sim.scenario.burst
	}
	wait := time.Duration(sim.random.ExpFloat64() / rate * float64(time.Second))
	sim.after(wait, func() {
		if sim.now > sim.scenario.length {
			return
		}
		job := sim.drawJob()
		if job.refused = sim.scenario.enforceRates && !job.inRate; !job.refused {
			sim.send(job)
		}
		sim.scheduleArrival()
	})
}

func (sim *simulation) drawJob() *job {
	job := &job{number: len(sim.jobs), arrived: sim.now, entry: sim.random.IntN(len(sim.routers))}
	part := sim.random.Float64()
	for part > sim.scenario.shares[job.account] && job.account < len(sim.scenario.shares)-1 {
		part -= sim.scenario.shares[job.account]
		job.account++
	}
	job.kind = []call.Kind{
		call.KindInteractive, call.KindInteractive, call.KindInteractive, call.KindVerdict, call.KindBatch,
	}[sim.random.IntN(5)]
	length := func(mean float64) int { return max(1, min(int(3*mean), int(mean*sim.random.ExpFloat64()))) }
	switch job.kind {
	case call.KindInteractive:
		job.shared, job.prompt, job.output = 200, length(100), length(120)
	case call.KindVerdict:
		job.shared, job.prompt, job.output = 200, length(300), length(10)
	default:
		job.shared, job.prompt, job.output = 200, length(200), length(200)
	}
	model := sim.random.IntN(sim.scenario.models)
	prefix := int(math.Abs(sim.random.NormFloat64()) * 4)
	job.query = route.Query{
		Target: target(model), Prefix: uint64(1000*model + prefix + 1), Kind: job.kind, Idempotent: true,
	}
	job.inRate = sim.inRate(job)
	sim.jobs = append(sim.jobs, job)
	return job
}

// inRate reports whether the request is within its account's rate and burst, and
// counts it against them.
func (sim *simulation) inRate(job *job) bool {
	entitled, account := sim.scenario.accountRate, job.account
	elapsed := (sim.now - sim.bucketTimes[account]).Seconds()
	sim.bucketTimes[account] = sim.now
	sim.buckets[account] = min(simBurst*entitled, sim.buckets[account]+elapsed*entitled)
	if sim.buckets[account] < 1 {
		return false
	}
	sim.buckets[account]--
	return true
}

func (job *job) id() names.Request { return names.Request(fmt.Sprint(job.number)) }

// send picks a server by the job's entry and offers the request to its agent.
func (sim *simulation) send(job *job) {
	router := sim.routers[job.entry]
	choice, err := router.Pick(sim.clock(), job.query)
	var unavailable *route.UnavailableError
	if errors.As(err, &unavailable) {
		job.refused = true
		return
	}
	router.Sent(sim.clock(), choice.Server)
	job.tries++
	job.sent = sim.now
	job.query.Tried = append(job.query.Tried, choice.Server)
	agent := sim.agents[choice.Server]
	sim.after(simRoundTrip/2, func() { sim.offer(job, agent) })
}

func (sim *simulation) offer(job *job, agent *simAgent) {
	if agent.dead {
		sim.failAttempt(job, agent, call.CodeUnavailable, call.NotRun{}, nil)
		return
	}
	id := queue.ID{Request: job.id(), Attempt: uint32(job.tries)}
	agent.jobs[id] = job
	bound := 3 * job.output
	item := queue.Item{
		ID: id, Account: names.ClientAccount(fmt.Sprint(job.account)), Weight: 1, Kind: job.kind,
		Objective: simObjective(job.kind), Arrived: at(job.arrived), Model: job.query.Target.Model,
		PromptTokens: call.Tokens(job.prompt + job.shared/4), MaxTokens: call.Tokens(min(bound, 600)), Bytes: 1000,
	}
	if job.kind != call.KindBatch {
		item.Deadline = at(job.arrived + sim.scenario.callerTimeout)
	}
	sim.apply(agent, agent.queue.Offer(sim.clock(), item))
	sim.startWaiting(agent)
}

func (sim *simulation) apply(agent *simAgent, actions []queue.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case queue.Refuse:
			job := agent.jobs[action.ID]
			delete(agent.jobs, action.ID)
			sim.causes[fmt.Sprint(job.account, " ", job.kind, " ", action.Estimate.Cause)]++
			sim.failAttempt(job, agent, action.Refusal.Code, action.Refusal.OutcomeOrUnknown(), sim.load(agent))
		case queue.Preempt:
			if stream := agent.engine.remove(action.ID); stream != nil {
				agent.resumed[action.ID] += stream.tokens
				sim.apply(agent, agent.queue.Requeue(sim.clock(), action.ID, call.Tokens(stream.tokens)))
			}
		}
	}
}

func (sim *simulation) load(agent *simAgent) *route.Load {
	load := agent.queue.Load()
	agent.sequence++
	return &route.Load{
		Sequence: agent.sequence, Queued: load.Queued, Running: load.Running,
		FirstToken: load.FirstToken, Draining: load.Draining,
	}
}

// reportEnd reports the end of an attempt to the router of the job's entry, and
// the load report with it or, if reports lag, later.
func (sim *simulation) reportEnd(job *job, agent *simAgent, observation route.Observation, whole bool) {
	router := sim.routers[job.entry]
	if sim.scenario.reportLag > 0 && observation.Load != nil {
		load := *observation.Load
		observation.Load = nil
		sim.after(sim.scenario.reportLag, func() { router.Reported(sim.clock(), agent.name, load) })
	}
	if whole {
		router.Answered(sim.clock(), agent.name, observation)
		return
	}
	router.Failed(sim.clock(), agent.name, observation)
}

func (sim *simulation) failAttempt(job *job, agent *simAgent, code call.Code, outcome call.Outcome, load *route.Load) {
	sim.after(simRoundTrip/2, func() {
		sim.reportEnd(job, agent, route.Observation{Target: job.query.Target, Load: load, Code: code, Outcome: outcome}, false)
		wait, allowed := sim.routers[job.entry].MayRetry(sim.clock(), route.FailedAttempt{
			Kind: job.kind, Outcome: outcome, Idempotent: true, Code: code, Attempts: job.tries,
		})
		late := job.kind != call.KindBatch && sim.now-job.arrived >= sim.scenario.callerTimeout
		if !allowed || late {
			_, notRun := outcome.(call.NotRun)
			job.refused, job.failed = notRun, !notRun
			return
		}
		sim.retries++
		job.first = 0
		sim.after(wait, func() { sim.send(job) })
	})
}

// startWaiting starts the waiting requests that the agent's queue lets through,
// and the engine's next step.
func (sim *simulation) startWaiting(agent *simAgent) {
	sim.apply(agent, agent.queue.Tick(sim.clock()))
	for {
		item, ok := agent.queue.Start(sim.clock())
		if !ok {
			break
		}
		job := agent.jobs[item.ID]
		prompt := job.prompt
		if !agent.engine.cached(job.query.Prefix) {
			prompt += job.shared
		}
		if agent.resumed[item.ID] > 0 {
			prompt = 1
		}
		agent.engine.streams = append(agent.engine.streams, &stream{job: job, item: item, prompt: prompt})
	}
	if due, ok := agent.queue.Next(); ok {
		if wait := due.Sub(sim.clock()); agent.tickAt <= sim.now || sim.now+wait < agent.tickAt {
			agent.tickAt = sim.now + wait
			sim.after(wait, func() { sim.startWaiting(agent) })
		}
	}
	sim.step(agent)
}

func (sim *simulation) step(agent *simAgent) {
	if agent.engine.busy || len(agent.engine.streams) == 0 || agent.dead {
		return
	}
	agent.engine.busy = true
	sim.after(agent.engine.planStep(), func() {
		agent.engine.busy = false
		if agent.dead {
			return
		}
		for _, stream := range agent.engine.step() {
			sim.emitToken(agent, stream)
		}
		sim.startWaiting(agent)
	})
}

func (sim *simulation) emitToken(agent *simAgent, stream *stream) {
	if stream.removed {
		return
	}
	job := stream.job
	if job.first == 0 {
		job.first = sim.now + simRoundTrip/2
	}
	agent.queue.Progress(sim.clock(), stream.item.ID, call.Tokens(stream.tokens))
	if stream.tokens+agent.resumed[stream.item.ID] < job.output {
		return
	}
	job.last = sim.now + simRoundTrip/2
	job.done = true
	agent.engine.remove(stream.item.ID)
	delete(agent.jobs, stream.item.ID)
	delete(agent.resumed, stream.item.ID)
	sim.apply(agent, agent.queue.Finish(sim.clock(), stream.item.ID, call.Tokens(stream.tokens)))
	observation := route.Observation{Target: job.query.Target, FirstToken: job.first - job.sent, Load: sim.load(agent)}
	if job.output > 1 {
		observation.TokenGap = (job.last - job.first) / time.Duration(job.output-1)
	}
	sim.after(simRoundTrip/2, func() { sim.reportEnd(job, agent, observation, true) })
}
