package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

const (
	simEntries = 3
	simKeys    = 8
	simShard   = 0
	simSteps   = 1000
)

// mutation turns off one of the mechanisms on which the decisions rely.
type mutation int

const (
	mutateNothing mutation = iota
	// mutateSendFirst sends the call without waiting for the claim.
	mutateSendFirst
	// mutateNoReload treats a write with an uncertain result as applied.
	mutateNoReload
	// mutateNoFingerprint gives every call the same fingerprint.
	mutateNoFingerprint
	// mutateReleaseUnknown releases the claim of a call whose answer was lost.
	mutateReleaseUnknown
	// mutateUnconditionalSwap writes without comparing revisions.
	mutateUnconditionalSwap
	// mutateLateGrant reports NotRun to the caller, but sends the call when the
	// claim is granted after that.
	mutateLateGrant
)

// simRequest is one call of a caller at one entry.
type simRequest struct {
	id         names.Request
	entry      int
	key        int
	body       int
	submission *Submission
	claim      Claim
	// offset shifts the candidates, as the member lists of entries may differ.
	offset   int
	open     bool
	reported call.Outcome
}

// simMessage is an operation on its way to a writer.
type simMessage struct {
	to        int
	operation Operation
	// request waits for the reply; nil for a conclusion, whose reply is ignored
	// and which may be submitted again.
	request *simRequest
}

// simReply is a reply on its way to a request.
type simReply struct {
	request *simRequest
	reply   Reply
}

type simEntry struct {
	writer *Writer
	// pendingIO is the load or write in progress, if any.
	pendingIO Action
	requests  map[OperationID]*simRequest
}

// sim simulates entries that use one shard, and counts what the backend server
// ran as the oracle.
type sim struct {
	t        *rapid.T
	mutation mutation
	now      time.Time
	store    *faultStore
	entries  []*simEntry
	requests []*simRequest
	messages []simMessage
	replies  []simReply
	// sent holds calls on their way to the backend server.
	sent   []*simRequest
	lastID OperationID
	// ran counts executions by request, and ranKey by idempotency key.
	ran    map[*simRequest]int
	ranKey map[int][]*simRequest
	err    error
	seals  int
	grants int
}

func newSim(t *rapid.T, mutation mutation) *sim {
	sim := &sim{
		t: t, mutation: mutation, now: epoch, store: newFaultStore(),
		ran: map[*simRequest]int{}, ranKey: map[int][]*simRequest{},
	}
	sim.store.ignoreExpected = mutation == mutateUnconditionalSwap
	sim.store.onRead = func() {
		if len(sim.store.delayed) > 0 && sim.draw("landOnRead", 4) == 0 {
			sim.store.applyDelayed(0)
		}
	}
	for range simEntries {
		sim.entries = append(sim.entries, newSimEntry())
	}
	return sim
}

func newSimEntry() *simEntry {
	return &simEntry{
		writer:   NewWriter(WriterConfig{Shard: simShard, SealBytes: 300, Interval: 10 * time.Millisecond}),
		requests: map[OperationID]*simRequest{},
	}
}

// uniformByte draws from 0 to 255 with equal probability. The ranges of rapid
// prefer small numbers, with which few runs get far.
var uniformByte = rapid.Custom(func(t *rapid.T) int {
	value := 0
	for range 8 {
		value *= 2
		if rapid.Bool().Draw(t, "bit") {
			value++
		}
	}
	return value
})

func (sim *sim) draw(label string, count int) int {
	return uniformByte.Draw(sim.t, label) % count
}

func (sim *sim) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf(format, args...)
	}
}

// run takes random steps and returns the first violation that it finds.
func (sim *sim) run() error {
	steps := []func(){
		sim.request, sim.deliver, sim.deliver, sim.deliver, sim.completeIOWithFaults, sim.completeIOWithFaults, sim.completeIOWithFaults,
		sim.reply, sim.reply, sim.deliverCall, sim.deliverCall, sim.tick, sim.applyDelayedWrite, sim.injectFault,
	}
	for i := 0; i < simSteps && sim.err == nil; i++ {
		steps[sim.draw("step", len(steps))]()
	}
	if sim.err == nil && sim.mutation == mutateNothing {
		sim.checkProgress()
	}
	return sim.err
}

// checkProgress ends the faults and checks that each entry's writer then grants a
// new claim.
func (sim *sim) checkProgress() {
	const maxSteps = 100
	sim.now = sim.now.Add(time.Hour)
	for index, entry := range sim.entries {
		request := &simRequest{claim: Claim{id: NewID("account", fmt.Sprint("new", index)), attempt: "new"}}
		sim.lastID++
		entry.requests[sim.lastID] = request
		for i := 0; i < maxSteps && entry.pendingIO != nil; i++ {
			sim.completeIO(index)
		}
		sim.replies = nil
		sim.step(index, Submit{ID: sim.lastID, Operation: Begin{Claim: request.claim}})
		for i := 0; i < maxSteps && entry.pendingIO != nil; i++ {
			sim.completeIO(index)
			sim.now = sim.now.Add(time.Second)
			sim.step(index, Tick{})
		}
		if !sim.granted(request) {
			sim.fail("entry %d doesn't grant a new claim after the faults", index)
		}
	}
}

func (sim *sim) granted(request *simRequest) bool {
	for _, reply := range sim.replies {
		if _, granted := reply.reply.(Granted); granted && reply.request == request {
			return true
		}
	}
	return false
}

// completeIO carries out an entry's load or write in progress, without faults.
func (sim *sim) completeIO(index int) {
	entry := sim.entries[index]
	action := entry.pendingIO
	entry.pendingIO = nil
	switch action := action.(type) {
	case Load:
		loaded, err := load(context.Background(), sim.store, simShard, action.From)
		if err != nil {
			sim.fail("load: %v", err)
			return
		}
		sim.step(index, loaded)
	case Write:
		sim.step(index, Written{Result: newWriteResult(sim.store.Swap(context.Background(), action.Swap))})
	}
}

// request starts a call at one of the entries.
func (sim *sim) request() {
	request := &simRequest{
		id:     names.Request(fmt.Sprintf("r%d", len(sim.requests))),
		entry:  sim.draw("entry", simEntries),
		key:    sim.draw("key", simKeys),
		body:   sim.draw("body", 5) / 4,
		offset: sim.draw("offset", 5) / 4,
		open:   true,
	}
	request.claim = Claim{id: NewID("account", fmt.Sprint(request.key)), attempt: request.id}
	body := request.body
	if sim.mutation == mutateNoFingerprint {
		body = 0
	}
	begin := Begin{Claim: request.claim, Fingerprint: NewFingerprint("POST", "/", "", []byte{byte(body)})}
	request.submission = NewSubmission(begin, simEntries)
	sim.requests = append(sim.requests, request)
	sim.sendOperation(request)
	if sim.mutation == mutateSendFirst {
		sim.sent = append(sim.sent, request)
	}
}

// sendOperation sends a request's operation to the candidate to try now.
func (sim *sim) sendOperation(request *simRequest) {
	to := (request.submission.Rank() + request.offset) % simEntries
	sim.messages = append(sim.messages, simMessage{to: to, operation: request.submission.operation, request: request})
}

// deliver passes a message to its writer, and sometimes leaves a duplicate to
// be delivered again.
func (sim *sim) deliver() {
	if len(sim.messages) == 0 {
		return
	}
	i := sim.draw("message", len(sim.messages))
	message := sim.messages[i]
	if sim.draw("double", 6) != 0 {
		sim.messages = append(sim.messages[:i], sim.messages[i+1:]...)
	}
	sim.lastID++
	entry := sim.entries[message.to]
	if message.request != nil {
		entry.requests[sim.lastID] = message.request
	} else {
		// A conclusion may be submitted again, at any entry.
		again := message
		again.to = sim.draw("again", simEntries)
		entry.requests[sim.lastID] = nil
		defer func() {
			if sim.draw("resubmit", 3) == 0 {
				sim.messages = append(sim.messages, again)
			}
		}()
	}
	sim.step(message.to, Submit{ID: sim.lastID, Operation: message.operation})
}

// step passes one input to an entry's writer and handles the actions it returns.
func (sim *sim) step(index int, input Input) {
	entry := sim.entries[index]
	for _, action := range entry.writer.Step(sim.now, input) {
		switch action := action.(type) {
		case Load, Write:
			if entry.pendingIO != nil {
				sim.fail("two calls to the key-value service at once")
			}
			entry.pendingIO = action
		case Respond:
			if request := entry.requests[action.ID]; request != nil {
				sim.replies = append(sim.replies, simReply{request: request, reply: action.Reply})
			}
			delete(entry.requests, action.ID)
		case DeleteKeys, Wake:
		}
	}
}

// completeIOWithFaults carries out one entry's load or write in progress, or
// lets it fail.
func (sim *sim) completeIOWithFaults() {
	index := sim.draw("ioEntry", simEntries)
	entry := sim.entries[index]
	action := entry.pendingIO
	entry.pendingIO = nil
	switch action := action.(type) {
	case Load:
		loaded, err := load(context.Background(), sim.store, simShard, action.From)
		if err != nil || sim.draw("loadFails", 16) == 0 {
			sim.step(index, LoadFailed{})
			return
		}
		sim.step(index, loaded)
	case Write:
		if action.Swap.Key != headKey(simShard) {
			sim.seals++
		}
		sim.step(index, Written{Result: sim.write(action)})
	}
}

// write carries out a write, which may fail, take effect late, or have an
// uncertain result.
func (sim *sim) write(write Write) WriteResult {
	switch sim.draw("fate", 12) {
	case 0:
		return NotApplied{}
	case 1:
		_, _ = sim.store.Swap(context.Background(), write.Swap)
		return sim.uncertainResult()
	case 2:
		sim.store.delayed = append(sim.store.delayed, write.Swap)
		return sim.uncertainResult()
	default:
		return newWriteResult(sim.store.Swap(context.Background(), write.Swap))
	}
}

func (sim *sim) uncertainResult() WriteResult {
	if sim.mutation == mutateNoReload {
		return Applied{Revision: sim.store.revision}
	}
	return Uncertain{}
}

// reply passes a writer's reply to its request, which may have ended already.
func (sim *sim) reply() {
	if len(sim.replies) == 0 {
		return
	}
	i := sim.draw("reply", len(sim.replies))
	reply := sim.replies[i]
	sim.replies = append(sim.replies[:i], sim.replies[i+1:]...)
	if !reply.request.open {
		if _, granted := reply.reply.(Granted); granted && sim.mutation == mutateLateGrant {
			sim.sent = append(sim.sent, reply.request)
		}
		return
	}
	sim.handleResult(reply.request, reply.request.submission.HandleReply(reply.reply))
}

// timeout ends the wait of a request for its candidate's reply.
func (sim *sim) timeout() {
	var open []*simRequest
	for _, request := range sim.requests {
		if request.open {
			open = append(open, request)
		}
	}
	if len(open) == 0 {
		return
	}
	request := open[sim.draw("timeout", len(open))]
	sim.handleResult(request, request.submission.HandleNoReply(true))
}

// handleResult acts on the result of a submission, as an entry does.
func (sim *sim) handleResult(request *simRequest, submissionResult *SubmissionResult) {
	if submissionResult == nil {
		sim.sendOperation(request)
		return
	}
	request.open = false
	if submissionResult.Withdraw != nil {
		sim.conclude(*submissionResult.Withdraw)
	}
	switch reply := submissionResult.Reply.(type) {
	case Granted:
		sim.grants++
		if sim.mutation != mutateSendFirst {
			sim.sent = append(sim.sent, request)
		}
	case Replayed:
		sim.checkReplay(request, reply.Answer)
	case Denied:
		sim.reportOutcome(request, reply.Refusal.OutcomeOrUnknown())
	case Failed:
		sim.reportOutcome(request, call.NotRun{})
	}
}

func (sim *sim) conclude(operation Operation) {
	sim.messages = append(sim.messages, simMessage{to: sim.draw("concludeAt", simEntries), operation: operation})
}

// deliverCall delivers a sent call to the backend server, with or without a
// failure of the agent, the entry or the connection.
func (sim *sim) deliverCall() {
	if len(sim.sent) == 0 {
		return
	}
	i := sim.draw("sent", len(sim.sent))
	request := sim.sent[i]
	sim.sent = append(sim.sent[:i], sim.sent[i+1:]...)
	switch sim.draw("executeFate", 6) {
	case 0: // the agent proves that it never sent the call
		sim.reportOutcome(request, call.NotRun{})
		sim.conclude(Release{Claim: request.claim})
	case 1: // the agent crashed before the call ran; nobody knows the outcome
		sim.loseResponse(request)
	case 2: // the answer is lost
		sim.runOnServer(request)
		sim.loseResponse(request)
	case 3: // the entry crashed after the call ran
		sim.runOnServer(request)
	default:
		sim.runOnServer(request)
		sim.conclude(Finish{Claim: request.claim, Ran: true, Answer: sim.answer(request)})
	}
}

func (sim *sim) loseResponse(request *simRequest) {
	if sim.mutation == mutateReleaseUnknown {
		sim.conclude(Release{Claim: request.claim})
		return
	}
	sim.reportOutcome(request, call.Unknown{})
	sim.conclude(Finish{Claim: request.claim})
}

// runOnServer runs a call at the backend server and checks that it may run.
func (sim *sim) runOnServer(request *simRequest) {
	sim.ran[request]++
	sim.ranKey[request.key] = append(sim.ranKey[request.key], request)
	if ran := sim.ranKey[request.key]; len(ran) > 1 {
		sim.fail("idempotency key %d ran twice: %s and %s", request.key, ran[0].id, ran[1].id)
	}
	if _, notRun := request.reported.(call.NotRun); notRun {
		sim.fail("%s ran after NotRun was reported to its caller", request.id)
	}
}

func (sim *sim) answer(request *simRequest) *Answer {
	return &Answer{Status: 200, Body: []byte(request.id)}
}

// reportOutcome reports the outcome to a request's caller and checks that it is
// true.
func (sim *sim) reportOutcome(request *simRequest, outcome call.Outcome) {
	request.reported = outcome
	switch outcome.(type) {
	case call.NotRun:
		if sim.ran[request] > 0 {
			sim.fail("%s ran, but NotRun was reported", request.id)
		}
	case call.Run:
		if len(sim.ranKey[request.key]) == 0 {
			sim.fail("%s: Run was reported, but no call with its idempotency key ran", request.id)
		}
	case call.Unknown:
		// It states nothing that could be false.
	}
}

// checkReplay checks that a replayed answer is the one of the same call.
func (sim *sim) checkReplay(request *simRequest, answer Answer) {
	for _, ran := range sim.ranKey[request.key] {
		if string(answer.Body) == string(ran.id) && ran.body == request.body {
			return
		}
	}
	sim.fail("%s got the replayed answer %q, which is that of another call", request.id, answer.Body)
}

// injectFault crashes an entry or lets a request time out. It does so with a
// lower probability than that of the other steps.
func (sim *sim) injectFault() {
	switch sim.draw("disturb", 8) {
	case 0:
		sim.crash()
	case 1, 2:
		sim.timeout()
	}
}

func (sim *sim) tick() {
	sim.now = sim.now.Add(time.Duration(sim.draw("millis", 2000)) * time.Millisecond)
	for index := range sim.entries {
		sim.step(index, Tick{})
	}
}

// applyDelayedWrite lets a delayed write take effect.
func (sim *sim) applyDelayedWrite() {
	if len(sim.store.delayed) > 0 {
		sim.store.applyDelayed(sim.draw("late", len(sim.store.delayed)))
	}
}

// crash replaces an entry. Its write in progress may still take effect.
func (sim *sim) crash() {
	index := sim.draw("crash", simEntries)
	if write, ok := sim.entries[index].pendingIO.(Write); ok && sim.draw("crashWrite", 2) == 0 {
		sim.store.delayed = append(sim.store.delayed, write.Swap)
	}
	sim.entries[index] = newSimEntry()
	for _, request := range sim.requests {
		if request.entry == index {
			request.open = false
		}
	}
}

func TestAtMostOnce(t *testing.T) {
	seals, grants := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSim(t, mutateNothing)
		if err := sim.run(); err != nil {
			t.Fatal(err)
		}
		seals += sim.seals
		grants += sim.grants
	})
	if seals == 0 || grants == 0 {
		t.Fatalf("the runs sealed %d segments and granted %d claims", seals, grants)
	}
	t.Logf("%d claims granted, %d segments sealed", grants, seals)
}

// TestMechanismsAreNeeded checks that the simulation finds a violation when one
// of the mechanisms is turned off.
func TestMechanismsAreNeeded(t *testing.T) {
	const seeds = 500
	for _, test := range []struct {
		name     string
		mutation mutation
	}{
		{"claim before sending", mutateSendFirst},
		{"read back after doubt", mutateNoReload},
		{"fingerprint", mutateNoFingerprint},
		{"release on proof only", mutateReleaseUnknown},
		{"compare and swap", mutateUnconditionalSwap},
		{"given up means not sent", mutateLateGrant},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range seeds {
				run := rapid.Custom(func(t *rapid.T) string {
					if err := newSim(t, test.mutation).run(); err != nil {
						return err.Error()
					}
					return ""
				})
				if broken := run.Example(seed); broken != "" {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			t.Errorf("no violation in %d runs without the mechanism", seeds)
		})
	}
}
