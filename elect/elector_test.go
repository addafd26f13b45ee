package elect_test

import (
	"context"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/elect"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/store"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

const (
	key = "own/coordinator"
	ttl = 400 * time.Millisecond
)

// candidate is an elector that records its callbacks.
type candidate struct {
	*elect.Elector
	// mutex guards all below.
	mutex     sync.Mutex
	suspended time.Duration
	elected   []store.Revision
	ended     int
	// drained is closed when all operations of the term are complete.
	drained chan struct{}
}

func (candidate *candidate) suspend(span time.Duration) {
	candidate.mutex.Lock()
	defer candidate.mutex.Unlock()
	candidate.suspended += span
}

func (candidate *candidate) endCount() int {
	candidate.mutex.Lock()
	defer candidate.mutex.Unlock()
	return candidate.ended
}

func newCandidate(t *testing.T, memory store.Store, value string) *candidate {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	result := &candidate{drained: make(chan struct{})}
	began := time.Now()
	result.Elector = elect.New(elect.Config{
		Store: memory, Key: key, Value: value, TTL: ttl, Clock: clock.NewService(clock.ServiceConfig{}), Log: log,
		BootTime: func() time.Duration {
			result.mutex.Lock()
			defer result.mutex.Unlock()
			return time.Since(began) + result.suspended
		},
		Elected: func(term store.Revision) {
			result.mutex.Lock()
			defer result.mutex.Unlock()
			result.elected = append(result.elected, term)
		},
		Ended: func() {
			result.mutex.Lock()
			defer result.mutex.Unlock()
			result.ended++
		},
		Drain: func(ctx context.Context) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-result.drained:
				return nil
			}
		},
		LeaderChanged: func(elect.Leader) {},
		IsPredecessor: func(other string) bool { return other == value+" before its restart" },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	result.Run(ctx)
	return result
}

func TestOneIsElected(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	first, second := newCandidate(t, memory, "first"), newCandidate(t, memory, "second")
	first.ObserveLeader(elect.Leader{})
	g.Eventually(first.Term).ShouldNot(BeZero())
	second.ObserveLeader(elect.Leader{})
	g.Consistently(second.Term, ttl).Should(BeZero())
}

func TestElectionWithALostAnswerIsReadBack(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	first := newCandidate(t, memory, "first")
	lost := false
	memory.SetHook(func(operation, _ string) {
		if operation == "swap" && !lost {
			lost = true
			memory.LoseAnswers(1)
		}
	})
	first.ObserveLeader(elect.Leader{})
	g.Eventually(first.Term).ShouldNot(BeZero())
	entries := memory.Entries()
	g.Expect(entries).To(HaveLen(1))
	g.Expect(first.Term()).To(Equal(entries[0].Revision()))
}

func TestOutageLeavesATermInDoubt(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	first := newCandidate(t, memory, "first")
	first.ObserveLeader(elect.Leader{})
	g.Eventually(first.Term).ShouldNot(BeZero())
	term := first.Term()
	memory.SetDown(true)
	g.Eventually(first.Term, 4*ttl).Should(BeZero())
	g.Expect(first.UnconfirmedTerm()).To(Equal(term))
	g.Expect(first.endCount()).To(BeZero())
	memory.SetDown(false)
	g.Eventually(first.Term, 4*ttl).Should(Equal(term), "the lease was paused with the service")
}

func TestAnotherLeaderEndsADoubtfulTerm(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	first := newCandidate(t, memory, "first")
	first.ObserveLeader(elect.Leader{})
	g.Eventually(first.Term).ShouldNot(BeZero())
	memory.SetDown(true)
	g.Eventually(first.Term, 4*ttl).Should(BeZero())
	first.ObserveLeader(elect.Leader{Term: first.UnconfirmedTerm() + 10, Value: "second"})
	g.Expect(first.UnconfirmedTerm()).To(BeZero())
	g.Expect(first.endCount()).To(Equal(1))
}

func TestSuspensionEndsALease(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	first := newCandidate(t, memory, "first")
	first.ObserveLeader(elect.Leader{})
	g.Eventually(first.Term).ShouldNot(BeZero())
	memory.SetDown(true)
	first.suspend(ttl)
	g.Expect(first.Term()).To(BeZero(), "the machine was suspended for longer than the lease")
}

func TestRetiredEntryStandsNoMore(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	first := newCandidate(t, memory, "first")
	first.ObserveLeader(elect.Leader{})
	g.Eventually(first.Term).ShouldNot(BeZero())
	close(first.drained)
	first.Resign(context.Background())
	g.Expect(memory.Calls()["revoke"]).To(Equal(1), "the key is deleted with the lease")
	g.Expect(first.endCount()).To(Equal(1))
	first.ObserveLeader(elect.Leader{})
	g.Consistently(first.Term, 2*ttl).Should(BeZero())
}

// TestLeaseIsKeptWhileAnOrderIsUnderWay guards against a successor that is elected
// while the last order of a stopping coordinator has no answer yet. It may be
// elected only after the answer, or when the lease expires.
func TestLeaseIsKeptWhileAnOrderIsUnderWay(t *testing.T) {
	cases := []struct {
		name    string
		settles bool
		revokes int
	}{
		{name: "the answer comes", settles: true, revokes: 1},
		{name: "no answer comes", settles: false, revokes: 0},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			memory := proof.NewStore()
			first := newCandidate(t, memory, "first")
			first.ObserveLeader(elect.Leader{})
			g.Eventually(first.Term).ShouldNot(BeZero())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			retired := make(chan struct{})
			go func() {
				defer close(retired)
				first.Resign(ctx)
			}()
			g.Eventually(first.endCount).Should(Equal(1), "no further order is sent")
			g.Consistently(func() int { return memory.Calls()["revoke"] }, ttl/4).Should(BeZero())
			if each.settles {
				close(first.drained)
			} else {
				cancel()
			}
			g.Eventually(retired).Should(BeClosed())
			g.Expect(memory.Calls()["revoke"]).To(Equal(each.revokes))
		})
	}
}

// publishLeader writes a leader's key with a lease that is not renewed.
func publishLeader(g *WithT, memory store.Store, value string) elect.Leader {
	lease, err := memory.Grant(context.Background(), time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	term, err := memory.Swap(context.Background(), store.Swap{Key: key, Value: []byte(value), Lease: lease})
	g.Expect(err).NotTo(HaveOccurred())
	return elect.Leader{Term: term, Value: value}
}

func TestRestartedLeaderIsElectedBeforeItsFormerLeaseEnds(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	before := publishLeader(g, memory, "first before its restart")
	first, second := newCandidate(t, memory, "first"), newCandidate(t, memory, "second")
	first.ObserveLeader(before)
	second.ObserveLeader(before)
	g.Eventually(first.Term).Should(BeNumerically(">", before.Term))
	g.Expect(second.Term()).To(BeZero(), "the lease of another instance's process may still run")
}

func TestRestartedLeaderDoesNotDeposeItsSuccessor(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	before := publishLeader(g, memory, "first before its restart")
	_, err := memory.Swap(context.Background(), store.Swap{Key: key, Expected: before.Term, Value: []byte("second")})
	g.Expect(err).NotTo(HaveOccurred())
	first := newCandidate(t, memory, "first")
	first.ObserveLeader(before)
	g.Consistently(first.Term, ttl).Should(BeZero())
}

// lateStore answers no swap and executes each only when the next one arrives.
type lateStore struct {
	*proof.Store
	// mutex guards late.
	mutex sync.Mutex
	late  *store.Swap
}

// Swap implements [store.Store].
func (lateStore *lateStore) Swap(ctx context.Context, swap store.Swap) (store.Revision, error) {
	lateStore.mutex.Lock()
	defer lateStore.mutex.Unlock()
	if lateStore.late != nil {
		_, _ = lateStore.Store.Swap(ctx, *lateStore.late)
	}
	lateStore.late = &swap
	return 0, &store.UnknownError{Operation: "swap", Cause: io.ErrUnexpectedEOF}
}

// TestKeyOfAnEarlierCampaignIsNoTermOfThisOne guards against a term whose lease is renewed
// while the key ends with that of an earlier campaign, which nobody renews.
func TestKeyOfAnEarlierCampaignIsNoTermOfThisOne(t *testing.T) {
	g := NewWithT(t)
	memory := &lateStore{Store: proof.NewStore()}
	first := newCandidate(t, memory, "first")
	first.ObserveLeader(elect.Leader{})
	g.Eventually(memory.Entries).Should(HaveLen(1))
	g.Consistently(first.Term, ttl).Should(BeZero())
}
