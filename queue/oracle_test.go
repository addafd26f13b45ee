package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/queue"
)

// oracle tracks the state of each request to check the queue's actions against.
type oracle struct {
	t         *rapid.T
	queue     *queue.Queue
	config    queue.Config
	now       time.Time
	waiting   map[queue.ID]queue.Item
	running   map[queue.ID]queue.Item
	final     map[queue.ID]bool
	ran       map[queue.ID]bool
	preempted []queue.ID
	draining  bool
	// offering is the account of the request being offered; empty outside of an
	// offer.
	offering names.ClientAccount
	offered  int
}

func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := queue.Config{
			Slots:       rapid.IntRange(1, 6).Draw(t, "slots"),
			CacheTokens: int64(rapid.IntRange(300, 900).Draw(t, "cache")),
			MaxItems:    rapid.IntRange(2, 12).Draw(t, "items"),
			MaxBytes:    3000,
		}
		oracle := &oracle{
			t: t, config: config, queue: queue.New(config), now: at(0),
			waiting: map[queue.ID]queue.Item{}, running: map[queue.ID]queue.Item{},
			final: map[queue.ID]bool{}, ran: map[queue.ID]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": oracle.offer, "start": oracle.start, "finish": oracle.finish,
			"cancel": oracle.cancel, "advance": oracle.advance, "requeue": oracle.requeue,
			"progress": oracle.progress, "sleep": oracle.sleep, "drain": oracle.drain, "": oracle.check,
		})
	})
}

func (oracle *oracle) offer(t *rapid.T) {
	oracle.offered++
	offered := item(fmt.Sprint(oracle.offered), names.ClientAccount(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")),
		rapid.SampledFrom(call.Kinds()).Draw(t, "kind"))
	offered.Weight = rapid.IntRange(0, 3).Draw(t, "weight")
	offered.CacheTokens = call.Tokens(rapid.IntRange(1, 400).Draw(t, "cache"))
	offered.MaxTokens = call.Tokens(rapid.IntRange(1, 200).Draw(t, "max"))
	if rapid.Bool().Draw(t, "dated") {
		offered.Deadline = oracle.now.Add(time.Duration(rapid.IntRange(-1, 3000).Draw(t, "deadline")) * time.Millisecond)
	}
	count, bytes := oracle.countWaiting(offered.Kind)
	full := count >= oracle.config.MaxItems || bytes+offered.Bytes > oracle.config.MaxBytes
	oracle.waiting[offered.ID] = offered
	oracle.offering = offered.Account
	oracle.apply(oracle.queue.Offer(oracle.now, offered), full, "")
	oracle.offering = ""
}

// countWaiting returns the number and size of the requests that wait in the class
// of kind.
func (oracle *oracle) countWaiting(kind call.Kind) (count int, bytes int64) {
	for _, each := range oracle.waiting {
		if (each.Kind == call.KindBatch) == (kind == call.KindBatch) {
			count++
			bytes += each.Bytes
		}
	}
	return count, bytes
}

// apply checks each action against the tracked state and updates the state.
func (oracle *oracle) apply(actions []queue.Action, full bool, cancelled names.Request) {
	for _, action := range actions {
		switch action := action.(type) {
		case queue.Refuse:
			oracle.checkRefuse(action, full, cancelled)
		case queue.Stop:
			oracle.must(action.ID.Request == cancelled, "stop of %v, which nobody cancelled", action.ID)
		case queue.Preempt:
			running, ok := oracle.running[action.ID]
			oracle.must(ok && running.Kind == call.KindBatch, "preempts %v, not running batch work", action.ID)
			oracle.preempted = append(oracle.preempted, action.ID)
		}
	}
}

// checkRefuse checks that a refusal is of a waiting request and for a true cause.
func (oracle *oracle) checkRefuse(refuse queue.Refuse, full bool, cancelled names.Request) {
	refusedItem, ok := oracle.waiting[refuse.ID]
	oracle.must(ok && !oracle.final[refuse.ID], "%v refused though not waiting", refuse.ID)
	_, notRun := refuse.Refusal.OutcomeOrUnknown().(call.NotRun)
	oracle.must(notRun != oracle.ran[refuse.ID], "%v refused as %v", refuse.ID, refuse.Refusal.OutcomeOrUnknown())
	estimate, grounded := refuse.Estimate, false
	switch estimate.Cause {
	case queue.CauseWait:
		grounded = estimate.Wait > estimate.Slack
	case queue.CauseShare:
		grounded = oracle.offering != "" && refusedItem.Account != oracle.offering
	case queue.CauseExpired:
		grounded = estimate.Slack <= 0
	case queue.CauseFull:
		grounded = full
	case queue.CauseCapacity:
		grounded = int64(refusedItem.CacheTokens) > oracle.config.CacheTokens || refusedItem.Bytes > oracle.config.MaxBytes
	case queue.CauseDraining:
		grounded = oracle.draining
	case queue.CauseCancelled:
		grounded = refuse.ID.Request == cancelled
	}
	oracle.must(grounded, "%v refused without ground: %+v", refuse.ID, estimate)
	delete(oracle.waiting, refuse.ID)
	oracle.final[refuse.ID] = true
}

func (oracle *oracle) start(*rapid.T) {
	dues := map[queue.ID]time.Time{}
	for id := range oracle.waiting {
		dues[id] = oracle.queue.Due(id)
	}
	started, ok := oracle.queue.Start(oracle.now)
	oracle.apply(oracle.queue.Tick(oracle.now), false, "")
	if !ok {
		return
	}
	_, waits := oracle.waiting[started.ID]
	oracle.must(waits, "%v started though not waiting", started.ID)
	due := dues[started.ID]
	oracle.must(due.IsZero() || due.After(oracle.now), "%v started when hopeless", started.ID)
	for id, other := range oracle.waiting {
		same := other.Account == started.Account && (other.Kind == call.KindBatch) == (started.Kind == call.KindBatch)
		passed := same && !dues[id].IsZero() && (due.IsZero() || dues[id].Before(due))
		oracle.must(!passed, "%v, due later, went before %v", started.ID, id)
	}
	delete(oracle.waiting, started.ID)
	oracle.running[started.ID] = started
}

func (oracle *oracle) pick(t *rapid.T, from map[queue.ID]queue.Item) (queue.ID, bool) {
	var ids []queue.ID
	for number := range oracle.offered + 1 {
		id := queue.ID{Request: names.Request(fmt.Sprint(number)), Attempt: 1}
		if _, ok := from[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return queue.ID{}, false
	}
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

func (oracle *oracle) finish(t *rapid.T) {
	if id, ok := oracle.pick(t, oracle.running); ok {
		delete(oracle.running, id)
		oracle.final[id] = true
		oracle.apply(oracle.queue.Finish(oracle.now, id, call.Tokens(rapid.IntRange(0, 200).Draw(t, "used"))), false, "")
		oracle.must(len(oracle.queue.Finish(oracle.now, id, 1)) == 0, "a second finish acted")
	}
}

func (oracle *oracle) progress(t *rapid.T) {
	if id, ok := oracle.pick(t, oracle.running); ok {
		oracle.queue.Progress(oracle.now, id, call.Tokens(rapid.IntRange(1, 200).Draw(t, "tokens")))
	}
}

func (oracle *oracle) cancel(t *rapid.T) {
	from := oracle.waiting
	if rapid.Bool().Draw(t, "running") {
		from = oracle.running
	}
	if id, ok := oracle.pick(t, from); ok {
		oracle.apply(oracle.queue.Cancel(oracle.now, id), false, id.Request)
		_, waits := oracle.waiting[id]
		oracle.must(!waits, "%v waits after its cancellation", id)
	}
}

func (oracle *oracle) requeue(t *rapid.T) {
	if len(oracle.preempted) == 0 {
		return
	}
	id := oracle.preempted[0]
	oracle.preempted = oracle.preempted[1:]
	running, ok := oracle.running[id]
	if !ok {
		return
	}
	delete(oracle.running, id)
	oracle.apply(oracle.queue.Requeue(oracle.now, id, call.Tokens(rapid.IntRange(0, 10).Draw(t, "used"))), false, "")
	if oracle.waitsAgain(id) {
		oracle.waiting[id], oracle.ran[id] = running, true
	}
}

// waitsAgain reports whether a requeued request waits; one that was cancelled
// ends instead.
func (oracle *oracle) waitsAgain(id queue.ID) bool {
	queued, _ := oracle.queue.Len()
	if queued == len(oracle.waiting)+1 {
		return true
	}
	oracle.final[id] = true
	return false
}

func (oracle *oracle) advance(t *rapid.T) {
	oracle.now = oracle.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "millis")) * time.Millisecond)
	oracle.apply(oracle.queue.Tick(oracle.now), false, "")
	for id, waiting := range oracle.waiting {
		oracle.must(waiting.Deadline.IsZero() || waiting.Deadline.After(oracle.now), "%v waits past its deadline", id)
	}
	due, ok := oracle.queue.Next()
	oracle.must(!ok || due.After(oracle.now), "a hopeless request was not answered")
}

// sleep advances the time without a tick, as when the caller is late.
func (oracle *oracle) sleep(t *rapid.T) {
	oracle.now = oracle.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "millis")) * time.Millisecond)
}

func (oracle *oracle) drain(t *rapid.T) {
	if rapid.IntRange(0, 20).Draw(t, "rare") != 0 {
		return
	}
	oracle.draining = true
	oracle.queue.Drain()
	if rapid.Bool().Draw(t, "handBack") {
		oracle.apply(oracle.queue.RefuseWaiting(), false, "")
		oracle.must(len(oracle.waiting) == 0, "%d wait after the hand-back", len(oracle.waiting))
	}
}

func (oracle *oracle) check(*rapid.T) {
	queued, running := oracle.queue.Len()
	oracle.must(queued == len(oracle.waiting), "%d queued, %d expected", queued, len(oracle.waiting))
	oracle.must(running == len(oracle.running), "%d running, %d expected", running, len(oracle.running))
	oracle.must(running <= oracle.config.Slots, "%d running in %d slots", running, oracle.config.Slots)
	cache := call.Tokens(0)
	for _, each := range oracle.running {
		cache += each.CacheTokens
	}
	oracle.must(int64(cache) <= oracle.config.CacheTokens, "%d cache tokens reserved", cache)
}

func (oracle *oracle) must(holds bool, format string, values ...any) {
	oracle.t.Helper()
	if !holds {
		oracle.t.Fatalf(format, values...)
	}
}
