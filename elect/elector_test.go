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

// standing is an elector with what it told.
type standing struct {
	*elect.Elector
	// mutex guards all below.
	mutex   sync.Mutex
	awake   time.Duration
	elected []store.Revision
	ended   int
	// settled is closed where nothing of the term is under way.
	settled chan struct{}
}

func (standing *standing) sleep(span time.Duration) {
	standing.mutex.Lock()
	defer standing.mutex.Unlock()
	standing.awake += span
}

func (standing *standing) ends() int {
	standing.mutex.Lock()
	defer standing.mutex.Unlock()
	return standing.ended
}

func stand(t *testing.T, memory store.Store, value string) *standing {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	result := &standing{settled: make(chan struct{})}
	began := time.Now()
	result.Elector = elect.New(elect.Config{
		Store: memory, Key: key, Value: value, TTL: ttl, Clock: clock.NewService(clock.ServiceConfig{}), Log: log,
		Awake: func() time.Duration {
			result.mutex.Lock()
			defer result.mutex.Unlock()
			return time.Since(began) + result.awake
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
		Settle: func(ctx context.Context) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-result.settled:
				return nil
			}
		},
		Leader:      func(elect.Leader) {},
		Predecessor: func(other string) bool { return other == value+" before its restart" },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	result.Run(ctx)
	return result
}

func TestOneIsElected(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	first, second := stand(t, memory, "first"), stand(t, memory, "second")
	first.Seen(elect.Leader{})
	g.Eventually(first.Term).ShouldNot(BeZero())
	second.Seen(elect.Leader{})
	g.Consistently(second.Term, ttl).Should(BeZero())
}

func TestElectionWithALostAnswerIsReadBack(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	first := stand(t, memory, "first")
	lost := false
	memory.SetHook(func(operation, _ string) {
		if operation == "swap" && !lost {
			lost = true
			memory.LoseAnswers(1)
		}
	})
	first.Seen(elect.Leader{})
	g.Eventually(first.Term).ShouldNot(BeZero())
	entries := memory.Entries()
	g.Expect(entries).To(HaveLen(1))
	g.Expect(first.Term()).To(Equal(entries[0].Revision()))
}

func TestOutageLeavesATermInDoubt(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	first := stand(t, memory, "first")
	first.Seen(elect.Leader{})
	g.Eventually(first.Term).ShouldNot(BeZero())
	term := first.Term()
	memory.SetDown(true)
	g.Eventually(first.Term, 4*ttl).Should(BeZero())
	g.Expect(first.Doubtful()).To(Equal(term))
	g.Expect(first.ends()).To(BeZero())
	memory.SetDown(false)
	g.Eventually(first.Term, 4*ttl).Should(Equal(term), "the lease was paused with the service")
}

func TestAnotherLeaderEndsADoubtfulTerm(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	first := stand(t, memory, "first")
	first.Seen(elect.Leader{})
	g.Eventually(first.Term).ShouldNot(BeZero())
	memory.SetDown(true)
	g.Eventually(first.Term, 4*ttl).Should(BeZero())
	first.Seen(elect.Leader{Term: first.Doubtful() + 10, Value: "second"})
	g.Expect(first.Doubtful()).To(BeZero())
	g.Expect(first.ends()).To(Equal(1))
}

func TestSuspensionEndsALease(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	first := stand(t, memory, "first")
	first.Seen(elect.Leader{})
	g.Eventually(first.Term).ShouldNot(BeZero())
	memory.SetDown(true)
	first.sleep(ttl)
	g.Expect(first.Term()).To(BeZero(), "the machine was suspended for longer than the lease")
}

func TestRetiredEntryStandsNoMore(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	first := stand(t, memory, "first")
	first.Seen(elect.Leader{})
	g.Eventually(first.Term).ShouldNot(BeZero())
	close(first.settled)
	first.Retire(context.Background())
	g.Expect(memory.Calls()["revoke"]).To(Equal(1), "the key goes with the lease")
	g.Expect(first.ends()).To(Equal(1))
	first.Seen(elect.Leader{})
	g.Consistently(first.Term, 2*ttl).Should(BeZero())
}

// TestLeaseIsKeptWhileAnOrderIsUnderWay plays a stop whose last order has no answer
// yet: a successor may be elected only once it has, or when the lease expires.
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
			first := stand(t, memory, "first")
			first.Seen(elect.Leader{})
			g.Eventually(first.Term).ShouldNot(BeZero())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			retired := make(chan struct{})
			go func() {
				defer close(retired)
				first.Retire(ctx)
			}()
			g.Eventually(first.ends).Should(Equal(1), "no further order is given")
			g.Consistently(func() int { return memory.Calls()["revoke"] }, ttl/4).Should(BeZero())
			if each.settles {
				close(first.settled)
			} else {
				cancel()
			}
			g.Eventually(retired).Should(BeClosed())
			g.Expect(memory.Calls()["revoke"]).To(Equal(each.revokes))
		})
	}
}

// published puts a leader's key in place, under a lease that nobody renews.
func published(g *WithT, memory store.Store, value string) elect.Leader {
	lease, err := memory.Grant(context.Background(), time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	term, err := memory.Swap(context.Background(), store.Swap{Key: key, Value: []byte(value), Lease: lease})
	g.Expect(err).NotTo(HaveOccurred())
	return elect.Leader{Term: term, Value: value}
}

func TestRestartedLeaderIsElectedBeforeItsFormerLeaseEnds(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	before := published(g, memory, "first before its restart")
	first, second := stand(t, memory, "first"), stand(t, memory, "second")
	first.Seen(before)
	second.Seen(before)
	g.Eventually(first.Term).Should(BeNumerically(">", before.Term))
	g.Expect(second.Term()).To(BeZero(), "the lease of another instance's process may still run")
}

func TestRestartedLeaderDoesNotDeposeItsSuccessor(t *testing.T) {
	g := NewWithT(t)
	memory := proof.NewStore()
	before := published(g, memory, "first before its restart")
	_, err := memory.Swap(context.Background(), store.Swap{Key: key, Expected: before.Term, Value: []byte("second")})
	g.Expect(err).NotTo(HaveOccurred())
	first := stand(t, memory, "first")
	first.Seen(before)
	g.Consistently(first.Term, ttl).Should(BeZero())
}
