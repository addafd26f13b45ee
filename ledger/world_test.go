package ledger_test

import (
	"errors"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/stand"
	"github.com/basilkeel/basilkeel/store"
)

const (
	worldMemory   = 100
	worldTick     = 100 * time.Millisecond
	worldLifetime = time.Second
	worldLag      = 500 * time.Millisecond
	// worldPermission lasts longer than the window of evidence.
	worldPermission = 4 * time.Second
)

var worldStart = time.Unix(1_000_000, 0)

// worldItems have sizes that let few of them be resident together.
var worldItems = []ledger.Weights{
	{Item: ledger.Item{Model: "a@1"}, Bytes: 45},
	{Item: ledger.Item{Model: "a@2"}, Bytes: 45},
	{Item: ledger.Item{Model: "b@1"}, Bytes: 30},
	{Item: ledger.Item{Model: "b@1", Adapter: "x"}, Bytes: 8},
	{Item: ledger.Item{Model: "c@1"}, Bytes: 25},
	{Item: ledger.Item{Model: "c@1", Adapter: "y"}, Bytes: 5},
}

// flight is a message to the engine that is still under way.
type flight struct {
	until   time.Time
	deliver func()
}

// fakeAgent is a ledger with what its shell has not done yet.
type fakeAgent struct {
	ledger  *ledger.Ledger
	name    names.Instance
	queue   []ledger.Action
	replies []ledger.Event
	frozen  bool
	dead    bool
	unsent  []engine.Generation
	streams map[names.Request]bool
}

// world is an engine, the platform's service and agents, all in virtual time.
type world struct {
	t        *rapid.T
	now      time.Time
	machine  *stand.EngineMachine
	agents   []*fakeAgent
	flights  []flight
	writes   []func()
	record   ledger.Record
	revision store.Revision
	down     bool
	version  int64
	requests int
	// calls counts reads and writes of the record.
	calls int
	// cut counts the generations that ended before they were whole.
	cut int
}

func newWorld(t *rapid.T, fencing bool) *world {
	now := worldStart
	world := &world{t: t, now: now, machine: stand.NewEngineMachine(stand.EngineConfig{
		MemoryBytes: worldMemory, CacheBytesPerToken: 1, PrefixBytes: 10, Fencing: fencing, ReportLag: worldLag,
		LoadTime: 300 * time.Millisecond, UnloadTime: 200 * time.Millisecond,
	}, now)}
	world.startAgent("")
	return world
}

func (world *world) startAgent(address string) {
	name := names.Instance(fmt.Sprintf("agent-%d", len(world.agents)))
	agent := &fakeAgent{name: name, streams: map[names.Request]bool{}, ledger: ledger.New(ledger.Config{
		Instance: name, Address: address, MemoryBytes: worldMemory, OrderLifetime: worldLifetime,
		Permission: worldPermission, EvidenceAge: time.Second, ReportLag: worldLag,
		RetryWait: 300 * time.Millisecond, ReportPeriod: worldTick,
	})}
	world.agents = append(world.agents, agent)
	agent.ledger.SetTarget(world.target())
}

func (world *world) target() ledger.Target {
	world.version++
	target := ledger.Target{Version: world.version, Role: engine.RoleMixed}
	for i, weights := range worldItems {
		if rapid.Bool().Draw(world.t, fmt.Sprintf("want%d", i)) {
			target.Items = append(target.Items, weights)
		}
	}
	return target
}

// awake returns the agents that can act.
func (world *world) awake() []*fakeAgent {
	var awake []*fakeAgent
	for _, agent := range world.agents {
		if !agent.frozen && !agent.dead {
			awake = append(awake, agent)
		}
	}
	return awake
}

func (world *world) pick() *fakeAgent {
	awake := world.awake()
	if len(awake) == 0 {
		world.t.Skip("no agent awake")
	}
	return rapid.SampledFrom(awake).Draw(world.t, "agent")
}

func (world *world) give(agent *fakeAgent, event ledger.Event) {
	agent.queue = append(agent.queue, agent.ledger.Step(world.now, event)...)
}

// do carries out one action. Unless kind, its messages and answers may be lost,
// late or doubled.
func (world *world) do(agent *fakeAgent, action ledger.Action, kind bool) {
	switch action := action.(type) {
	case ledger.ReadRecord:
		world.read(agent, kind)
	case ledger.WriteRecord:
		world.write(agent, action, kind)
	case ledger.SendOrder:
		world.send(agent, action.Order, kind)
	case ledger.RequestReport:
		report := world.machine.Report(world.now)
		world.reply(agent, ledger.ReportReceived{RequestedAt: world.now, Report: report}, ledger.ReportFailed{}, kind)
	case ledger.CancelGeneration:
		if world.chance("cancel lost", kind) {
			world.reply(agent, ledger.CancelUnanswered(action), nil, true)
			return
		}
		world.machine.Cancel(world.now, action.Request)
		answer := ledger.CancelAcknowledged{RequestedAt: world.now, Request: action.Request}
		world.reply(agent, answer, ledger.CancelUnanswered(action), kind)
	case ledger.Terminate:
		world.kill(agent)
	}
}

// chance draws a fault; there is none where the world is kind.
func (world *world) chance(name string, kind bool) bool {
	return !kind && rapid.IntRange(0, 3).Draw(world.t, name) == 0
}

func (world *world) reply(agent *fakeAgent, event, lost ledger.Event, kind bool) {
	if lost != nil && world.chance("answer lost", kind) {
		event = lost
	}
	if kind {
		world.give(agent, event)
		return
	}
	agent.replies = append(agent.replies, event)
}

func (world *world) read(agent *fakeAgent, kind bool) {
	world.calls++
	if world.down {
		world.reply(agent, ledger.RecordReadFailed{}, nil, kind)
		return
	}
	answer := ledger.RecordRead{
		RequestedAt: world.now, Found: world.revision != 0, Record: world.record, Revision: world.revision,
	}
	world.reply(agent, answer, ledger.RecordReadFailed{}, kind)
}

func (world *world) write(agent *fakeAgent, write ledger.WriteRecord, kind bool) {
	world.calls++
	unwritten := ledger.RecordWriteFailed{Record: write.Record}
	if world.down {
		world.reply(agent, unwritten, nil, kind)
		return
	}
	if world.chance("write late", kind) {
		world.writes = append(world.writes, func() { world.swap(write) })
		world.reply(agent, unwritten, nil, false)
		return
	}
	if !world.swap(write) {
		world.reply(agent, unwritten, nil, kind)
		return
	}
	written := ledger.RecordWritten{RequestedAt: world.now, Record: write.Record, Revision: world.revision}
	world.reply(agent, written, unwritten, kind)
}

func (world *world) swap(write ledger.WriteRecord) bool {
	if write.Expected != world.revision {
		return false
	}
	world.revision++
	world.record = write.Record
	return true
}

func (world *world) send(agent *fakeAgent, order engine.Order, kind bool) {
	if !agent.ledger.MaySend(world.now, order) {
		world.reply(agent, ledger.OrderUnsent{Order: order}, nil, kind)
		return
	}
	world.checkNamed(order)
	deliver := func() error {
		_, err := world.machine.Order(world.now, order)
		return err
	}
	if !kind && rapid.Bool().Draw(world.t, "order late or doubled") {
		world.fly(func() { _ = deliver() })
	}
	if world.chance("order lost", kind) {
		world.reply(agent, ledger.OrderUnanswered{Order: order}, nil, kind)
		return
	}
	var answer ledger.Event = ledger.OrderAcknowledged{Order: order}
	var fencedError *engine.FencedError
	if errors.As(deliver(), &fencedError) {
		answer = ledger.OrderFenced{Order: order, Seen: fencedError.Seen}
	}
	world.reply(agent, answer, ledger.OrderUnanswered{Order: order}, kind)
}

// checkNamed checks the promise to successors: what an order that leaves may
// make resident is named in the record that they would read now.
func (world *world) checkNamed(order engine.Order) {
	var item ledger.Item
	switch action := order.Action.(type) {
	case engine.LoadModel:
		item = ledger.Item{Model: action.Model}
	case engine.LoadAdapter:
		item = ledger.Item{Model: action.Model, Adapter: action.Adapter}
	default:
		return
	}
	for _, weights := range world.record.Envelope {
		if weights.Item == item {
			return
		}
	}
	world.t.Fatalf("load of %v leaves, and the record names %v", item, world.record.Envelope)
}

func (world *world) fly(deliver func()) {
	world.flights = append(world.flights, flight{until: world.now.Add(worldLifetime), deliver: deliver})
}

// generate starts a generation as an agent does: reserve, check, send.
func (world *world) generate(agent *fakeAgent) {
	item := rapid.SampledFrom(worldItems).Draw(world.t, "item").Item
	prompt := rapid.IntRange(1, 6).Draw(world.t, "prompt")
	output := rapid.IntRange(1, 20).Draw(world.t, "output")
	world.requests++
	request := names.Request(fmt.Sprintf("r%d", world.requests))
	if !agent.ledger.ReserveCache(world.now, request, item, int64(prompt+output)) {
		return
	}
	generation := engine.Generation{
		Request: request, Model: item.Model, Adapter: item.Adapter,
		Prompt: fmt.Sprintf("%*d", prompt*4, world.requests), MaxTokens: call.Tokens(output),
	}
	if rapid.Bool().Draw(world.t, "sent later") {
		agent.unsent = append(agent.unsent, generation)
		return
	}
	world.sendGeneration(agent, generation)
}

// sendUnsent sends what waited since its cache was reserved.
func (world *world) sendUnsent(agent *fakeAgent) {
	unsent := agent.unsent
	agent.unsent = nil
	for _, generation := range unsent {
		world.sendGeneration(agent, generation)
	}
}

func (world *world) sendGeneration(agent *fakeAgent, generation engine.Generation) {
	if !agent.ledger.MayGenerate(world.now) {
		agent.ledger.ReleaseCache(generation.Request)
		return
	}
	agent.streams[generation.Request] = true
	arrived := false
	arrive := func() {
		if arrived {
			return
		}
		arrived = true
		if world.machine.Start(world.now, generation) != nil && agent.streams[generation.Request] {
			delete(agent.streams, generation.Request)
			agent.ledger.ReleaseCache(generation.Request)
		}
	}
	switch rapid.IntRange(0, 3).Draw(world.t, "way") {
	case 0:
		world.fly(arrive)
	case 1:
		// The agent gives up before it knows that the generation arrived.
		world.fly(arrive)
		delete(agent.streams, generation.Request)
		agent.ledger.AbandonCache(world.now, generation.Request)
	default:
		arrive()
	}
}

// kill ends an agent's process; the engine sees its connections cut.
func (world *world) kill(agent *fakeAgent) {
	agent.dead = true
	for request := range agent.streams {
		world.fly(func() { world.machine.Cancel(world.now, request) })
	}
}

// advance lets time pass; frozen agents see nothing of it.
func (world *world) advance(span time.Duration) {
	for end := world.now.Add(span); world.now.Before(end); {
		world.now = world.now.Add(worldTick)
		world.expire()
		for _, output := range world.machine.Step(world.now) {
			world.output(output)
		}
		for _, agent := range world.awake() {
			world.give(agent, ledger.Tick{})
		}
	}
}

// output ends the streams whose generation ended. A frozen agent sees it when
// it wakes, which here is at once: its ledger then only has more memory free
// than it believes.
func (world *world) output(output stand.EngineOutput) {
	for _, agent := range world.agents {
		if !agent.streams[output.Request] || !output.Done && output.Err == nil {
			continue
		}
		delete(agent.streams, output.Request)
		if output.Done {
			agent.ledger.ReleaseCache(output.Request)
		} else {
			world.cut++
			agent.ledger.AbandonRunning(world.now, output.Request)
		}
	}
}

// expire delivers what reaches the end of its lifetime now.
func (world *world) expire() {
	flights := world.flights
	world.flights = nil
	for _, each := range flights {
		if each.until.After(world.now) {
			world.flights = append(world.flights, each)
			continue
		}
		each.deliver()
	}
}

// settle lets every awake agent act without faults for span.
func (world *world) settle(span time.Duration) {
	for end := world.now.Add(span); world.now.Before(end); {
		world.advance(worldTick)
		for _, agent := range world.awake() {
			world.drain(agent)
		}
	}
}

func (world *world) drain(agent *fakeAgent) {
	world.sendUnsent(agent)
	for len(agent.queue)+len(agent.replies) > 0 && !agent.dead {
		if len(agent.replies) > 0 {
			event := agent.replies[0]
			agent.replies = agent.replies[1:]
			world.give(agent, event)
			continue
		}
		action := agent.queue[0]
		agent.queue = agent.queue[1:]
		world.do(agent, action, true)
	}
}
