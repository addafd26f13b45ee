package sched_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/sched"
)

const (
	// tick is the resolution of the simulation.
	tick           = time.Millisecond
	simEntries     = 24
	reportPeriod   = 250 * time.Millisecond
	chunkTokens    = 2048
	eventTokens    = 7
	outputTokens   = 42 * eventTokens
	gapLimit       = 250 * time.Millisecond
	urgentLimit    = 450 * time.Millisecond
	deferredLimit  = 5 * time.Second
	callerTimeout  = 20 * time.Second
	ownChoiceRetry = 500 * time.Millisecond
	// warmUp is the time until engines have been measured. Requests that begin within it
	// are not counted.
	warmUp = 3 * time.Second
)

// simRequest is a request of a caller, and its stream once an engine runs it.
type simRequest struct {
	entry     int
	model     names.Model
	account   names.ClientAccount
	priority  int
	objective time.Duration
	prompt    int64
	began     time.Time
	retried   bool
	// placed is the reservation, or nil if the entry chose the engine.
	placed   *sched.Placed
	sentAt   time.Time
	unread   int64
	reading  int64
	tokens   int
	firstAt  time.Time
	eventAt  time.Time
	paused   bool
	finished bool
	engine   *simEngine
}

// inTime reports whether the first event came within the objective.
func (request *simRequest) inTime() bool {
	return !request.firstAt.IsZero() && request.firstAt.Sub(request.began) <= request.objective
}

// simEngine runs steps that each read prompt tokens and generate one token of each stream
// whose prompt has been read.
type simEngine struct {
	server    *pool.Server
	pace      float64
	step      time.Duration
	readRate  float64
	slowdown  float64
	slowUntil time.Time
	fastUntil time.Time
	streams   []*simRequest
	batch     []*simRequest
	busyUntil time.Time
}

type simEvent struct {
	at     time.Time
	happen func()
}

// simConfig configures a [simulation].
type simConfig struct {
	seed uint64
	// scheduled selects the scheduler instead of [pool.Pool.Pick].
	scheduled bool
	// engines is the number of engines of each of the models, slots that of their slots.
	models, engines, slots int
	// slow is the pace of every third engine.
	slow float64
	// slowdowns reports whether engines are slower at times, stated whether they say so.
	slowdowns, stated bool
	accountRate       float64
	// arrive is called once a tick.
	arrive func(*simulation)
	length time.Duration
}

// simulation simulates callers, entries that ask a scheduler and report to it, and engines.
type simulation struct {
	config simConfig
	// random is for latencies and slowdowns, arrivals for requests, so that the same requests
	// arrive with and without the scheduler.
	random    *rand.Rand
	arrivals  *rand.Rand
	scheduler *sched.Scheduler
	entries   []*pool.Pool
	engines   []*simEngine
	events    []simEvent
	now       time.Time
	requests  []*simRequest
}

func simulate(config simConfig) *simulation {
	simulation := &simulation{config: config, random: rand.New(rand.NewPCG(config.seed, 11)), arrivals: rand.New(rand.NewPCG(config.seed, 13)), now: epoch}
	choices := rand.New(rand.NewPCG(config.seed, 12))
	settings := schedulerConfig(choices)
	settings.AccountRate = func(names.ClientAccount) float64 { return config.accountRate }
	var engines []sched.Engine
	for index := range config.models * config.engines {
		held := engine(names.BackendServer(fmt.Sprintf("e%02d", index)), names.Model(fmt.Sprintf("m%d", index/config.engines)))
		held.Server.Slots, held.Server.Domain = config.slots, domain(index)
		pace := 1.0
		if config.slow > 0 && index%3 == 0 {
			pace = config.slow
		}
		simulation.engines = append(simulation.engines, &simEngine{
			server: held.Server, pace: pace, slowdown: 1, busyUntil: epoch, fastUntil: epoch,
			step: time.Duration(4400+simulation.random.IntN(600)) * time.Microsecond, readRate: 38 + 3*simulation.random.Float64(),
		})
		engines = append(engines, held)
	}
	simulation.scheduler = newScheduler(settings, engines...)
	for range simEntries {
		entry := pool.New(pool.Config{RegistryPeriod: time.Second, Random: choices.Float64})
		for _, each := range simulation.engines {
			entry.Put(each.server)
		}
		simulation.entries = append(simulation.entries, entry)
	}
	simulation.run()
	return simulation
}

func schedulerConfig(choices *rand.Rand) sched.Config {
	settings := config()
	settings.DeferFrom, settings.Random = 10*urgentLimit, choices.Float64
	return settings
}

func domain(index int) names.FailureDomain {
	return names.FailureDomain([]string{"a", "b", "c"}[index%3])
}

// run simulates the configured time, and then until all requests have ended.
func (simulation *simulation) run() {
	for elapsed := time.Duration(0); elapsed < simulation.config.length+callerTimeout; elapsed += tick {
		simulation.now = at(elapsed)
		var due []simEvent
		simulation.events = slices.DeleteFunc(simulation.events, func(event simEvent) bool {
			if event.at.After(simulation.now) {
				return false
			}
			due = append(due, event)
			return true
		})
		for _, event := range due {
			event.happen()
		}
		for _, engine := range simulation.engines {
			simulation.runEngine(engine)
		}
		for index := range simulation.entries {
			if (elapsed/tick+time.Duration(index*10))%(reportPeriod/tick) == 0 {
				simulation.report(index)
			}
		}
		if elapsed < simulation.config.length {
			simulation.config.arrive(simulation)
		}
	}
}

func (simulation *simulation) after(delay time.Duration, happen func()) {
	simulation.events = append(simulation.events, simEvent{at: simulation.now.Add(delay), happen: happen})
}

// latency returns the time from an entry to the coordinator or to an engine.
func (simulation *simulation) latency() time.Duration {
	return time.Duration(900+simulation.random.IntN(4500)) * time.Microsecond
}

// report sends an entry's report to the coordinator, and its loads to the other entries.
func (simulation *simulation) report(index int) {
	entry, asked := simulation.entries[index], simulation.now
	loads, uses := entry.OwnRequests(), inOrder(entry.TakeUses())
	simulation.after(simulation.latency(), func() {
		if simulation.config.scheduled {
			simulation.scheduler.Report(instance(index), loads, uses, simulation.now)
		}
		others := map[names.BackendServer]int{}
		for other, each := range simulation.entries {
			if other == index {
				continue
			}
			for id, count := range each.OwnRequests() {
				others[id] += count
			}
		}
		simulation.after(simulation.latency(), func() { entry.ApplyUpdate(pool.Update{Others: others, Until: asked.Add(time.Second)}) })
	})
}

// inOrder sorts what an entry has measured, so that a simulation with the scheduler always has
// the same result.
func inOrder(uses []pool.EngineUse) []pool.EngineUse {
	slices.SortFunc(uses, func(a, b pool.EngineUse) int { return cmp.Compare(a.Server, b.Server) })
	return uses
}

func instance(index int) names.Instance { return names.Instance(fmt.Sprintf("edge-%d", index)) }

// add has a request arrive at a random entry.
func (simulation *simulation) add(request simRequest) {
	request.entry, request.began = simulation.arrivals.IntN(simEntries), simulation.now
	added := &request
	simulation.requests = append(simulation.requests, added)
	simulation.choose(added)
}

// choose asks for an engine.
func (simulation *simulation) choose(request *simRequest) {
	if simulation.now.Sub(request.began) >= callerTimeout {
		return
	}
	if !simulation.config.scheduled {
		query := pool.Query{Service: service, Model: request.model, Domain: domain(request.entry)}
		choice, chosen := simulation.entries[request.entry].Pick(query, simulation.now).(pool.Chosen)
		if !chosen {
			simulation.refuse(request, ownChoiceRetry)
			return
		}
		simulation.send(request, choice.Server.ID)
		return
	}
	slowdowns := inOrder(simulation.entries[request.entry].TakeSlowdowns())
	simulation.after(simulation.latency(), func() {
		elapsed := simulation.now.Sub(request.began)
		decision := simulation.scheduler.Place(sched.Request{
			Instance: instance(request.entry), Domain: domain(request.entry), Account: request.account, Model: request.model,
			PromptTokens: request.prompt, OutputTokens: outputTokens, Tokens: float64(request.prompt + outputTokens), Elapsed: elapsed,
			Left: callerTimeout - elapsed, Objective: request.objective, Priority: request.priority, Slowdowns: slowdowns,
		}, simulation.now)
		back := simulation.latency()
		switch decision := decision.(type) {
		case sched.Placed:
			request.placed = &decision
			simulation.after(back+decision.Wait, func() { simulation.send(request, decision.Server) })
		case sched.Later:
			simulation.after(back+decision.Wait, func() { simulation.choose(request) })
		case sched.Refused:
			simulation.after(back, func() { simulation.refuse(request, decision.RetryAfter) })
		}
	})
}

// refuse refuses a request. Callers retry once.
func (simulation *simulation) refuse(request *simRequest, retryAfter time.Duration) {
	if request.retried {
		return
	}
	request.retried = true
	simulation.after(retryAfter, func() { simulation.choose(request) })
}

func (simulation *simulation) send(request *simRequest, server names.BackendServer) {
	index := slices.IndexFunc(simulation.engines, func(engine *simEngine) bool { return engine.server.ID == server })
	request.engine, request.sentAt, request.unread = simulation.engines[index], simulation.now, request.prompt
	simulation.entries[request.entry].StartRequest(server, request.prompt, simulation.now)
	simulation.after(simulation.latency(), func() { request.engine.streams = append(request.engine.streams, request) })
}

// runEngine ends the step of an engine and begins the next one when it is time.
func (simulation *simulation) runEngine(engine *simEngine) {
	if simulation.config.slowdowns {
		simulation.changeSlowdown(engine)
	}
	for !engine.busyUntil.After(simulation.now) {
		simulation.endStep(engine)
		if len(engine.streams) == 0 {
			engine.busyUntil = simulation.now.Add(tick)
			return
		}
		engine.batch = append(engine.batch, engine.streams[:min(len(engine.streams), engine.server.Slots)]...)
		budget := int64(chunkTokens)
		for _, request := range engine.batch {
			request.reading = min(budget, request.unread)
			budget -= request.reading
		}
		reading := float64(chunkTokens-budget) / engine.readRate * float64(time.Millisecond)
		engine.busyUntil = engine.busyUntil.Add(time.Duration((float64(engine.step) + reading) * engine.pace * engine.slowdown))
	}
}

// changeSlowdown has an engine take 1.5 to 3 times as long for 0.1 to 0.5 s at times.
func (simulation *simulation) changeSlowdown(engine *simEngine) {
	switch {
	case engine.slowdown > 1 && simulation.now.After(engine.slowUntil):
		engine.slowdown, engine.fastUntil = 1, simulation.now.Add(time.Duration(200+simulation.random.IntN(1500))*time.Millisecond)
	case engine.slowdown == 1 && simulation.now.After(engine.fastUntil):
		engine.slowdown, engine.slowUntil = 1.5+1.5*simulation.random.Float64(), simulation.now.Add(time.Duration(100+simulation.random.IntN(400))*time.Millisecond)
	}
}

// endStep applies the step that has ended.
func (simulation *simulation) endStep(engine *simEngine) {
	for _, request := range engine.batch {
		if request.unread > 0 {
			request.unread -= request.reading
			continue
		}
		request.tokens++
		if request.tokens%eventTokens == 0 {
			simulation.endEvent(request, engine.busyUntil)
		}
	}
	if len(engine.batch) > 0 {
		engine.batch = engine.batch[:0]
		engine.streams = slices.DeleteFunc(engine.streams, func(request *simRequest) bool { return request.finished })
	}
}

// endEvent records an event of a stream.
func (simulation *simulation) endEvent(request *simRequest, now time.Time) {
	entry, engine := simulation.entries[request.entry], request.engine
	if request.firstAt.IsZero() {
		request.firstAt = now
		entry.FinishPrompt(engine.server.ID, request.prompt)
		if simulation.config.stated {
			entry.RecordSlowdown(engine.server, engine.slowdown, now)
		}
		if request.placed != nil && request.placed.Idle {
			entry.RecordReading(engine.server, request.placed.UnreadTokens, now.Sub(request.sentAt))
		}
	} else {
		request.paused = request.paused || now.Sub(request.eventAt) > gapLimit
		if request.placed != nil {
			entry.RecordEvents(engine.server, 1, now.Sub(request.eventAt))
		}
	}
	request.eventAt = now
	entry.RecordBytes(engine.server.ID, request.sentAt, now)
	if request.tokens >= outputTokens {
		request.finished = true
		entry.EndRequest(engine.server.ID)
	}
}

// tally counts requests.
type tally struct{ all, served, paused, inTime int }

// tally counts the requests that a filter selects.
func (simulation *simulation) tally(selects func(*simRequest) bool) tally {
	var result tally
	for _, request := range simulation.requests {
		if request.began.Before(at(warmUp)) || !selects(request) {
			continue
		}
		result.all++
		if request.finished {
			result.served++
		}
		if request.paused {
			result.paused++
		}
		if request.inTime() {
			result.inTime++
		}
	}
	return result
}

func (tally *tally) add(other tally) {
	tally.all += other.all
	tally.served += other.served
	tally.paused += other.paused
	tally.inTime += other.inTime
}

// pausedPart returns the part of the served streams that were paused for too long.
func (tally *tally) pausedPart() float64 {
	return float64(tally.paused) / float64(max(tally.served, 1))
}

// inTimePart returns the part of the requests whose first event came within the objective.
func (tally *tally) inTimePart() float64 { return float64(tally.inTime) / float64(max(tally.all, 1)) }

// servedPart returns the part of the requests that were served.
func (tally *tally) servedPart() float64 { return float64(tally.served) / float64(max(tally.all, 1)) }
