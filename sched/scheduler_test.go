package sched_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/sched"
)

// loads returns a report of requests on engine e1.
func loads(running int) map[names.BackendServer]int {
	return map[names.BackendServer]int{"e1": running}
}

// TestReports guards against requests in flight that are counted twice, for ever, or not at
// all. An engine has 48 slots.
func TestReports(t *testing.T) {
	type report struct {
		at       time.Duration
		instance names.Instance
		running  int
	}
	cases := []struct {
		name    string
		reports []report
		at      time.Duration
		load    float64
		invalid int
	}{
		{name: "two entries", reports: []report{{0, "a", 10}, {0, "b", 14}}, load: 24},
		{name: "a later report", reports: []report{{0, "a", 10}, {250, "a", 4}}, at: 250, load: 4},
		{name: "a report that arrives twice", reports: []report{{0, "a", 10}, {1, "a", 10}}, at: 1, load: 10},
		{name: "reports that overtake each other", reports: []report{{0, "a", 10}, {1, "a", 3}, {2, "a", 10}, {250, "a", 3}}, at: 250, load: 3},
		{name: "an entry that is gone", reports: []report{{0, "a", 10}, {2100, "b", 4}}, at: 2100, load: 4},
		{name: "an entry that is back", reports: []report{{0, "a", 10}, {2100, "b", 4}, {2200, "a", 5}}, at: 2200, load: 9},
		{name: "a negative number", reports: []report{{0, "a", 10}, {0, "b", -20}}, load: 10, invalid: 1},
		{name: "a number after a negative one", reports: []report{{0, "a", 5}, {0, "b", -20}, {250, "b", 0}}, at: 250, load: 5, invalid: 1},
		{name: "an absurd number", reports: []report{{0, "a", 10}, {0, "b", 1 << 30}}, load: 10, invalid: 1},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			scheduler := newScheduler(config(), engine("e1", model))
			invalid := 0
			for _, report := range each.reports {
				invalid += scheduler.Report(report.instance, loads(report.running), nil, at(report.at*time.Millisecond))
			}
			g.Expect(invalid).To(Equal(each.invalid))
			placed, _ := scheduler.Place(request(), at(each.at*time.Millisecond)).(sched.Placed)
			g.Expect(placed.Load).To(BeNumerically("~", each.load/48, 1e-9))
		})
	}
}

// TestPlacementsCountUntilReported guards against engines that are filled beyond their slots
// before the entries' reports arrive, and against placements that count twice.
func TestPlacementsCountUntilReported(t *testing.T) {
	g := NewWithT(t)
	scheduler := newScheduler(config(), engine("e1", model))
	load := func(now time.Time) float64 {
		estimates := scheduler.Explain(request(), now)
		return estimates[0].Estimate.Load
	}
	g.Expect(scheduler.Place(request(), epoch)).To(BeAssignableToTypeOf(sched.Placed{}))
	one := load(epoch)
	g.Expect(one).To(BeNumerically(">", 0))
	scheduler.Report("edge-1", loads(0), nil, at(20*time.Millisecond))
	g.Expect(load(at(20 * time.Millisecond))).To(Equal(one))
	scheduler.Report("edge-2", loads(0), nil, at(100*time.Millisecond))
	g.Expect(load(at(100 * time.Millisecond))).To(Equal(one))
	scheduler.Report("edge-1", loads(1), nil, at(250*time.Millisecond))
	g.Expect(load(at(250 * time.Millisecond))).To(Equal(one))
	scheduler.Report("edge-1", loads(0), nil, at(500*time.Millisecond))
	g.Expect(load(at(500 * time.Millisecond))).To(BeZero())
}

// TestImplausibleMeasurements guards against figures of an engine or an entry that decide
// where all requests go.
func TestImplausibleMeasurements(t *testing.T) {
	events := func(events int, milliseconds float64) pool.EngineUse {
		return pool.EngineUse{Server: "e1", Incarnation: 1, Events: events, EventMilliseconds: milliseconds}
	}
	reading := func(tokens int64, milliseconds float64) pool.EngineUse {
		return pool.EngineUse{Server: "e1", Incarnation: 1, Readings: []pool.Reading{{Tokens: tokens, Milliseconds: milliseconds}}}
	}
	slowdown := func(age time.Duration, factor float64) pool.EngineUse {
		return pool.EngineUse{Server: "e1", Incarnation: 1, Slowdowns: []pool.Slowdown{{At: at(-age), Factor: factor}}}
	}
	cases := []struct {
		name    string
		use     pool.EngineUse
		invalid int
	}{
		{name: "negative events", use: events(-10, 400), invalid: 1},
		{name: "negative time", use: events(10, -400), invalid: 1},
		{name: "no number", use: events(10, math.NaN()), invalid: 1},
		{name: "infinite time", use: events(10, math.Inf(1)), invalid: 1},
		{name: "time without events", use: events(0, 400), invalid: 1},
		{name: "more events than an engine has", use: events(1<<30, 1e12), invalid: 1},
		{name: "reading without tokens", use: reading(0, 40), invalid: 1},
		{name: "negative reading", use: reading(-700, 40), invalid: 1},
		{name: "reading of no time", use: reading(700, 0), invalid: 1},
		{name: "reading that is no number", use: reading(700, math.NaN()), invalid: 1},
		{name: "reading of an hour", use: reading(700, 3.6e6), invalid: 1},
		{name: "absurd slowdown", use: slowdown(0, 1000), invalid: 1},
		{name: "negative slowdown", use: slowdown(0, -1), invalid: 1},
		{name: "next to no time", use: slowdown(0, 1e-6), invalid: 1},
		{name: "slowdown that is no number", use: slowdown(0, math.NaN()), invalid: 1},
		{name: "slowdown of the future", use: slowdown(-time.Hour, 3), invalid: 1},
		{name: "former incarnation", use: pool.EngineUse{Server: "e1", Incarnation: 7, Events: 100, EventMilliseconds: 1e5}},
		{name: "unknown engine", use: pool.EngineUse{Server: "e9", Incarnation: 1, Events: 100, EventMilliseconds: 1e5}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			usual := []pool.EngineUse{{Server: "e1", Incarnation: 1, Events: 100, EventMilliseconds: 3500}, {Server: "e2", Incarnation: 1, Events: 100, EventMilliseconds: 3500}}
			unaffected, reported, placed := newScheduler(config(), engine("e1", model), engine("e2", model)), newScheduler(config(), engine("e1", model), engine("e2", model)), newScheduler(config(), engine("e1", model), engine("e2", model))
			for _, scheduler := range []*sched.Scheduler{unaffected, reported, placed} {
				g.Expect(scheduler.Report("edge-1", nil, usual, epoch)).To(BeZero())
			}
			g.Expect(reported.Report("edge-1", nil, []pool.EngineUse{each.use}, epoch)).To(Equal(each.invalid))
			g.Expect(reported.Explain(request(), epoch)).To(Equal(unaffected.Explain(request(), epoch)))
			if len(each.use.Slowdowns) > 0 {
				asking := request()
				asking.Slowdowns = []pool.EngineUse{each.use}
				placed.Place(asking, epoch)
				unaffected.Place(request(), epoch)
				g.Expect(placed.Explain(request(), epoch)).To(Equal(unaffected.Explain(request(), epoch)))
				g.Expect(placed.Report("edge-1", nil, nil, epoch)).To(Equal(each.invalid))
			}
		})
	}
}

// TestReadingsOfSlowEngines guards against a slow engine whose first readings arrive before its
// pace is known and make all engines count as slower than they are, and against readings that
// are lost with their engine.
func TestReadingsOfSlowEngines(t *testing.T) {
	g := NewWithT(t)
	engines := []sched.Engine{engine("e1", model), engine("e2", model), engine("e3", model)}
	var events, readings []pool.EngineUse
	for server, pace := range map[names.BackendServer]float64{"e1": 1, "e2": 1, "e3": 2.4} {
		events = append(events, pool.EngineUse{Server: server, Incarnation: 1, Events: 100, EventMilliseconds: 3500 * pace})
		use := pool.EngineUse{Server: server, Incarnation: 1}
		for tokens := int64(400); tokens <= 4000; tokens += 20 {
			use.Readings = append(use.Readings, pool.Reading{Tokens: tokens, Milliseconds: pace * (50 + float64(tokens)/40)})
		}
		readings = append(readings, use)
	}
	prompts := func(scheduler *sched.Scheduler) map[names.BackendServer]float64 {
		result := map[names.BackendServer]float64{}
		for _, candidate := range scheduler.Explain(request(), epoch) {
			result[candidate.Server] = candidate.Estimate.Prompt
		}
		return result
	}
	for _, reports := range [][][]pool.EngineUse{{events, readings}, {readings, events}} {
		scheduler := newScheduler(config(), engines...)
		for _, uses := range reports {
			g.Expect(scheduler.Report("edge-1", nil, uses, epoch)).To(BeZero())
		}
		measured := prompts(scheduler)
		g.Expect(measured["e1"]).To(BeNumerically("~", 700.0/40, 0.5))
		g.Expect(measured["e3"]).To(BeNumerically("~", 2.4*700/40, 1.2))
		scheduler.SetEngines(engines[:1])
		scheduler.Report("edge-1", nil, nil, epoch)
		g.Expect(prompts(scheduler)["e1"]).To(BeNumerically("~", measured["e1"], 1e-6))
	}
}

// pacePlay is a play of three engines with the same streams for ten seconds. Two of them also
// read a prompt in each report period, and the third one gets none.
type pacePlay struct {
	// prompt is the number of tokens of a prompt, which are read at 30 a millisecond.
	prompt int64
	// pace is that of the third engine.
	pace float64
	// unmeasured is the number of requests in flight on each engine between whose events no
	// times are measured.
	unmeasured int
}

// estimates returns the estimates for a further request on each engine.
func (play pacePlay) estimates(g *WithT) map[names.BackendServer]sched.Estimate {
	const (
		period  = 250 * time.Millisecond
		streams = 10
		step    = 33.0
	)
	scheduler := newScheduler(config(), engine("e1", model), engine("e2", model), engine("e3", model))
	inFlight := streams + play.unmeasured
	running := map[names.BackendServer]int{"e1": inFlight, "e2": inFlight, "e3": inFlight}
	elapsed := streams * float64(period/time.Millisecond)
	reading := float64(play.prompt) / 30
	now := epoch
	for ; now.Before(at(10 * time.Second)); now = now.Add(period) {
		var uses []pool.EngineUse
		for _, server := range []names.BackendServer{"e1", "e2"} {
			asked := request()
			asked.PromptTokens = play.prompt
			for other := range running {
				if other != server {
					asked.Excluded = append(asked.Excluded, other)
				}
			}
			g.Expect(scheduler.Place(asked, now)).To(BeAssignableToTypeOf(sched.Placed{}))
			uses = append(uses, pool.EngineUse{Server: server, Incarnation: 1, Events: int((elapsed - streams*reading) / step), EventMilliseconds: elapsed})
		}
		uses = append(uses, pool.EngineUse{Server: "e3", Incarnation: 1, Events: int(elapsed / (play.pace * step)), EventMilliseconds: elapsed})
		g.Expect(scheduler.Report("edge-1", running, uses, now)).To(BeZero())
	}
	estimates := map[names.BackendServer]sched.Estimate{}
	for _, candidate := range scheduler.Explain(request(), now) {
		estimates[candidate.Server] = candidate.Estimate
	}
	return estimates
}

// TestPaceOfEnginesWithFewPrompts guards against a slow engine that counts as hardly slower than
// its peers, as these read prompts between the events of their streams and it does not.
func TestPaceOfEnginesWithFewPrompts(t *testing.T) {
	g := NewWithT(t)
	estimates := pacePlay{prompt: 2000, pace: 2.4}.estimates(g)
	g.Expect(estimates["e2"].Prompt).To(Equal(estimates["e1"].Prompt))
	g.Expect(estimates["e3"].Prompt / estimates["e1"].Prompt).To(BeNumerically("~", 2.4, 0.1))
	g.Expect(estimates["e3"].Pace).To(BeNumerically("<", 2), "the pace of the streams, with the reading of the others")
}

// TestPaceWithUnmeasuredRequests guards against a usual engine that counts as slow because its peers
// read prompts and most requests in flight are not measured, as after the loss of a coordinator: the
// event times of the peers are not reduced by the waits of those.
func TestPaceWithUnmeasuredRequests(t *testing.T) {
	for _, unmeasured := range []int{0, 10, 20, 30} {
		g := NewWithT(t)
		estimates := pacePlay{prompt: 1000, pace: 1, unmeasured: unmeasured}.estimates(g)
		g.Expect(estimates["e3"].Prompt).To(Equal(estimates["e1"].Prompt), "%d unmeasured", unmeasured)
	}
}

// TestLargePromptsAtSlowEngines guards against two prompts that are each read in time and
// together interrupt the streams of a slow engine for too long.
func TestLargePromptsAtSlowEngines(t *testing.T) {
	const (
		event     = 80.0
		objective = 250.0
	)
	for first := int64(300); first <= 5000; first += 100 {
		for second := int64(500); second <= 5000; second += 100 {
			g := NewWithT(t)
			scheduler := newScheduler(config(), engine("e1", model))
			scheduler.Report("edge-1", nil, []pool.EngineUse{{Server: "e1", Incarnation: 1, Events: 100, EventMilliseconds: 100 * event}}, epoch)
			before, after := request(), request()
			before.PromptTokens, after.PromptTokens = first, second
			one := scheduler.Explain(before, epoch)[0].Estimate
			g.Expect(one.Wait).To(BeZero())
			scheduler.Place(before, epoch)
			two := scheduler.Explain(after, epoch)[0].Estimate
			// An event that ends with the second prompt contains the first one, which is read in
			// one step, if the time between them is shorter than the event.
			reading := two.Prompt
			if two.Wait-one.Prompt < event {
				reading += one.Prompt
			}
			if event+two.Prompt <= objective {
				g.Expect(event+reading).To(BeNumerically("<=", objective+1e-6), "%d and %d tokens", first, second)
			}
			g.Expect(two.Wait).To(BeNumerically("<=", 2*one.Prompt+event), "%d and %d tokens", first, second)
		}
	}
}

// TestAbsurdRequests guards against a caller whose request takes an engine, or its account,
// away from all others for long.
func TestAbsurdRequests(t *testing.T) {
	cases := []struct {
		name string
		edit func(*sched.Request)
	}{
		{name: "huge prompt", edit: func(request *sched.Request) { request.PromptTokens = 1 << 30 }},
		{name: "negative prompt", edit: func(request *sched.Request) { request.PromptTokens = -(1 << 30) }},
		{name: "huge response", edit: func(request *sched.Request) { request.OutputTokens = math.MaxInt64 }},
		{name: "negative response", edit: func(request *sched.Request) { request.OutputTokens = math.MinInt64 }},
		{name: "tokens that are no number", edit: func(request *sched.Request) { request.Tokens = math.NaN() }},
		{name: "infinite tokens", edit: func(request *sched.Request) { request.Tokens = math.Inf(1) }},
		{name: "negative tokens", edit: func(request *sched.Request) { request.Tokens = -1e9 }},
		{name: "negative times", edit: func(request *sched.Request) { request.Elapsed, request.Left = math.MinInt64, math.MinInt64 }},
		{name: "huge times", edit: func(request *sched.Request) { request.Elapsed, request.Left = math.MaxInt64, math.MaxInt64 }},
		{name: "huge parts", edit: func(request *sched.Request) {
			request.Parts = []sched.Part{{ID: 1, Tokens: math.MaxInt64}, {ID: 2, Tokens: math.MaxInt64}}
		}},
		{name: "negative parts", edit: func(request *sched.Request) { request.Parts = []sched.Part{{ID: 1, Tokens: math.MinInt64}} }},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			settings := config()
			settings.AccountRate = func(names.ClientAccount) float64 { return 1000 }
			scheduler := newScheduler(settings, engine("e1", model))
			absurd := request()
			absurd.Account = "notes"
			each.edit(&absurd)
			for range 3 {
				scheduler.Place(absurd, epoch)
			}
			later := at(20 * time.Second)
			scheduler.Report("edge-1", nil, nil, later)
			placed, isPlaced := scheduler.Place(request(), later).(sched.Placed)
			g.Expect(isPlaced).To(BeTrue())
			g.Expect(placed.Wait).To(BeZero())
			g.Expect(placed.UnreadTokens).To(BeNumerically("==", 700))
			g.Expect(placed.First).To(BeNumerically(">", 0))
		})
	}
}

// TestDeadlines guards against requests that are kept waiting until their deadline has
// passed. They are refused while their callers can still return.
func TestDeadlines(t *testing.T) {
	cases := []struct {
		name string
		edit func(*sched.Request)
		// running is the number of requests on the engine, reading that of prompts before.
		running, reading int
		later            bool
		refused          bool
	}{
		{name: "time left", running: 20, reading: 8, later: true, edit: func(request *sched.Request) { request.Objective = 100 * time.Millisecond }},
		{name: "prompts that take longer", running: 20, reading: 8, refused: true, edit: func(request *sched.Request) { request.Left = 60 * time.Millisecond }},
		{name: "deferrable", running: 40, later: true, edit: func(request *sched.Request) { request.Objective = 8 * time.Second }},
		{name: "deferrable with a deadline before its objective", running: 40, edit: func(request *sched.Request) {
			request.Objective, request.Elapsed, request.Left = 8*time.Second, 2*time.Second, time.Second
		}},
		{name: "no time to ask again", running: 48, refused: true, edit: func(request *sched.Request) {
			request.Elapsed, request.Left = 390*time.Millisecond, 10*time.Millisecond
		}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			scheduler := newScheduler(config(), engine("e1", model))
			scheduler.Report("edge-2", loads(each.running), nil, epoch)
			for range each.reading {
				before := request()
				before.PromptTokens, before.Objective = 6000, 2*time.Second
				scheduler.Place(before, epoch)
			}
			asked := request()
			each.edit(&asked)
			switch decision := scheduler.Place(asked, epoch).(type) {
			case sched.Later:
				g.Expect(each.later).To(BeTrue())
				g.Expect(decision.Wait).To(BeNumerically("<", asked.Left))
			case sched.Refused:
				g.Expect(each.refused).To(BeTrue())
			case sched.Placed:
				g.Expect(each.later || each.refused).To(BeFalse())
			default:
				t.Errorf("unexpected decision %T", decision)
			}
		})
	}
}

// TestConfigureKeepsWhatRuns guards against changes of the policy that forget the requests
// in flight, and against ones that do not count.
func TestConfigureKeepsWhatRuns(t *testing.T) {
	g := NewWithT(t)
	scheduler := newScheduler(config(), engine("e1", model), engine("e2", model))
	scheduler.Report("edge-1", loads(20), nil, epoch)
	scheduler.Place(request(), epoch)
	before := scheduler.Explain(request(), epoch)
	scheduler.Configure(config())
	scheduler.SetEngines([]sched.Engine{engine("e2", model), engine("e1", model)})
	g.Expect(scheduler.Explain(request(), epoch)).To(Equal(before))

	waiting := request()
	waiting.Objective, waiting.Model = 3*time.Second, "n"
	settings := config()
	scheduler.SetEngines([]sched.Engine{engine("e1", "n")})
	scheduler.Report("edge-1", loads(40), nil, epoch)
	g.Expect(scheduler.Place(waiting, epoch)).To(BeAssignableToTypeOf(sched.Placed{}))
	settings.DeferFrom = 2 * time.Second
	scheduler.Configure(settings)
	g.Expect(scheduler.Place(waiting, epoch)).To(BeAssignableToTypeOf(sched.Later{}))
}

// TestEnginesThatChange guards against requests to engines that have gone, and against
// state of a former incarnation.
func TestEnginesThatChange(t *testing.T) {
	g := NewWithT(t)
	scheduler := newScheduler(config())
	g.Expect(scheduler.Place(request(), epoch)).To(Equal(sched.NoServer{}))
	scheduler.SetEngines([]sched.Engine{engine("e1", "other")})
	g.Expect(scheduler.Place(request(), epoch)).To(Equal(sched.NoCopy{}))
	scheduler.SetEngines([]sched.Engine{engine("e1", model)})
	excluding := request()
	excluding.Excluded = []names.BackendServer{"e1"}
	g.Expect(scheduler.Place(excluding, epoch)).To(Equal(sched.NoCopy{}))
	for range 3 {
		scheduler.Place(request(), epoch)
	}
	g.Expect(scheduler.Explain(request(), epoch)[0].Estimate.Backlog).To(BeNumerically(">", 0))
	restarted := engine("e1", model)
	restarted.Server.Incarnation = 2
	scheduler.SetEngines([]sched.Engine{restarted})
	g.Expect(scheduler.Explain(request(), epoch)[0].Estimate.Backlog).To(BeZero())
	placed, _ := scheduler.Place(request(), epoch).(sched.Placed)
	g.Expect(placed.Incarnation).To(BeNumerically("==", 2))
}

// TestCachedPrompts guards against prompts that are read again although an engine keeps
// them, and against ones that wait long for an engine that saves little.
func TestCachedPrompts(t *testing.T) {
	shared := func(tokens int64) sched.Request {
		result := request()
		result.PromptTokens = 3000
		result.Parts = []sched.Part{{ID: 7, Tokens: tokens}}
		return result
	}
	cases := []struct {
		name   string
		before func(*sched.Scheduler)
		tokens int64
		// engine is the expected one, cached the tokens that it keeps.
		engine names.BackendServer
		cached int64
	}{
		{name: "kept part", tokens: 2500, engine: "e2", cached: 2500},
		{name: "whole prompt", tokens: 3000, engine: "e2", cached: 2999},
		{name: "part of another adapter", before: nil, tokens: -1, engine: "e1"},
		{name: "busy engine that keeps little", tokens: 200, engine: "e1", before: func(scheduler *sched.Scheduler) {
			scheduler.Report("edge-1", map[names.BackendServer]int{"e2": 40}, nil, at(time.Second))
		}},
		{name: "engine that has dropped the model", tokens: 2500, engine: "e1", before: func(scheduler *sched.Scheduler) {
			scheduler.SetEngines([]sched.Engine{engine("e1", model), engine("e2")})
			scheduler.SetEngines([]sched.Engine{engine("e1", model), engine("e2", model)})
		}},
		{name: "newer prompts fill the memory", tokens: 2500, engine: "e1", before: func(scheduler *sched.Scheduler) {
			for index := range 30 {
				other := shared(0)
				other.Excluded, other.Parts = []names.BackendServer{"e1"}, []sched.Part{{ID: 100 + uint64(index), Tokens: 2500}}
				scheduler.Place(other, at(time.Duration(index)*10*time.Second))
			}
		}},
		{name: "no room for all parts", tokens: 2500, engine: "e2", cached: 2500, before: func(scheduler *sched.Scheduler) {
			other := shared(2500)
			other.Excluded, other.Parts = []names.BackendServer{"e1"}, append(other.Parts, sched.Part{ID: 8, Tokens: 40_000}, sched.Part{ID: 9, Tokens: 40_000})
			scheduler.Place(other, at(time.Second))
		}},
		{name: "many small parts", tokens: 2500, engine: "e1", before: func(scheduler *sched.Scheduler) {
			other := shared(0)
			other.Excluded, other.Parts = []names.BackendServer{"e1"}, nil
			for index := range 600 {
				other.Parts = append(other.Parts, sched.Part{ID: 100 + uint64(index), Tokens: 1})
			}
			scheduler.Place(other, at(time.Second))
		}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			scheduler := newScheduler(config(), engine("e1", model), engine("e2", model))
			first := shared(each.tokens)
			first.Excluded = []names.BackendServer{"e1"}
			if each.tokens < 0 {
				first.Adapter = "style"
			}
			scheduler.Place(first, epoch)
			if each.before != nil {
				each.before(scheduler)
			}
			best := scheduler.Explain(shared(each.tokens), at(400*time.Second))[0]
			g.Expect(best.Server).To(Equal(each.engine))
			g.Expect(best.Estimate.CachedTokens).To(Equal(each.cached))
		})
	}
}

// TestFailingEngines guards against one entry, which may have lost its own link, making
// all others avoid an engine.
func TestFailingEngines(t *testing.T) {
	cases := []struct {
		name      string
		instances []names.Instance
		avoided   bool
	}{
		{name: "none"},
		{name: "one entry", instances: []names.Instance{"a"}},
		{name: "one entry again and again", instances: []names.Instance{"a", "a", "a", "a"}},
		{name: "two entries", instances: []names.Instance{"a", "b"}, avoided: true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			far := engine("e2", model)
			far.Server.Domain = "b"
			scheduler := newScheduler(config(), engine("e1", model), far)
			for _, instance := range each.instances {
				failing := request()
				failing.Instance, failing.Failing = instance, []names.BackendServer{"e1", "e9"}
				g.Expect(scheduler.Place(failing, epoch).(sched.Placed).Server).To(Equal(names.BackendServer("e2")))
			}
			for offset, avoided := range map[time.Duration]bool{900 * time.Millisecond: each.avoided, 1100 * time.Millisecond: false} {
				best := scheduler.Explain(request(), at(offset))[0]
				g.Expect(best.Server == "e2").To(Equal(avoided))
			}
			alone := request()
			alone.Failing = []names.BackendServer{"e1", "e2"}
			g.Expect(scheduler.Place(alone, at(3*time.Second))).To(BeAssignableToTypeOf(sched.Placed{}))
		})
	}
}

// TestRetryTimesAreSpread guards against callers that were refused and return together.
func TestRetryTimesAreSpread(t *testing.T) {
	g := NewWithT(t)
	scheduler := newScheduler(config(), engine("e1", model))
	scheduler.Report("edge-1", loads(48), nil, epoch)
	late := request()
	late.Elapsed, late.Left = 2*time.Second, time.Second
	former := time.Duration(0)
	for range 4 {
		refused, isRefused := scheduler.Place(late, epoch).(sched.Refused)
		g.Expect(isRefused).To(BeTrue())
		g.Expect(refused.RetryAfter).To(And(BeNumerically(">=", 300*time.Millisecond), BeNumerically("<=", 3*time.Second)))
		g.Expect(refused.RetryAfter - former).To(BeNumerically(">=", 5*time.Millisecond))
		former = refused.RetryAfter
	}
	for range 100 {
		refused := scheduler.Place(late, epoch).(sched.Refused)
		g.Expect(refused.RetryAfter).To(BeNumerically("<=", 3*time.Second))
	}
}

// TestExplainAgreesWithPlace guards against explanations of another choice than the one
// that is made.
func TestExplainAgreesWithPlace(t *testing.T) {
	far := engine("e3", model)
	far.Server.Domain = "b"
	busy := engine("e4", model)
	busy.Busy = true
	cases := []struct {
		name string
		edit func(*sched.Request)
	}{
		{name: "plain", edit: func(*sched.Request) {}},
		{name: "other domain", edit: func(request *sched.Request) { request.Domain = "b" }},
		{name: "excluded", edit: func(request *sched.Request) { request.Excluded = []names.BackendServer{"e1", "e2"} }},
		{name: "failing", edit: func(request *sched.Request) { request.Failing = []names.BackendServer{"e1", "e2", "e4"} }},
		{name: "adapter", edit: func(request *sched.Request) { request.Adapter = "style" }},
		{name: "huge prompt", edit: func(request *sched.Request) { request.PromptTokens = 20_000 }},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			scheduler := newScheduler(config(), engine("e1", model), engine("e2", model), far, busy, engine("e5", "other"))
			for index := range 40 {
				now := at(time.Duration(index) * 20 * time.Millisecond)
				asked := request()
				each.edit(&asked)
				explained := scheduler.Explain(asked, now)
				g.Expect(scheduler.Explain(asked, now)).To(Equal(explained))
				g.Expect(explained).To(HaveLen(5))
				placed, isPlaced := scheduler.Place(asked, now).(sched.Placed)
				if isPlaced {
					g.Expect(explained[0].Excluded).To(BeEmpty())
					g.Expect(placed.Server).To(Equal(explained[0].Server))
					g.Expect(float64(placed.Wait)).To(BeNumerically("~", explained[0].Estimate.Wait*1e6, 2))
				}
			}
		})
	}
}

// benchmarkFleet returns a scheduler of engines that all hold the model, and the loads and
// measurements of an entry's report.
func benchmarkFleet(count int) (*sched.Scheduler, map[names.BackendServer]int, []pool.EngineUse) {
	var engines []sched.Engine
	var uses []pool.EngineUse
	loads := map[names.BackendServer]int{}
	for index := range count {
		id := names.BackendServer(fmt.Sprintf("engine-%d", index))
		engines = append(engines, engine(id, "other", model))
		uses = append(uses, pool.EngineUse{Server: id, Incarnation: 1, Events: 20, EventMilliseconds: 700})
		loads[id] = 1
	}
	return newScheduler(config(), engines...), loads, uses
}

// BenchmarkPlace measures a call with as many engines as the fleets have, all of which hold
// the model. It includes a report for each 500 calls.
func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{117, 700} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			scheduler, loads, uses := benchmarkFleet(count)
			now, placed := epoch, 0
			for index := 0; b.Loop(); index++ {
				now = now.Add(time.Second / 2000)
				if index%500 == 0 {
					scheduler.Report("edge-1", loads, uses, now)
				}
				if _, isPlaced := scheduler.Place(request(), now).(sched.Placed); isPlaced {
					placed++
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/candidate")
			b.ReportMetric(float64(placed)/float64(b.N), "placed")
		})
	}
}

// BenchmarkReport measures a report of one of as many entries as the fleets have.
func BenchmarkReport(b *testing.B) {
	for _, fleet := range []struct{ entries, engines int }{{68, 117}, {400, 700}} {
		b.Run(fmt.Sprint(fleet.entries), func(b *testing.B) {
			scheduler, loads, uses := benchmarkFleet(fleet.engines)
			now := epoch
			for index := 0; b.Loop(); index++ {
				now = now.Add(250 * time.Millisecond / time.Duration(fleet.entries))
				scheduler.Report(names.Instance(fmt.Sprint("edge-", index%fleet.entries)), loads, uses, now)
			}
		})
	}
}

// BenchmarkSetEngines measures an update of engines that keep many prompts. It comes every
// 100 ms.
func BenchmarkSetEngines(b *testing.B) {
	scheduler, _, _ := benchmarkFleet(700)
	asked := request()
	for part := range 500 {
		asked.Parts = append(asked.Parts, sched.Part{ID: uint64(part), Tokens: 1})
	}
	var engines []sched.Engine
	for index := range 700 {
		engines = append(engines, engine(names.BackendServer(fmt.Sprintf("engine-%d", index)), "other", model))
		placed, _ := scheduler.Place(asked, epoch).(sched.Placed)
		asked.Excluded = append(asked.Excluded, placed.Server)
	}
	for b.Loop() {
		scheduler.SetEngines(engines)
	}
}
