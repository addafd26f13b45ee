package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/rate"
)

const (
	// reportDelay is how long after a request was to be sent the entry's next report
	// contains it for certain: the reply has to arrive first.
	reportDelay = 40 * time.Millisecond
	// placementLifetime is how long a placement counts without a report of its entry, and
	// reportLifetime how long a report counts.
	placementLifetime = 2 * time.Second
	reportLifetime    = 2 * time.Second
	// failingSpan is the time within which two entries have to report an engine as failing
	// for it to be avoided, and how long it is avoided then. A single entry may have lost its own
	// link.
	failingSpan = time.Second
	// maxCachedParts bounds the parts of prompts that are remembered for an engine.
	maxCachedParts = 512
	// slotLimit is the number of requests on an engine, relative to its slots, from which
	// it gets no further ones.
	slotLimit = 1.0
	// bookingHorizon bounds the time for which an engine's intake is reserved ahead.
	// Requests of higher priority that come later have to wait for what is reserved.
	bookingHorizon = 120 * time.Millisecond
	// lowestHorizon is the part of bookingHorizon for the lowest priority.
	lowestHorizon = 0.5
	// refusalSpan is how long after a request was refused for lack of room requests of lower
	// priority yield.
	refusalSpan = time.Second
	// deferUntil is the part of its objective for which a request that can wait for others
	// does so.
	deferUntil = 0.3
	// deferLoad and overdueLoad are the loads of an engine up to which requests are placed there
	// that leave room for others: those with time left or of an account beyond its rate, and
	// those that have missed their objective.
	deferLoad   = 0.7
	overdueLoad = 0.85
	// idleBacklog is the wait for reading, in milliseconds, up to which an engine counts as having no
	// other prompt to read.
	idleBacklog = 8.0
	// minLater and maxLater bound the time after which an entry asks again, and laterGrowth
	// is its least part of the time that the request has waited.
	minLater    = 25 * time.Millisecond
	maxLater    = 400 * time.Millisecond
	laterGrowth = 0.25
	// expirePeriod is the time between two looks for old state, pacesPeriod the time for
	// each engine between two computations of the paces. A coordinator of 300 entries gets
	// 1,200 reports a second.
	expirePeriod = 250 * time.Millisecond
	pacesPeriod  = 50 * time.Microsecond
	// accountHalfLife smooths the use of an account.
	accountHalfLife = time.Second
)

// Config configures a [Scheduler].
type Config struct {
	// DeferFrom is the objective from which requests can wait for others.
	DeferFrom time.Duration
	// GapObjective is the shortest objective for the pause between a stream's events.
	GapObjective time.Duration
	// Priorities are those of the service's routes, in any order.
	Priorities []int
	// CacheTokens is an engine's memory for the tokens of running requests and cached
	// prompts, or zero if it is unknown.
	CacheTokens int64
	// EventTokens is the number of output tokens in an event, or zero if it is unknown.
	EventTokens int64
	// AccountRate returns the rate limit of a client account, or zero if there is none.
	AccountRate func(names.ClientAccount) float64
	// Random returns a uniformly distributed number in [0, 1).
	Random func() float64
}

// Scheduler schedules the requests of one service. It is not safe for concurrent use.
type Scheduler struct {
	config    Config
	engines   map[names.BackendServer]*engineState
	sorted    []*engineState
	paces     paces
	readings  *readings
	slowdowns *slowdowns
	reports   map[names.Instance]entryReport
	accounts  map[names.ClientAccount]*rate.Meter
	failures  map[names.BackendServer]failure
	models    map[names.Model]*modelState
	// pending holds the engines on which an entry has placements.
	pending map[names.Instance]map[*engineState]struct{}
	// expiredAt and pacedAt are when old state was last dropped and the paces were last
	// computed.
	expiredAt time.Time
	pacedAt   time.Time
	// invalid counts the implausible measurements in requests since the last report.
	invalid int
}

// entryReport is what an entry has last reported.
type entryReport struct {
	at    time.Time
	loads map[names.BackendServer]int
}

// failure is the last report of an engine as failing.
type failure struct {
	instance names.Instance
	at       time.Time
}

// New returns a scheduler without engines.
func New(config Config) *Scheduler {
	scheduler := &Scheduler{
		engines: map[names.BackendServer]*engineState{}, readings: newReadings(), slowdowns: newSlowdowns(), reports: map[names.Instance]entryReport{},
		accounts: map[names.ClientAccount]*rate.Meter{}, failures: map[names.BackendServer]failure{},
		models: map[names.Model]*modelState{}, pending: map[names.Instance]map[*engineState]struct{}{},
	}
	scheduler.Configure(config)
	return scheduler
}

// Configure replaces the configuration and keeps all state.
func (scheduler *Scheduler) Configure(config Config) {
	config.Priorities = slices.Clone(config.Priorities)
	slices.Sort(config.Priorities)
	config.Priorities = slices.Compact(config.Priorities)
	scheduler.config = config
}

// SetEngines replaces the engines that accept requests. A new incarnation or address loses what
// is known of the former one.
func (scheduler *Scheduler) SetEngines(engines []Engine) {
	former, formerSorted := scheduler.engines, scheduler.sorted
	scheduler.engines = make(map[names.BackendServer]*engineState, len(engines))
	scheduler.sorted = make([]*engineState, 0, len(engines))
	for _, engine := range engines {
		state, known := former[engine.Server.ID]
		if !known || state.engine.Server.Incarnation != engine.Server.Incarnation || state.engine.Server.Address != engine.Server.Address {
			state = &engineState{recent: speed{halfLife: recentHalfLife}, lasting: speed{halfLife: lastingHalfLife}}
			for _, report := range scheduler.reports {
				state.reported += plausibleLoad(report.loads, engine.Server.ID)
			}
		}
		if !slices.Equal(state.engine.Models, engine.Models) {
			state.prompts.retain(func(model names.Model) bool { return slices.Contains(engine.Models, model) })
		}
		state.engine = engine
		scheduler.engines[engine.Server.ID] = state
		scheduler.sorted = append(scheduler.sorted, state)
	}
	slices.SortFunc(scheduler.sorted, func(a, b *engineState) int { return cmp.Compare(a.engine.Server.ID, b.engine.Server.ID) })
	for _, state := range formerSorted {
		if scheduler.engines[state.engine.Server.ID] != state {
			scheduler.readings.drop(state, scheduler.paces.workPace(state))
		}
	}
}

// Report stores the requests in flight of an entry, and what it has measured since its
// last report. It returns the number of implausible measurements, which it ignores.
func (scheduler *Scheduler) Report(instance names.Instance, loads map[names.BackendServer]int, uses []pool.EngineUse, now time.Time) int {
	former, known := scheduler.reports[instance]
	elapsed := 0.0
	if known {
		elapsed = milliseconds(min(max(now.Sub(former.at), 0), reportLifetime))
	}
	scheduler.reports[instance] = entryReport{at: now, loads: loads}
	invalid := scheduler.invalid
	scheduler.invalid = 0
	for server := range former.loads {
		if state, known := scheduler.engines[server]; known {
			state.reported -= plausibleLoad(former.loads, server)
		}
	}
	for server := range loads {
		state, known := scheduler.engines[server]
		if !known {
			continue
		}
		load := plausibleLoad(loads, server)
		if load != loads[server] {
			invalid++
		}
		state.reported += load
		state.lasting.addInFlight(float64(load)*elapsed, now)
	}
	scheduler.dropReported(instance, now)
	if scheduler.isDue(&scheduler.expiredAt, expirePeriod, now) {
		scheduler.expire(now)
	}
	invalid += scheduler.observe(uses, now)
	for _, use := range uses {
		state, known := scheduler.engines[use.Server]
		if !known || state.engine.Server.Incarnation != use.Incarnation {
			continue
		}
		if !plausibleEvents(&use) {
			invalid++
			continue
		}
		if use.Events > 0 {
			state.recent.add(use.Events, use.EventMilliseconds, now)
			state.lasting.add(use.Events, use.EventMilliseconds, now)
		}
		for _, reading := range use.Readings {
			if !valid(reading) {
				invalid++
				continue
			}
			scheduler.readings.observe(state, reading)
		}
	}
	if scheduler.isDue(&scheduler.pacedAt, time.Duration(len(scheduler.sorted))*pacesPeriod, now) {
		scheduler.paces.update(scheduler.sorted)
		scheduler.readings.update(scheduler.sorted, &scheduler.paces)
	}
	return invalid
}

// isDue reports whether a period has passed since something was last done, or none, and
// records that it is done now.
func (scheduler *Scheduler) isDue(doneAt *time.Time, period time.Duration, now time.Time) bool {
	if since := now.Sub(*doneAt); since > 0 && since < period {
		return false
	}
	*doneAt = now
	return true
}

// dropReported drops the placements of an entry that its report of now must contain.
func (scheduler *Scheduler) dropReported(instance names.Instance, now time.Time) {
	for state := range scheduler.pending[instance] {
		state.dropReported(instance, now)
	}
	scheduler.updatePending(instance)
}

// updatePending drops the engines from pending on which an entry has no placements any more.
func (scheduler *Scheduler) updatePending(instance names.Instance) {
	pending := scheduler.pending[instance]
	maps.DeleteFunc(pending, func(state *engineState, _ struct{}) bool { return !state.hasPlacements(instance) })
	if len(pending) == 0 {
		delete(scheduler.pending, instance)
	}
}

// addPlacement records a placement on an engine.
func (scheduler *Scheduler) addPlacement(state *engineState, placement placement) {
	state.placements = append(state.placements, placement)
	pending, found := scheduler.pending[placement.instance]
	if !found {
		pending = map[*engineState]struct{}{}
		scheduler.pending[placement.instance] = pending
	}
	pending[state] = struct{}{}
}

// expire drops old reports and unused accounts.
func (scheduler *Scheduler) expire(now time.Time) {
	for instance, report := range scheduler.reports {
		if now.Sub(report.at) <= reportLifetime {
			continue
		}
		for _, state := range scheduler.sorted {
			state.reported -= plausibleLoad(report.loads, state.engine.Server.ID)
		}
		delete(scheduler.reports, instance)
	}
	for _, state := range scheduler.sorted {
		state.dropReported("", now)
	}
	for instance := range scheduler.pending {
		scheduler.updatePending(instance)
	}
	for account, meter := range scheduler.accounts {
		if meter.PerSecond(now) < 1 {
			delete(scheduler.accounts, account)
		}
	}
	for name, state := range scheduler.models {
		if state.placed.PerSecond(now)+state.overdueRefused.PerSecond(now) < negligibleRate {
			delete(scheduler.models, name)
		}
	}
	for server, failure := range scheduler.failures {
		if now.Sub(failure.at) > failingSpan {
			delete(scheduler.failures, server)
		}
	}
}

// Place decides about one attempt of a request.
func (scheduler *Scheduler) Place(request Request, now time.Time) Decision {
	scheduler.invalid += scheduler.observe(request.Slowdowns, now)
	request = plausible(request, scheduler.config.CacheTokens)
	scheduler.recordFailing(&request, now)
	decision, best := scheduler.decide(&request, now)
	switch decision := decision.(type) {
	case Placed:
		scheduler.reserve(&best, &request, now)
		scheduler.recordAccount(&request, now)
		scheduler.recordPlaced(&request, now)
	case Refused:
		scheduler.recordRefused(&request, decision, now)
	}
	return decision
}

// Verdict returns what [Scheduler.Place] would decide about a request, except for the
// random part of the time in a [Later]. It reserves and records nothing, and ignores the
// request's slowdowns.
func (scheduler *Scheduler) Verdict(request Request, now time.Time) Decision {
	request = plausible(request, scheduler.config.CacheTokens)
	decision, _ := scheduler.decide(&request, now)
	return decision
}

// decide returns the decision about a request, and the best candidate if it is [Placed]. It
// changes nothing.
func (scheduler *Scheduler) decide(request *Request, now time.Time) (Decision, candidate) {
	best, found, later := scheduler.best(request, now)
	switch {
	case len(scheduler.sorted) == 0:
		return NoServer{}, best
	case !found && !later:
		return NoCopy{}, best
	case !found:
		return scheduler.hold(request, minLater, 1, now), best
	}
	load := float64(best.state.running()) / best.state.slots()
	idle := best.estimate.Wait == 0 && best.estimate.Backlog <= idleBacklog
	wait := duration(best.estimate.Wait)
	switch {
	case wait >= request.Left:
		return scheduler.refuse(request, wait, load, now), best
	case scheduler.canWait(request):
		if !idle || load > deferLoad {
			return scheduler.later(request, wait+2*minLater, load, now), best
		}
	case scheduler.yields(request, now):
		return scheduler.refuse(request, wait, load, now), best
	case scheduler.exceedsRate(request, now):
		if !idle || load > deferLoad {
			return scheduler.hold(request, wait, load, now), best
		}
	case request.Elapsed+wait+best.first > request.Objective:
		if !idle || load > overdueLoad {
			return scheduler.hold(request, wait, load, now), best
		}
	case wait > scheduler.horizon(request):
		return scheduler.later(request, wait-scheduler.horizon(request)/2, load, now), best
	}
	server := best.state.engine.Server
	return Placed{
		Server: server.ID, Incarnation: server.Incarnation, Wait: wait, AdapterMissing: best.missing, Load: load,
		First: best.first, UnreadTokens: int64(best.unread), Idle: idle,
	}, best
}

// canWait reports whether a request waits for others. One whose deadline comes before its
// objective waits for a part of the time to its deadline.
func (scheduler *Scheduler) canWait(request *Request) bool {
	until := min(request.Objective, request.Elapsed+request.Left)
	return request.Objective >= scheduler.config.DeferFrom && request.Elapsed < time.Duration(deferUntil*float64(until))
}

// later returns a decision to ask again after about wait. A request that has waited for long
// asks less often. One that would ask at its deadline or later is refused.
func (scheduler *Scheduler) later(request *Request, wait time.Duration, load float64, now time.Time) Decision {
	if request.Left <= 2*minLater {
		return scheduler.refuse(request, wait, load, now)
	}
	wait = min(max(wait, minLater, time.Duration(laterGrowth*float64(request.Elapsed))), maxLater, request.Left/2)
	return Later{Wait: wait + time.Duration(0.25*scheduler.config.Random()*float64(wait))}
}

// horizon returns for how long the request may reserve an engine ahead.
func (scheduler *Scheduler) horizon(request *Request) time.Duration {
	horizon := float64(bookingHorizon)
	if others := len(scheduler.config.Priorities) - 1; others > 0 {
		rank, _ := slices.BinarySearch(scheduler.config.Priorities, request.Priority)
		horizon *= 1 - (1-lowestHorizon)*float64(min(rank, others))/float64(others)
	}
	return time.Duration(horizon)
}

// exceedsRate reports whether the request's account uses more than its rate, out of its
// burst.
func (scheduler *Scheduler) exceedsRate(request *Request, now time.Time) bool {
	meter, known := scheduler.accounts[request.Account]
	if !known {
		return false
	}
	limit := scheduler.config.AccountRate(request.Account)
	return limit > 0 && meter.PerSecond(now) > limit
}

// yields reports whether a request that could wait and is due has to be refused, as requests of
// higher priority for the model are refused for lack of room.
func (scheduler *Scheduler) yields(request *Request, now time.Time) bool {
	state, known := scheduler.models[request.Model]
	return known && request.Objective >= scheduler.config.DeferFrom && request.Elapsed < request.Objective &&
		state.refusedPriority < request.Priority && now.Sub(state.refusedAt) < refusalSpan
}

// recordAccount adds the request to the use of its account.
func (scheduler *Scheduler) recordAccount(request *Request, now time.Time) {
	if request.Account == "" {
		return
	}
	meter, known := scheduler.accounts[request.Account]
	if !known {
		meter = rate.NewMeter(accountHalfLife)
		scheduler.accounts[request.Account] = meter
	}
	meter.Add(float64(request.Tokens), now)
}

// recordFailing records which engines fail at the entry.
func (scheduler *Scheduler) recordFailing(request *Request, now time.Time) {
	for _, server := range request.Failing {
		state, known := scheduler.engines[server]
		if !known {
			continue
		}
		former, reported := scheduler.failures[server]
		if reported && former.instance != request.Instance && now.Sub(former.at) <= failingSpan {
			state.failingUntil = now.Add(failingSpan)
		}
		scheduler.failures[server] = failure{instance: request.Instance, at: now}
	}
}

// exclusion returns why an engine does not qualify for a request, or an empty string.
func (scheduler *Scheduler) exclusion(state *engineState, request *Request) string {
	switch {
	case !slices.Contains(state.engine.Models, request.Model):
		return excludedModelMissing
	case slices.Contains(request.Closed, state.engine.Server.ID):
		return excludedRateUsed
	case slices.Contains(request.Excluded, state.engine.Server.ID):
		return ExcludedByEntry
	case request.Adapter != "" && state.engine.Busy && !state.hasAdapter(pool.Adapter{Model: request.Model, Name: request.Adapter}):
		return excludedBusy
	case float64(state.running()) >= slotLimit*state.slots():
		return excludedFull
	default:
		return ""
	}
}

// best returns the candidate with the lowest cost. If none is found, later reports whether
// an engine that holds the model may run the request later.
func (scheduler *Scheduler) best(request *Request, now time.Time) (best candidate, found, later bool) {
	for _, state := range scheduler.sorted {
		switch scheduler.exclusion(state, request) {
		case "":
		case excludedRateUsed, excludedBusy, excludedFull:
			later = true
			continue
		default:
			continue
		}
		if current := scheduler.estimate(state, request, now); !found || current.compare(&best) < 0 {
			best, found = current, true
		}
	}
	return best, found, later
}

// Explain returns all engines with their estimates, the best first. It reserves nothing.
func (scheduler *Scheduler) Explain(request Request, now time.Time) []Candidate {
	request = plausible(request, scheduler.config.CacheTokens)
	type explained struct {
		candidate
		excluded string
	}
	engines := make([]explained, 0, len(scheduler.sorted))
	for _, state := range scheduler.sorted {
		engines = append(engines, explained{candidate: scheduler.estimate(state, &request, now), excluded: scheduler.exclusion(state, &request)})
	}
	slices.SortStableFunc(engines, func(a, b explained) int {
		return cmp.Or(cmp.Compare(min(len(a.excluded), 1), min(len(b.excluded), 1)), a.compare(&b.candidate))
	})
	candidates := make([]Candidate, 0, len(engines))
	for _, each := range engines {
		candidates = append(candidates, Candidate{
			Server: each.state.engine.Server.ID, Excluded: each.excluded, Failing: each.failing, Estimate: each.estimate,
		})
	}
	return candidates
}
