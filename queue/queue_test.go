package queue_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/queue"
)

// fuzzRuns is the default number of sequences that rapid tries; the command line
// overrides it.
const fuzzRuns = "1000"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", fuzzRuns); err != nil {
		panic(err)
	}
	os.Exit(proof.Main(m))
}

var epoch = time.Unix(1_800_000_000, 0)

func at(offset time.Duration) time.Time { return epoch.Add(offset) }

var (
	interactive = call.NewObjective(call.ObjectiveConfig{
		FirstToken: 460 * time.Millisecond, BetweenTokens: 46 * time.Millisecond, Share: 0.95,
	})
	verdict     = call.NewObjective(call.ObjectiveConfig{Whole: 4 * time.Second, Share: 0.95})
	transaction = call.NewObjective(call.ObjectiveConfig{Whole: time.Second, Share: 0.99})
)

func objectiveOf(kind call.Kind) call.Objective {
	switch kind {
	case call.KindInteractive:
		return interactive
	case call.KindVerdict:
		return verdict
	case call.KindTransaction:
		return transaction
	default:
		return call.Objective{}
	}
}

func item(id string, account names.ClientAccount, kind call.Kind) queue.Item {
	return queue.Item{
		ID: queue.ID{Request: names.Request(id), Attempt: 1}, Account: account, Weight: 1, Kind: kind,
		Objective: objectiveOf(kind), Model: "notes", PromptTokens: 100, MaxTokens: 20, CacheTokens: 120, Bytes: 400,
	}
}

func refusals(actions []queue.Action) map[string]queue.Refuse {
	found := map[string]queue.Refuse{}
	for _, action := range actions {
		if refuse, ok := action.(queue.Refuse); ok {
			found[string(refuse.ID.Request)] = refuse
		}
	}
	return found
}

// startAll starts all requests that may start and returns them in order.
func startAll(waiting *queue.Queue, now time.Time) []string {
	var started []string
	for {
		next, ok := waiting.Start(now)
		if !ok {
			return started
		}
		started = append(started, string(next.ID.Request))
	}
}

func TestIdleQueueNeverRefuses(t *testing.T) {
	g := NewWithT(t)
	waiting := queue.New(queue.Config{Slots: 1})
	now := at(0)
	for round := range 200 {
		each := item(fmt.Sprint(round), "a", call.KindInteractive)
		g.Expect(waiting.Offer(now, each)).To(BeEmpty())
		g.Expect(startAll(waiting, now)).To(HaveLen(1))
		now = now.Add(30 * time.Second)
		waiting.Progress(now, each.ID, 1)
		g.Expect(waiting.Finish(now, each.ID, 20)).To(BeEmpty())
	}
}

func TestHopelessIsAnsweredAtOnce(t *testing.T) {
	g := NewWithT(t)
	waiting := queue.New(queue.Config{Slots: 1, MaxPreemptions: -1})
	waiting.Offer(at(0), item("held", "a", call.KindInteractive))
	g.Expect(startAll(waiting, at(0))).To(Equal([]string{"held"}))
	waiting.Offer(at(0), item("late", "b", call.KindInteractive))
	due, ok := waiting.Next()
	g.Expect(ok).To(BeTrue())
	g.Expect(waiting.Tick(due.Add(-1))).To(BeEmpty())
	refused := refusals(waiting.Tick(due))["late"]
	g.Expect(refused.Estimate.Cause).To(Equal(queue.CauseExpired))
	g.Expect(refused.Refusal.Code).To(Equal(call.CodeOverloaded))
	g.Expect(refused.Refusal.OutcomeOrUnknown()).To(Equal(call.NotRun{}))
	g.Expect(refused.Refusal.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(due.Sub(at(0))).To(BeNumerically("<", interactive.FirstToken()))
}
