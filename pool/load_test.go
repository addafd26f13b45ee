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
	// The figures of the deployments' engines: a step over a batch, the pace at
	// which prompts are read, how much of them is read in a step, tokens in an
	// event, and the length of a stream.
	stepTime     = 5500 * time.Microsecond
	readPerMilli = 38.4
	readPerStep  = 2048
	eventTokens  = 6
	streamEvents = 49
	batchSlots   = 48
	tellPeriod   = 250 * time.Millisecond
	firstInTime  = 400 * time.Millisecond
	pauseInTime  = 250 * time.Millisecond
)

// playedStream is a request at a played engine.
type playedStream struct {
	entry  int
	tokens int64
	unread int64
	began  time.Time
	made   int
	last   time.Time
	late   bool
}

// playedEngine reads prompts between the tokens of the streams it runs.
type playedEngine struct {
	id      names.BackendServer
	ready   time.Time
	streams []*playedStream
	free    time.Time
}

// playedLoad plays callers, entries that tell each other what they run each
// quarter second, and engines that share one model.
type playedLoad struct {
	random  *rand.Rand
	entries []*pool.Pool
	counts  []map[names.BackendServer]int
	engines []*playedEngine
	// perSecond is how many requests come, over all entries.
	perSecond float64
	prompt    int64
	now       time.Time
	served    int
	late      int
	refused   int
}

func newPlayedLoad(seed uint64, entries int, perSecond float64, engines ...*playedEngine) *playedLoad {
	load := &playedLoad{random: rand.New(rand.NewPCG(seed, 1)), engines: engines, perSecond: perSecond, prompt: 700, now: epoch}
	for range entries {
		load.entries = append(load.entries, pool.New(pool.Config{RegistryPeriod: time.Second, Random: load.random.Float64}))
		load.counts = append(load.counts, map[names.BackendServer]int{})
	}
	for _, each := range engines {
		load.list(each)
	}
	return load
}

// list tells entries of an engine that is ready.
func (load *playedLoad) list(played *playedEngine) {
	if played.ready.After(load.now) {
		return
	}
	server := engine(played.id, "m")
	server.Slots = batchSlots
	for _, entry := range load.entries {
		entry.Put(server)
	}
}

// play runs until a time and counts what begins after another one.
func (load *playedLoad) play(from, until time.Time) {
	next := make([]time.Time, len(load.entries))
	for index := range next {
		next[index] = load.pause(load.now)
	}
	told := load.now
	for ; load.now.Before(until); load.now = load.now.Add(time.Millisecond) {
		for _, played := range load.engines {
			if played.ready.Equal(load.now) {
				load.list(played)
			}
			load.step(played, from)
		}
		if load.now.Sub(told) >= tellPeriod {
			told = load.now
			load.tell()
		}
		for index := range load.entries {
			for ; !next[index].After(load.now); next[index] = load.pause(next[index]) {
				load.request(index, from)
			}
		}
	}
}

func (load *playedLoad) pause(after time.Time) time.Time {
	mean := float64(len(load.entries)) / load.perSecond
	return after.Add(time.Duration(load.random.ExpFloat64() * mean * float64(time.Second)))
}

func (load *playedLoad) tell() {
	for index, entry := range load.entries {
		others := map[names.BackendServer]int{}
		for other, counts := range load.counts {
			if other == index {
				continue
			}
			for id, count := range counts {
				others[id] += count
			}
		}
		entry.ApplyUpdate(pool.Update{Others: others, Until: load.now.Add(time.Second)})
	}
}

func (load *playedLoad) request(index int, from time.Time) {
	choice, chosen := load.entries[index].Pick(query, load.now).(pool.Chosen)
	if !chosen {
		if !load.now.Before(from) {
			load.refused++
		}
		return
	}
	load.entries[index].StartRequest(choice.Server.ID, load.prompt, load.now)
	load.counts[index][choice.Server.ID]++
	for _, played := range load.engines {
		if played.id == choice.Server.ID {
			played.streams = append(played.streams, &playedStream{entry: index, tokens: load.prompt, unread: load.prompt, began: load.now, last: load.now})
		}
	}
}

// step lets an engine make one token of each stream whose prompt it has read,
// and read on.
func (load *playedLoad) step(played *playedEngine, from time.Time) {
	if played.free.After(load.now) || len(played.streams) == 0 {
		return
	}
	read := int64(readPerStep)
	running := played.streams[:0]
	for position, stream := range played.streams {
		if position >= batchSlots || !load.advance(played, stream, &read, from) {
			running = append(running, stream)
		}
	}
	played.streams = running
	reading := time.Duration(float64(readPerStep-read) / readPerMilli * float64(time.Millisecond))
	played.free = load.now.Add(stepTime + reading)
}

// advance returns true where the stream has ended.
func (load *playedLoad) advance(played *playedEngine, stream *playedStream, read *int64, from time.Time) bool {
	if stream.unread > 0 {
		part := min(*read, stream.unread)
		stream.unread -= part
		*read -= part
		return false
	}
	stream.made++
	if stream.made%eventTokens != 0 {
		return false
	}
	limit := pauseInTime
	if stream.made == eventTokens {
		limit = firstInTime
		load.entries[stream.entry].FinishPrompt(played.id, stream.tokens)
	}
	load.entries[stream.entry].RecordBytes(played.id, stream.began, load.now)
	stream.late = stream.late || load.now.Sub(stream.last) > limit
	stream.last = load.now
	if stream.made < eventTokens*streamEvents {
		return false
	}
	load.entries[stream.entry].EndRequest(played.id)
	load.counts[stream.entry][played.id]--
	if !stream.began.Before(from) {
		load.served++
		if stream.late {
			load.late++
		}
	}
	return true
}

// TestStreamsArePausedByFewPrompts plays the load of one model on engines that
// can carry it, and counts streams that pause for too long: engines read prompts
// between the tokens of the streams that they run.
func TestStreamsArePausedByFewPrompts(t *testing.T) {
	const mostMissed = 0.02
	cases := []struct {
		name      string
		perSecond float64
		engines   int
		entries   int
		// joins is when one more engine gets the model, empty; zero means never.
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
				var engines []*playedEngine
				for index := range each.engines {
					engines = append(engines, &playedEngine{id: names.BackendServer(fmt.Sprintf("e%d", index)), ready: epoch})
				}
				if each.joins > 0 {
					engines = append(engines, &playedEngine{id: "late", ready: at(each.joins)})
				}
				load := newPlayedLoad(seed, each.entries, each.perSecond, engines...)
				load.play(at(2*time.Second), at(10*time.Second))
				served, late, refused = served+load.served, late+load.late, refused+load.refused
			}
			t.Logf("served %d, late %d, refused %d", served, late, refused)
			g.Expect(float64(late + refused)).To(BeNumerically("<=", mostMissed*float64(served+refused)))
		})
	}
}
