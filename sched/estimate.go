package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

const (
	// intakeFraction is the part of an engine's time in which it may read prompts. The
	// rest is left for its streams, so that reading at most doubles the time between two
	// of their events.
	intakeFraction = 0.5
	// windowFraction is the part of the pause objective that an event and the prompts that
	// an engine has to read at a time may take together. Within one such time as many
	// tokens again as intakeFraction allows can be placed, and a tenth is left for errors.
	windowFraction = 0.4
	// slowedFraction is the part that they may take while the engine is slowed down.
	slowedFraction = 0.9
	// minWindow is the least number of prompt tokens that an engine may have to read at a
	// time. A single prompt may have more.
	minWindow = 400.0
	// adapterCost is the time that an engine takes to load an adapter, with the order for
	// it.
	adapterCost = 25.0
	// distanceCost is the cost of a server in another failure domain: a round trip of 2 to
	// 11 ms, and traffic between failure domains.
	distanceCost = 12.0
	// loadCost is the cost of a server whose slots are all taken: streams there take longer
	// for each event, and the next requests find no slot.
	loadCost = 150.0
	// pauseThreshold is the part of the pause objective from which a prompt is taken to
	// interrupt the engine's streams for too long, streamPauseCost the cost for each of
	// these streams and pauseCost that for the prompt's own.
	pauseThreshold  = 0.8
	streamPauseCost = 8.0
	pauseCost       = 60.0
	// streamCost is the cost of each millisecond that the response is expected to take. A
	// long stream on a slow engine takes a slot for longer, and every second of it is
	// another chance of a pause.
	streamCost = 0.1
)

// Estimate is what it costs to run a request on an engine, in milliseconds.
type Estimate struct {
	// Wait is the time until the engine may be sent the prompt.
	Wait float64
	// Backlog is the time to read the prompts before it, Prompt that to read its own part
	// that the engine does not keep.
	Backlog float64
	Prompt  float64
	// Adapter is the time to load the adapter.
	Adapter float64
	// Distance is the cost of another failure domain.
	Distance float64
	// Load is the cost of the requests in flight on the engine, Stream that of the time that the
	// response takes.
	Load   float64
	Stream float64
	// Pause is the cost of interrupting the engine's streams.
	Pause float64
	// CachedTokens is the part of the prompt that the engine keeps.
	CachedTokens int64
	// Pace is the engine's time for an event relative to its peers'.
	Pace float64
}

// Total returns the sum of the costs.
func (estimate *Estimate) Total() float64 {
	return estimate.Wait + estimate.Backlog + estimate.Prompt + estimate.Adapter + estimate.Distance + estimate.Load + estimate.Stream + estimate.Pause
}

// candidate is an engine that may run a request.
type candidate struct {
	state    *engineState
	estimate Estimate
	// workPace is the engine's pace relative to a usual one that reads the same prompts.
	workPace float64
	// readRate is the number of tokens that the engine reads in a millisecond.
	readRate float64
	// intakeRate is the rate at which prompts may be placed on it.
	intakeRate float64
	unread     float64
	startAt    time.Time
	first      time.Duration
	missing    bool
	// failing reports whether the engine is avoided if there is another.
	failing bool
}

// compare orders candidates, the best first.
func (candidate *candidate) compare(other *candidate) int {
	switch {
	case candidate.failing == other.failing:
		return cmp.Compare(candidate.estimate.Total(), other.estimate.Total())
	case candidate.failing:
		return 1
	default:
		return -1
	}
}

// estimate returns the estimate for a request on an engine.
func (scheduler *Scheduler) estimate(state *engineState, request *Request, now time.Time) candidate {
	pace, workPace, slowdown := scheduler.paces.pace(state), scheduler.paces.workPace(state), state.slowdownAt(now)
	readRate, first := scheduler.readings.rate/(workPace*slowdown), scheduler.readings.first
	result := candidate{state: state, workPace: workPace, readRate: readRate, missing: request.Adapter != "" && !state.hasAdapter(pool.Adapter{Model: request.Model, Name: request.Adapter})}
	estimate := &result.estimate
	estimate.Pace, estimate.CachedTokens = pace, state.prompts.cached(request)
	result.unread = float64(max(request.PromptTokens-estimate.CachedTokens, 1))

	gap := milliseconds(scheduler.config.GapObjective)
	eventTime := scheduler.paces.eventTime(state) * slowdown
	window := max((min(windowFraction, slowedFraction/scheduler.slowdowns.margin)*gap-eventTime)*readRate, minWindow)
	result.intakeRate = readRate * intakeFraction
	result.startAt = now
	allowedAt := state.readyAt.Add(-duration(max(window-result.unread, 0) / result.intakeRate))
	if result.unread > window {
		allowedAt = state.readyAt.Add(duration(separation(scheduler.paces.undelayed*workPace*slowdown, result.unread/readRate, gap)))
	}
	if allowedAt.After(now) {
		result.startAt = allowedAt
	}
	backlog := max(milliseconds(state.readyAt.Sub(result.startAt)), 0) * result.intakeRate

	estimate.Wait = milliseconds(result.startAt.Sub(now))
	estimate.Backlog = backlog / readRate
	estimate.Prompt = result.unread / readRate
	if result.missing {
		estimate.Adapter = adapterCost
	}
	if request.Domain != state.engine.Server.Domain {
		estimate.Distance = distanceCost
	}
	running := float64(state.running())
	estimate.Load = loadCost * pace * running / state.slots()
	estimate.Stream = streamCost * scheduler.paces.lasting * pace * float64(request.OutputTokens/max(scheduler.config.EventTokens, 1))
	if eventTime+estimate.Backlog+estimate.Prompt > pauseThreshold*gap {
		estimate.Pause = pauseCost + streamPauseCost*running
	}
	result.failing = now.Before(state.failingUntil) || slices.Contains(request.Failing, state.engine.Server.ID)
	result.first = duration(estimate.Backlog + estimate.Prompt + estimate.Adapter + estimate.Distance + first*workPace*slowdown)
	return result
}

// separation returns how long after its intake is free an engine may be sent a prompt that is
// larger than its window, in milliseconds, where an event takes a time without prompts. Until then
// it has read prompts for at most as long as it has not (intakeFraction). So an event that ends
// with the prompt contains others for at most its own time less the separation, and stays below
// pauseThreshold of the objective. A prompt that exceeds the objective by itself is not separated.
func separation(event, prompt, gap float64) float64 {
	if event+prompt > gap {
		return 0
	}
	return min(max(2*event+prompt-pauseThreshold*gap, 0), event)
}

// reserve books the prompt on the engine.
func (scheduler *Scheduler) reserve(candidate *candidate, request *Request, now time.Time) {
	state := candidate.state
	if state.readyAt.Before(candidate.startAt) {
		state.readyAt = candidate.startAt
	}
	state.readyAt = earlier(state.readyAt.Add(duration(candidate.unread/candidate.intakeRate)), now.Add(maxReserved))
	// The requests in the entries' reports stream, those placed since mostly wait for their prompt.
	state.lasting.addDelay(float64(state.reported)*candidate.estimate.Prompt/candidate.workPace, now)
	scheduler.addPlacement(state, placement{instance: request.Instance, sentAt: candidate.startAt})
	state.prompts.add(request, int64(cachedFraction*float64(scheduler.config.CacheTokens)))
}

// cachedFraction is the part of an engine's memory for tokens that it is taken to keep
// prompts in. The running requests need the rest.
const cachedFraction = 0.5

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

func duration(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// Exclusions of engines that don't qualify for a request.
const (
	// ExcludedByEntry is that of engines that the entry excludes.
	ExcludedByEntry      = "excluded"
	excludedModelMissing = "modelMissing"
	// excludedRateUsed, excludedBusy and excludedFull are those of engines that may run the request later.
	excludedRateUsed = "rateUsed"
	excludedBusy     = "busy"
	excludedFull     = "full"
)

// Candidate is an engine as [Scheduler.Explain] shows it.
type Candidate struct {
	Server names.BackendServer
	// Excluded is why the engine does not qualify; it is empty if it does.
	Excluded string
	// Failing reports whether the engine is avoided if there is another.
	Failing  bool
	Estimate Estimate
}

// Explanation is what would be decided about a request, and what is taken into account.
type Explanation struct {
	Decision Decision
	// Candidates are all engines of the service, the best first.
	Candidates []Candidate
}
