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
	simMemoryBytes   = 100
	simTick          = 100 * time.Millisecond
	simOrderLifetime = time.Second
	simReportLag     = 500 * time.Millisecond
	// simRecordValidity is longer than the sum of report lag, report validity and
	// order lifetime.
	simRecordValidity = 4 * time.Second
)

var simStart = time.Unix(1_000_000, 0)

// simItems have sizes of which only a few fit into memory together.
var simItems = []ledger.Weights{
	{Item: ledger.Item{Model: "a@1"}, Bytes: 45},
	{Item: ledger.Item{Model: "a@2"}, Bytes: 45},
	{Item: ledger.Item{Model: "b@1"}, Bytes: 30},
	{Item: ledger.Item{Model: "b@1", Adapter: "x"}, Bytes: 8},
	{Item: ledger.Item{Model: "c@1"}, Bytes: 25},
	{Item: ledger.Item{Model: "c@1", Adapter: "y"}, Bytes: 5},
}

// message is a message to the engine that is in transit.
type message struct {
	latestArrival time.Time
	deliver       func()
}

// fakeAgent is a ledger with the actions, results and generations that are still
// to be processed.
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

// simulation is an engine, the platform's store and agents in virtual time.
type simulation struct {
	t             *rapid.T
	now           time.Time
	machine       *stand.EngineMachine
	agents        []*fakeAgent
	messages      []message
	lateWrites    []func()
	record        ledger.Record
	revision      store.Revision
	storeDown     bool
	targetVersion int64
	requests      int
	// storeCalls counts the reads and writes of the record.
	storeCalls int
	// interrupted counts the generations that ended before they were complete.
	interrupted int
}

func newSimulation(t *rapid.T, fencing bool) *simulation {
	now := simStart
	simulation := &simulation{t: t, now: now, machine: stand.NewEngineMachine(stand.EngineConfig{
		MemoryBytes: simMemoryBytes, CacheBytesPerToken: 1, PrefixBytes: 10, Fencing: fencing, ReportLag: simReportLag,
		LoadTime: 300 * time.Millisecond, UnloadTime: 200 * time.Millisecond,
	}, now)}
	simulation.startAgent("")
	return simulation
}

func (simulation *simulation) startAgent(address string) {
	name := names.Instance(fmt.Sprintf("agent-%d", len(simulation.agents)))
	agent := &fakeAgent{name: name, streams: map[names.Request]bool{}, ledger: ledger.New(ledger.Config{
		Instance: name, Address: address, MemoryBytes: simMemoryBytes, OrderLifetime: simOrderLifetime,
		RecordValidity: simRecordValidity, ReportValidity: time.Second, ReportLag: simReportLag,
		RetryWait: 300 * time.Millisecond, ReportPeriod: simTick,
	})}
	simulation.agents = append(simulation.agents, agent)
	agent.ledger.SetTarget(simulation.drawTarget())
}

func (simulation *simulation) drawTarget() ledger.Target {
	simulation.targetVersion++
	target := ledger.Target{Version: simulation.targetVersion, Role: engine.RoleMixed}
	for i, weights := range simItems {
		if rapid.Bool().Draw(simulation.t, fmt.Sprintf("want%d", i)) {
			target.Items = append(target.Items, weights)
		}
	}
	return target
}

// running returns the agents that are neither frozen nor dead.
func (simulation *simulation) running() []*fakeAgent {
	var running []*fakeAgent
	for _, agent := range simulation.agents {
		if !agent.frozen && !agent.dead {
			running = append(running, agent)
		}
	}
	return running
}

func (simulation *simulation) pickAgent() *fakeAgent {
	running := simulation.running()
	if len(running) == 0 {
		simulation.t.Skip("no agent running")
	}
	return rapid.SampledFrom(running).Draw(simulation.t, "agent")
}

func (simulation *simulation) step(agent *fakeAgent, event ledger.Event) {
	agent.queue = append(agent.queue, agent.ledger.Step(simulation.now, event)...)
}

// execute executes one action. Unless reliable is set, its messages and results may
// be lost, late or duplicated.
func (simulation *simulation) execute(agent *fakeAgent, action ledger.Action, reliable bool) {
	switch action := action.(type) {
	case ledger.ReadRecord:
		simulation.readRecord(agent, reliable)
	case ledger.WriteRecord:
		simulation.writeRecord(agent, action, reliable)
	case ledger.SendOrder:
		simulation.sendOrder(agent, action.Order, reliable)
	case ledger.RequestReport:
		report := simulation.machine.Report(simulation.now)
		simulation.reply(agent, ledger.ReportReceived{RequestedAt: simulation.now, Report: report}, ledger.ReportFailed{}, reliable)
	case ledger.CancelGeneration:
		if simulation.drawFault("cancel lost", reliable) {
			simulation.reply(agent, ledger.CancelUnanswered(action), nil, true)
			return
		}
		simulation.machine.Cancel(simulation.now, action.Request)
		answer := ledger.CancelAcknowledged{RequestedAt: simulation.now, Request: action.Request}
		simulation.reply(agent, answer, ledger.CancelUnanswered(action), reliable)
	case ledger.Terminate:
		simulation.kill(agent)
	}
}

// drawFault draws whether a fault occurs; none does if reliable is set.
func (simulation *simulation) drawFault(name string, reliable bool) bool {
	return !reliable && rapid.IntRange(0, 3).Draw(simulation.t, name) == 0
}

func (simulation *simulation) reply(agent *fakeAgent, event, lost ledger.Event, reliable bool) {
	if lost != nil && simulation.drawFault("answer lost", reliable) {
		event = lost
	}
	if reliable {
		simulation.step(agent, event)
		return
	}
	agent.replies = append(agent.replies, event)
}

func (simulation *simulation) readRecord(agent *fakeAgent, reliable bool) {
	simulation.storeCalls++
	if simulation.storeDown {
		simulation.reply(agent, ledger.RecordReadFailed{}, nil, reliable)
		return
	}
	answer := ledger.RecordRead{
		RequestedAt: simulation.now, Found: simulation.revision != 0, Record: simulation.record, Revision: simulation.revision,
	}
	simulation.reply(agent, answer, ledger.RecordReadFailed{}, reliable)
}

func (simulation *simulation) writeRecord(agent *fakeAgent, write ledger.WriteRecord, reliable bool) {
	simulation.storeCalls++
	failed := ledger.RecordWriteFailed{Record: write.Record}
	if simulation.storeDown {
		simulation.reply(agent, failed, nil, reliable)
		return
	}
	if simulation.drawFault("write late", reliable) {
		simulation.lateWrites = append(simulation.lateWrites, func() { simulation.swap(write) })
		simulation.reply(agent, failed, nil, false)
		return
	}
	if !simulation.swap(write) {
		simulation.reply(agent, failed, nil, reliable)
		return
	}
	written := ledger.RecordWritten{RequestedAt: simulation.now, Record: write.Record, Revision: simulation.revision}
	simulation.reply(agent, written, failed, reliable)
}

func (simulation *simulation) swap(write ledger.WriteRecord) bool {
	if write.Expected != simulation.revision {
		return false
	}
	simulation.revision++
	simulation.record = write.Record
	return true
}

func (simulation *simulation) sendOrder(agent *fakeAgent, order engine.Order, reliable bool) {
	if !agent.ledger.MaySend(simulation.now, order) {
		simulation.reply(agent, ledger.OrderUnsent{Order: order}, nil, reliable)
		return
	}
	simulation.checkRecorded(order)
	deliver := func() error {
		_, err := simulation.machine.ApplyOrder(simulation.now, order)
		return err
	}
	if !reliable && rapid.Bool().Draw(simulation.t, "order late or doubled") {
		simulation.sendLate(func() { _ = deliver() })
	}
	if simulation.drawFault("order lost", reliable) {
		simulation.reply(agent, ledger.OrderUnanswered{Order: order}, nil, reliable)
		return
	}
	var answer ledger.Event = ledger.OrderAcknowledged{Order: order}
	var fencedError *engine.FencedError
	if errors.As(deliver(), &fencedError) {
		answer = ledger.OrderFenced{Order: order, Seen: fencedError.Seen}
	}
	simulation.reply(agent, answer, ledger.OrderUnanswered{Order: order}, reliable)
}

// checkRecorded checks that the record that a successor would read now names the
// item that an order, which is being sent, may make resident.
func (simulation *simulation) checkRecorded(order engine.Order) {
	var item ledger.Item
	switch action := order.Action.(type) {
	case engine.LoadModel:
		item = ledger.Item{Model: action.Model}
	case engine.LoadAdapter:
		item = ledger.Item{Model: action.Model, Adapter: action.Adapter}
	default:
		return
	}
	for _, weights := range simulation.record.Envelope {
		if weights.Item == item {
			return
		}
	}
	simulation.t.Fatalf("load of %v is sent while the record names %v", item, simulation.record.Envelope)
}

func (simulation *simulation) sendLate(deliver func()) {
	simulation.messages = append(simulation.messages, message{latestArrival: simulation.now.Add(simOrderLifetime), deliver: deliver})
}

// generate starts a generation as an agent does: it reserves the KV cache, checks
// the permission and sends.
func (simulation *simulation) generate(agent *fakeAgent) {
	item := rapid.SampledFrom(simItems).Draw(simulation.t, "item").Item
	prompt := rapid.IntRange(1, 6).Draw(simulation.t, "prompt")
	output := rapid.IntRange(1, 20).Draw(simulation.t, "output")
	simulation.requests++
	request := names.Request(fmt.Sprintf("r%d", simulation.requests))
	if !agent.ledger.ReserveCache(simulation.now, request, item, int64(prompt+output)) {
		return
	}
	generation := engine.Generation{
		Request: request, Model: item.Model, Adapter: item.Adapter,
		Prompt: fmt.Sprintf("%*d", prompt*4, simulation.requests), MaxTokens: call.Tokens(output),
	}
	if rapid.Bool().Draw(simulation.t, "sent later") {
		agent.unsent = append(agent.unsent, generation)
		return
	}
	simulation.sendGeneration(agent, generation)
}

// sendUnsent sends the generations whose KV cache was reserved earlier.
func (simulation *simulation) sendUnsent(agent *fakeAgent) {
	unsent := agent.unsent
	agent.unsent = nil
	for _, generation := range unsent {
		simulation.sendGeneration(agent, generation)
	}
}

func (simulation *simulation) sendGeneration(agent *fakeAgent, generation engine.Generation) {
	if !agent.ledger.MayGenerate(simulation.now) {
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
		if simulation.machine.Start(simulation.now, generation) != nil && agent.streams[generation.Request] {
			delete(agent.streams, generation.Request)
			agent.ledger.ReleaseCache(generation.Request)
		}
	}
	switch rapid.IntRange(0, 3).Draw(simulation.t, "way") {
	case 0:
		simulation.sendLate(arrive)
	case 1:
		// The agent abandons the generation before it knows whether it arrived.
		simulation.sendLate(arrive)
		delete(agent.streams, generation.Request)
		agent.ledger.AbandonCache(simulation.now, generation.Request)
	default:
		arrive()
	}
}

// kill ends an agent's process. Its connections close, so that the engine cancels
// its generations with a delay.
func (simulation *simulation) kill(agent *fakeAgent) {
	agent.dead = true
	for request := range agent.streams {
		simulation.sendLate(func() { simulation.machine.Cancel(simulation.now, request) })
	}
}

// advance advances time by span. Frozen agents receive no ticks.
func (simulation *simulation) advance(span time.Duration) {
	for end := simulation.now.Add(span); simulation.now.Before(end); {
		simulation.now = simulation.now.Add(simTick)
		simulation.deliverDue()
		for _, output := range simulation.machine.Step(simulation.now) {
			simulation.handleOutput(output)
		}
		for _, agent := range simulation.running() {
			simulation.step(agent, ledger.Tick{})
		}
	}
}

// handleOutput ends the stream of a generation that has ended. A frozen agent would
// see the end when it resumes; here its ledger receives it at once, which only
// frees its reserved memory earlier.
func (simulation *simulation) handleOutput(output stand.EngineOutput) {
	for _, agent := range simulation.agents {
		if !agent.streams[output.Request] || !output.Done && output.Err == nil {
			continue
		}
		delete(agent.streams, output.Request)
		if output.Done {
			agent.ledger.ReleaseCache(output.Request)
		} else {
			simulation.interrupted++
			agent.ledger.AbandonRunning(simulation.now, output.Request)
		}
	}
}

// deliverDue delivers the messages that have reached the end of the order lifetime.
func (simulation *simulation) deliverDue() {
	messages := simulation.messages
	simulation.messages = nil
	for _, message := range messages {
		if message.latestArrival.After(simulation.now) {
			simulation.messages = append(simulation.messages, message)
			continue
		}
		message.deliver()
	}
}

// settle runs every running agent without faults for span.
func (simulation *simulation) settle(span time.Duration) {
	for end := simulation.now.Add(span); simulation.now.Before(end); {
		simulation.advance(simTick)
		for _, agent := range simulation.running() {
			simulation.drain(agent)
		}
	}
}

func (simulation *simulation) drain(agent *fakeAgent) {
	simulation.sendUnsent(agent)
	for len(agent.queue)+len(agent.replies) > 0 && !agent.dead {
		if len(agent.replies) > 0 {
			event := agent.replies[0]
			agent.replies = agent.replies[1:]
			simulation.step(agent, event)
			continue
		}
		action := agent.queue[0]
		agent.queue = agent.queue[1:]
		simulation.execute(agent, action, true)
	}
}
