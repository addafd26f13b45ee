package queue_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/queue"
)

// unfairness keeps requests of accounts with random weights and costs waiting and
// returns the largest difference in work per weight between two accounts, in
// multiples of the largest cost at weight one.
func unfairness(t *rapid.T, policy queue.Policy) float64 {
	const largest = 200
	waiting := queue.New(queue.Config{Slots: 1, MaxItems: 1 << 20, MaxBytes: 1 << 40, Policy: policy})
	accounts := rapid.IntRange(2, 8).Draw(t, "accounts")
	weights := make([]int, accounts)
	served := make([]float64, accounts)
	for number := range 200 * accounts {
		// The first account floods the queue: it offers 200 requests before the
		// other accounts offer any.
		account := max(0, number-200+1) % accounts
		if number < 200 {
			account = 0
		}
		offered := item(fmt.Sprint(number), names.ClientAccount(fmt.Sprint(account)), call.KindBatch)
		if weights[account] == 0 {
			weights[account] = rapid.IntRange(1, 4).Draw(t, "weight")
		}
		offered.Weight, offered.PromptTokens, offered.CacheTokens = weights[account], 0, 0
		offered.MaxTokens = call.Tokens(rapid.IntRange(1, largest).Draw(t, "tokens"))
		waiting.Offer(at(0), offered)
	}
	worst := 0.0
	for range 100 {
		next, _ := waiting.Start(at(0))
		waiting.Finish(at(0), next.ID, next.MaxTokens)
		account, _ := strconv.Atoi(string(next.Account))
		served[account] += float64(next.MaxTokens) / float64(weights[account])
		least, most := served[0], served[0]
		for _, each := range served {
			least, most = min(least, each), max(most, each)
		}
		worst = max(worst, (most-least)/largest)
	}
	return worst
}

// boundedUnfairness is the bound on the result of unfairness. Fair queueing lets
// a flow deviate from the virtual time by a largest cost in either direction.
const boundedUnfairness = 3.0

func TestUnfairnessIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if worst := unfairness(t, queue.Policy{}); worst > boundedUnfairness {
			t.Fatalf("accounts came %.1f costs apart", worst)
		}
	})
}

func TestUnfairnessWithoutFairness(t *testing.T) {
	g := NewWithT(t)
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) {
		worst = max(worst, unfairness(t, queue.Policy{NoFairness: true}))
	})
	g.Expect(worst).To(BeNumerically(">", boundedUnfairness))
}

// fillSlots fills the slots of a queue with work of account "held".
func fillSlots(waiting *queue.Queue, slots int, kind call.Kind) []queue.Item {
	running := make([]queue.Item, 0, slots)
	for number := range slots {
		each := item(fmt.Sprintf("held%d", number), "held", kind)
		waiting.Offer(at(0), each)
		waiting.Start(at(0))
		running = append(running, each)
	}
	return running
}

func TestOthersGoBeforeAFlood(t *testing.T) {
	g := NewWithT(t)
	for _, each := range []struct {
		policy queue.Policy
		first  bool
	}{{queue.Policy{}, true}, {queue.Policy{NoFairness: true}, false}} {
		waiting := queue.New(queue.Config{Slots: 2, Policy: each.policy})
		filled := fillSlots(waiting, 2, call.KindVerdict)
		for number := range 10 {
			waiting.Offer(at(0), item(fmt.Sprint(number), "flood", call.KindVerdict))
		}
		waiting.Offer(at(time.Millisecond), item("quiet", "quiet", call.KindVerdict))
		var started []string
		now := at(100 * time.Millisecond)
		for _, running := range filled {
			waiting.Finish(now, running.ID, 20)
			started = append(started, startAll(waiting, now)...)
		}
		g.Expect(started).To(HaveLen(2))
		if each.first {
			g.Expect(started).To(ContainElement("quiet"))
		} else {
			g.Expect(started).NotTo(ContainElement("quiet"))
		}
	}
}

func TestIdleTimeIsNotSavedUp(t *testing.T) {
	g := NewWithT(t)
	waiting := queue.New(queue.Config{Slots: 1, Policy: queue.Policy{NoRefusal: true}})
	number := 0
	serve := func(accounts ...names.ClientAccount) names.ClientAccount {
		for _, account := range accounts {
			number++
			waiting.Offer(at(0), item(fmt.Sprint(number), account, call.KindVerdict))
		}
		next, _ := waiting.Start(at(0))
		waiting.Finish(at(0), next.ID, 20)
		return next.Account
	}
	serve("returning")
	serve("steady", "steady")
	for range 100 {
		serve("steady")
	}
	steady := 0
	for range 20 {
		if serve("steady", "returning") == "steady" {
			steady++
		}
	}
	g.Expect(steady).To(BeNumerically(">=", 8))
}

// saturated returns a queue with one slot in which each request has taken a
// second. Account heavy has one request running and one waiting.
func saturated(policy queue.Policy) (waiting *queue.Queue, now time.Time) {
	waiting = queue.New(queue.Config{Slots: 1, Policy: policy})
	now = at(0)
	for number := range 20 {
		each := item(fmt.Sprint("learn", number), "heavy", call.KindInteractive)
		waiting.Offer(now, each)
		waiting.Start(now)
		now = now.Add(time.Second)
		waiting.Finish(now, each.ID, 20)
	}
	waiting.Offer(now, item("running", "heavy", call.KindVerdict))
	waiting.Start(now)
	waiting.Offer(now, item("first", "heavy", call.KindVerdict))
	return waiting, now
}

func TestHopelessIsRefusedWhenOffered(t *testing.T) {
	g := NewWithT(t)
	waiting, now := saturated(queue.Policy{})
	refused := refusals(waiting.Offer(now, item("more", "heavy", call.KindInteractive)))
	g.Expect(refused).To(HaveKey("more"))
	estimate := refused["more"].Estimate
	g.Expect(estimate.Cause).To(Equal(queue.CauseWait))
	g.Expect(estimate.Wait).To(BeNumerically(">", estimate.Slack))
	g.Expect(refused["more"].Refusal.RetryAfter).To(BeNumerically(">=", estimate.Wait-estimate.Slack))
	waiting, now = saturated(queue.Policy{NoRefusal: true})
	g.Expect(waiting.Offer(now, item("more", "heavy", call.KindInteractive))).To(BeEmpty())
}

func TestFailuresTeachNothing(t *testing.T) {
	g := NewWithT(t)
	for _, each := range []struct{ learns bool }{{false}, {true}} {
		waiting, now := saturated(queue.Policy{})
		before := waiting.Load().FirstToken
		waiting.Finish(now.Add(time.Second), item("running", "heavy", call.KindVerdict).ID, 20)
		waiting.RefuseWaiting()
		for number := range 100 {
			failed := item(fmt.Sprint("failed", number), "heavy", call.KindVerdict)
			waiting.Offer(now, failed)
			waiting.Start(now)
			if each.learns {
				waiting.Finish(now, failed.ID, 0)
			} else {
				waiting.Abort(now, failed.ID, 0)
			}
		}
		waiting.Offer(now, item("running again", "heavy", call.KindVerdict))
		waiting.Start(now)
		waiting.Offer(now, item("second", "heavy", call.KindVerdict))
		after := waiting.Load().FirstToken
		if each.learns {
			g.Expect(after).To(BeNumerically("<", before/2))
		} else {
			g.Expect(after).To(BeNumerically(">", before/2))
		}
	}
}

func TestAccountWithLessDisplacesOneWithMore(t *testing.T) {
	g := NewWithT(t)
	waiting, now := saturated(queue.Policy{})
	refused := refusals(waiting.Offer(now, item("light", "light", call.KindInteractive)))
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused["first"].Estimate.Cause).To(Equal(queue.CauseShare))
	waiting, now = saturated(queue.Policy{NoDisplacement: true})
	refused = refusals(waiting.Offer(now, item("light", "light", call.KindInteractive)))
	g.Expect(refused).To(HaveKey("light"))
}

func TestLightAccountMayExceedTheLimit(t *testing.T) {
	g := NewWithT(t)
	for _, account := range []names.ClientAccount{"light", "held"} {
		waiting := queue.New(queue.Config{Slots: 64})
		fillSlots(waiting, 16, call.KindInteractive)
		waiting.Offer(at(0), item("next", account, call.KindInteractive))
		g.Expect(startAll(waiting, at(time.Millisecond))).To(BeEmpty(), "the limit is reached")
		started := startAll(waiting, at(300*time.Millisecond))
		g.Expect(len(started) == 1).To(Equal(account == "light"))
	}
}

func TestBatchYieldsAndKeepsSlotsFree(t *testing.T) {
	g := NewWithT(t)
	waiting := queue.New(queue.Config{Slots: 8})
	for number := range 20 {
		waiting.Offer(at(0), item(fmt.Sprint(number), "night", call.KindBatch))
	}
	g.Expect(startAll(waiting, at(0))).To(HaveLen(7), "one slot stays free")
	g.Expect(waiting.Offer(at(1), item("draft", "desk", call.KindInteractive))).To(BeEmpty())
	g.Expect(startAll(waiting, at(1))).To(Equal([]string{"draft"}))
	actions := waiting.Offer(at(2), item("second", "desk", call.KindInteractive))
	g.Expect(actions).To(HaveLen(1))
	preempt, ok := actions[0].(queue.Preempt)
	g.Expect(ok).To(BeTrue())
	waiting.Requeue(at(3), preempt.ID, 5)
	g.Expect(startAll(waiting, at(3))).To(Equal([]string{"second"}))
}

func TestPreemptedWorkIsNotSaidToBeNotRun(t *testing.T) {
	g := NewWithT(t)
	waiting := queue.New(queue.Config{Slots: 2})
	fillSlots(waiting, 1, call.KindBatch)
	waiting.Offer(at(0), item("one", "desk", call.KindInteractive))
	startAll(waiting, at(0))
	actions := waiting.Offer(at(0), item("two", "desk", call.KindInteractive))
	g.Expect(actions).To(HaveLen(1))
	waiting.Requeue(at(1), actions[0].(queue.Preempt).ID, 3)
	refused := refusals(waiting.RefuseWaiting())
	g.Expect(refused["held0"].Refusal.OutcomeOrUnknown()).To(Equal(call.Run{}))
	g.Expect(refused["two"].Refusal.OutcomeOrUnknown()).To(Equal(call.NotRun{}))
}

// batchStarted returns the number of batch requests among 400 that start while
// other requests always wait.
func batchStarted(share float64) int {
	waiting := queue.New(queue.Config{Slots: 1, BatchShare: share, Policy: queue.Policy{NoRefusal: true}})
	for number := range 100 {
		waiting.Offer(at(0), item(fmt.Sprint("batch", number), "night", call.KindBatch))
	}
	count := 0
	for number := range 400 {
		for _, id := range []string{"x", "y"} {
			waiting.Offer(at(0), item(fmt.Sprint(id, number), "desk", call.KindInteractive))
		}
		next, _ := waiting.Start(at(0))
		if next.Kind == call.KindBatch {
			count++
		}
		waiting.Finish(at(0), next.ID, 20)
	}
	return count
}

func TestBatchDoesNotStarve(t *testing.T) {
	g := NewWithT(t)
	// The share is one of expected costs, and those of batch requests are estimated
	// when they are offered.
	g.Expect(batchStarted(0.05)).To(And(BeNumerically(">=", 19), BeNumerically("<=", 30)))
	g.Expect(batchStarted(1e-9)).To(BeZero())
}

func TestFullQueueDropsTheLargestAccount(t *testing.T) {
	g := NewWithT(t)
	waiting := queue.New(queue.Config{Slots: 1, MaxItems: 10})
	fillSlots(waiting, 1, call.KindInteractive)
	for number := range 10 {
		waiting.Offer(at(0), item(fmt.Sprint(number), "night", call.KindBatch))
	}
	g.Expect(refusals(waiting.Offer(at(0), item("more", "night", call.KindBatch)))).To(HaveKey("more"))
	refused := refusals(waiting.Offer(at(0), item("other", "day", call.KindBatch)))
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused).NotTo(HaveKey("other"))
	for _, refuse := range refused {
		g.Expect(refuse.Estimate.Cause).To(Equal(queue.CauseFull))
	}
}

func TestPacingKeepsTheGapBetweenTokens(t *testing.T) {
	g := NewWithT(t)
	for _, each := range []struct {
		policy queue.Policy
		paced  bool
	}{{queue.Policy{}, true}, {queue.Policy{NoPacing: true}, false}} {
		waiting := queue.New(queue.Config{Slots: 64, Policy: each.policy})
		waiting.Offer(at(0), item("one", "desk", call.KindInteractive))
		waiting.Start(at(0))
		now := at(0)
		for token := range 200 {
			now = now.Add(80 * time.Millisecond)
			waiting.Progress(now, item("one", "desk", call.KindInteractive).ID, call.Tokens(token+1))
		}
		for number := range 8 {
			waiting.Offer(now, item(fmt.Sprint(number), "night", call.KindBatch))
		}
		started := len(startAll(waiting, now))
		if each.paced {
			g.Expect(started).To(BeZero())
		} else {
			g.Expect(started).To(Equal(8))
		}
	}
}

func TestLimitRisesWithoutGapsOwed(t *testing.T) {
	g := NewWithT(t)
	waiting := queue.New(queue.Config{Slots: 64})
	for number := range 100 {
		waiting.Offer(at(0), item(fmt.Sprint(number), "night", call.KindBatch))
	}
	started := startAll(waiting, at(0))
	g.Expect(len(started)).To(BeNumerically("<", 20), "careful before anything was measured")
	for token := range 200 {
		now := at(time.Duration(token+1) * 100 * time.Millisecond)
		for _, id := range started {
			waiting.Progress(now, queue.ID{Request: names.Request(id), Attempt: 1}, call.Tokens(token+1))
		}
		started = append(started, startAll(waiting, now)...)
	}
	g.Expect(started).To(HaveLen(56), "all slots but the reserve")
}

func TestDrainFinishesWhatWaits(t *testing.T) {
	g := NewWithT(t)
	waiting := queue.New(queue.Config{Slots: 1})
	filled := fillSlots(waiting, 1, call.KindBatch)
	waiting.Offer(at(0), item("early", "desk", call.KindVerdict))
	waiting.Drain()
	late := refusals(waiting.Offer(at(0), item("late", "desk", call.KindVerdict)))["late"]
	g.Expect(late.Refusal.Code).To(Equal(call.CodeDraining))
	waiting.Finish(at(1), filled[0].ID, 20)
	g.Expect(startAll(waiting, at(1))).To(Equal([]string{"early"}))
}

func TestIdleAccountsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	waiting := queue.New(queue.Config{Slots: 4})
	now := at(0)
	for number := range 500 {
		each := item(fmt.Sprint(number), names.ClientAccount(fmt.Sprint(number)), call.KindInteractive)
		waiting.Offer(now, each)
		waiting.Start(now)
		now = now.Add(time.Second)
		waiting.Finish(now, each.ID, 20)
	}
	for range 20 {
		now = now.Add(time.Minute)
		waiting.Tick(now)
	}
	g.Expect(waiting.Accounts()).To(BeNumerically("<=", 1))
}

// transactions offers a plain service five times its capacity. It returns the
// number of requests that finished, done, and the share of them that met their
// objective, inTime.
func transactions(policy queue.Policy) (inTime float64, done int) {
	const service = 100 * time.Millisecond
	waiting := queue.New(queue.Config{Slots: 4, Policy: policy})
	ends := map[queue.ID]time.Time{}
	arrived := map[queue.ID]time.Time{}
	good := 0
	for tick := range 4000 {
		now := at(time.Duration(tick) * 5 * time.Millisecond)
		offered := item(fmt.Sprint(tick), names.ClientAccount(fmt.Sprint(tick%3)), call.KindTransaction)
		offered.Model, offered.PromptTokens, offered.MaxTokens, offered.CacheTokens = "", 0, 0, 0
		arrived[offered.ID] = now
		waiting.Offer(now, offered)
		for id, end := range ends {
			if end.After(now) {
				continue
			}
			delete(ends, id)
			waiting.Finish(now, id, 0)
			done++
			if now.Sub(arrived[id]) <= transaction.Whole() {
				good++
			}
		}
		for next, ok := waiting.Start(now); ok; next, ok = waiting.Start(now) {
			ends[next.ID] = now.Add(service)
		}
	}
	return float64(good) / float64(done), done
}

func TestPlainServiceKeepsItsPromiseUnderOverload(t *testing.T) {
	g := NewWithT(t)
	inTime, done := transactions(queue.Policy{})
	g.Expect(inTime).To(BeNumerically(">=", 0.99))
	g.Expect(done).To(BeNumerically(">=", 750), "of 800 that fit")
	inTime, _ = transactions(queue.Policy{NoRefusal: true})
	g.Expect(inTime).To(BeNumerically("<", 0.5))
}

// decisions measures offering, starting and finishing one request while queued
// others wait.
func decisions(b *testing.B, queued, accounts int) {
	waiting := queue.New(queue.Config{Slots: 1, MaxItems: 1 << 20, MaxBytes: 1 << 40, Policy: queue.Policy{NoRefusal: true}})
	offered := make([]queue.Item, queued+1)
	for number := range offered {
		offered[number] = item(fmt.Sprint(number), names.ClientAccount(fmt.Sprint(number%accounts)), call.KindInteractive)
		offered[number].MaxTokens = call.Tokens(1 + number%97)
		waiting.Offer(at(time.Duration(number)), offered[number])
	}
	now := at(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		next, _ := waiting.Start(now)
		waiting.Finish(now, next.ID, next.MaxTokens)
		next.Arrived = time.Time{}
		waiting.Offer(now, next)
	}
	// Each iteration makes three decisions.
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/3, "ns/decision")
}

func BenchmarkDecision(b *testing.B) {
	for _, each := range []struct{ queued, accounts int }{
		{10, 5}, {1000, 5}, {10_000, 5}, {1000, 1000}, {10_000, 1000},
	} {
		b.Run(fmt.Sprintf("queued=%d/accounts=%d", each.queued, each.accounts), func(b *testing.B) {
			decisions(b, each.queued, each.accounts)
		})
	}
}

// BenchmarkProgress measures recording one token of one of 64 running requests.
func BenchmarkProgress(b *testing.B) {
	const running = 64
	waiting := queue.New(queue.Config{Slots: running, Policy: queue.Policy{NoPacing: true}})
	filled := fillSlots(waiting, running, call.KindInteractive)
	number := 0
	for b.Loop() {
		number++
		now := at(time.Duration(number) * time.Millisecond)
		waiting.Progress(now, filled[number%running].ID, call.Tokens(number))
	}
}
