package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

const (
	// stepTime is the duration of a step over a batch; stepTime to batchSlots are the
	// figures of the deployments' engines.
	stepTime                   = 5500 * time.Microsecond
	promptTokensPerMillisecond = 38.4
	promptTokensPerStep        = 2048
	eventTokens                = 6
	streamEvents               = 49
	batchSlots                 = 48
	exchangePeriod             = 250 * time.Millisecond
	firstEventLimit            = 400 * time.Millisecond
	pauseLimit                 = 250 * time.Millisecond
)

// simStream is a request that runs at a simulated engine.
type simStream struct {
	entry     int
	tokens    int64
	unread    int64
	began     time.Time
	generated int
	lastEvent time.Time
	late      bool
}

// simEngine is a simulated engine. Each step reads prompts and generates one token of
// each stream whose prompt has been read.
type simEngine struct {
	id      names.BackendServer
	ready   time.Time
	streams []*simStream
	// busyUntil is when the current step ends.
	busyUntil time.Time
}

// simulation simulates callers, entries that exchange their loads every
// exchangePeriod, and engines that hold the same model.
type simulation struct {
	random  *rand.Rand
	entries []*pool.Pool
	counts  []map[names.BackendServer]int
	engines []*simEngine
	// perSecond is the rate of requests over all entries.
	perSecond float64
	prompt    int64
	now       time.Time
	served    int
	late      int
	refused   int
}

func newSimulation(seed uint64, entries int, perSecond float64, engines ...*simEngine) *simulation {
	simulation := &simulation{random: rand.New(rand.NewPCG(seed, 1)), engines: engines, perSecond: perSecond, prompt: 700, now: epoch}
	for range entries {
		simulation.entries = append(simulation.entries, pool.New(pool.Config{RegistryPeriod: time.Second, Random: simulation.random.Float64}))
		simulation.counts = append(simulation.counts, map[names.BackendServer]int{})
	}
	for _, each := range engines {
		simulation.register(each)
	}
	return simulation
}

// register lists an engine at all entries if it is ready.
func (simulation *simulation) register(joining *simEngine) {
	if joining.ready.After(simulation.now) {
		return
	}
	server := engine(joining.id, "m")
	server.Slots = batchSlots
	for _, entry := range simulation.entries {
		entry.Put(server)
	}
}

// run simulates until a time and counts the requests that begin at from or later.
func (simulation *simulation) run(from, until time.Time) {
	next := make([]time.Time, len(simulation.entries))
	for index := range next {
		next[index] = simulation.nextArrival(simulation.now)
	}
	exchanged := simulation.now
	for ; simulation.now.Before(until); simulation.now = simulation.now.Add(time.Millisecond) {
		for _, engine := range simulation.engines {
			if engine.ready.Equal(simulation.now) {
				simulation.register(engine)
			}
			simulation.step(engine, from)
		}
		if simulation.now.Sub(exchanged) >= exchangePeriod {
			exchanged = simulation.now
			simulation.exchange()
		}
		for index := range simulation.entries {
			for ; !next[index].After(simulation.now); next[index] = simulation.nextArrival(next[index]) {
				simulation.request(index, from)
			}
		}
	}
}

func (simulation *simulation) nextArrival(after time.Time) time.Time {
	mean := float64(len(simulation.entries)) / simulation.perSecond
	return after.Add(time.Duration(simulation.random.ExpFloat64() * mean * float64(time.Second)))
}

func (simulation *simulation) exchange() {
	for index, entry := range simulation.entries {
		others := map[names.BackendServer]int{}
		for other, counts := range simulation.counts {
			if other == index {
				continue
			}
			for id, count := range counts {
				others[id] += count
			}
		}
		entry.ApplyUpdate(pool.Update{Others: others, Until: simulation.now.Add(time.Second)})
	}
}

func (simulation *simulation) request(index int, from time.Time) {
	choice, chosen := simulation.entries[index].Pick(query, simulation.now).(pool.Chosen)
	if !chosen {
		if !simulation.now.Before(from) {
			simulation.refused++
		}
		return
	}
	simulation.entries[index].StartRequest(choice.Server.ID, simulation.prompt, simulation.now)
	simulation.counts[index][choice.Server.ID]++
	for _, engine := range simulation.engines {
		if engine.id == choice.Server.ID {
			engine.streams = append(engine.streams, &simStream{entry: index, tokens: simulation.prompt, unread: simulation.prompt, began: simulation.now, lastEvent: simulation.now})
		}
	}
}

// step runs one step of an engine.
func (simulation *simulation) step(engine *simEngine, from time.Time) {
	if engine.busyUntil.After(simulation.now) || len(engine.streams) == 0 {
		return
	}
	budget := int64(promptTokensPerStep)
	running := engine.streams[:0]
	for position, stream := range engine.streams {
		if position >= batchSlots || !simulation.advance(engine, stream, &budget, from) {
			running = append(running, stream)
		}
	}
	engine.streams = running
	reading := time.Duration(float64(promptTokensPerStep-budget) / promptTokensPerMillisecond * float64(time.Millisecond))
	engine.busyUntil = simulation.now.Add(stepTime + reading)
}

// advance runs a step of one stream and reports whether the stream has ended. budget
// is the number of prompt tokens that the engine may still read in this step.
func (simulation *simulation) advance(engine *simEngine, stream *simStream, budget *int64, from time.Time) bool {
	if stream.unread > 0 {
		part := min(*budget, stream.unread)
		stream.unread -= part
		*budget -= part
		return false
	}
	stream.generated++
	if stream.generated%eventTokens != 0 {
		return false
	}
	limit := pauseLimit
	if stream.generated == eventTokens {
		limit = firstEventLimit
		simulation.entries[stream.entry].FinishPrompt(engine.id, stream.tokens)
	}
	simulation.entries[stream.entry].RecordBytes(engine.id, stream.began, simulation.now)
	stream.late = stream.late || simulation.now.Sub(stream.lastEvent) > limit
	stream.lastEvent = simulation.now
	if stream.generated < eventTokens*streamEvents {
		return false
	}
	simulation.entries[stream.entry].EndRequest(engine.id)
	simulation.counts[stream.entry][engine.id]--
	if !stream.began.Before(from) {
		simulation.served++
		if stream.late {
			simulation.late++
		}
	}
	return true
}

// TestStreamsArePausedByFewPrompts simulates a load that the engines of a model can
// carry, and counts late and refused streams. Engines read prompts between the tokens
// of running streams, so that too many prompts on one engine make its streams late.
func TestStreamsArePausedByFewPrompts(t *testing.T) {
	const maxMissed = 0.02
	cases := []struct {
		name      string
		perSecond float64
		engines   int
		entries   int
		// joins is when an idle engine gets the model, too; zero means never.
		joins time.Duration
	}{
		{name: "engines with alike loads", perSecond: 78, engines: 5, entries: 4},
		{name: "many entries, each with a small part of the load", perSecond: 78, engines: 5, entries: 24},
		{name: "many entries and two engines", perSecond: 30, engines: 2, entries: 24},
		{name: "an empty engine joins full ones", perSecond: 52, engines: 3, entries: 4, joins: 3 * time.Second},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			served, late, refused := 0, 0, 0
			for seed := range uint64(8) {
				var engines []*simEngine
				for index := range each.engines {
					engines = append(engines, &simEngine{id: names.BackendServer(fmt.Sprintf("e%d", index)), ready: epoch})
				}
				if each.joins > 0 {
					engines = append(engines, &simEngine{id: "late", ready: at(each.joins)})
				}
				simulation := newSimulation(seed, each.entries, each.perSecond, engines...)
				simulation.run(at(2*time.Second), at(10*time.Second))
				served, late, refused = served+simulation.served, late+simulation.late, refused+simulation.refused
			}
			t.Logf("served %d, late %d, refused %d", served, late, refused)
			g.Expect(float64(late + refused)).To(BeNumerically("<=", maxMissed*float64(served+refused)))
		})
	}
}
