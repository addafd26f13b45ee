package elect_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/elect"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/store"
)

// published returns the leader that the store's entries tell.
func published(entries []store.Entry) elect.Leader {
	for _, entry := range entries {
		if entry.Key() == key {
			return elect.Leader{Term: entry.Revision(), Value: string(entry.Value())}
		}
	}
	return elect.Leader{}
}

// Numbers of revisions are given out again, but no later term is below a former one.
func TestTermsGrowAcrossRestoredStore(t *testing.T) {
	cases := []struct {
		name string
		// copied returns the copy, out of those from before and after the first election
		// and after the second one.
		copied func(before, first, second []store.Entry) []store.Entry
		// prompt reports whether the last leader leads again without waiting for a lease to
		// expire.
		prompt bool
	}{
		{name: "before any election", copied: func(before, _, _ []store.Entry) []store.Entry { return before }, prompt: true},
		{name: "while another process led", copied: func(_, first, _ []store.Entry) []store.Entry { return first }},
		{name: "while the same process led", copied: func(_, _, second []store.Entry) []store.Entry { return second }, prompt: true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			memory := proof.NewStore()
			for range 20 {
				if _, err := memory.Swap(t.Context(), store.Swap{Key: "other", Expected: published(nil).Term}); err == nil {
					g.Expect(memory.Delete(t.Context(), "other", memory.Entries()[0].Revision())).To(Succeed())
				}
			}
			before := memory.Entries()
			first, second := newCandidate(t, memory, "first"), newCandidate(t, memory, "second")
			first.ObserveLeader(elect.Leader{})
			g.Eventually(first.Term).ShouldNot(BeZero())
			firstTerm, afterFirst := first.Term(), memory.Entries()
			g.Expect(memory.Delete(t.Context(), key, firstTerm)).To(Succeed())
			first.ObserveLeader(elect.Leader{})
			second.ObserveLeader(elect.Leader{})
			first.Resign(t.Context())
			g.Eventually(second.Term).ShouldNot(BeZero())
			secondTerm := second.Term()
			memory.Restore(each.copied(before, afterFirst, memory.Entries()))
			g.Eventually(second.Term, ttl).Should(BeZero(), "its lease is gone, also before it learns who leads")
			leader := published(memory.Entries())
			second.ObserveLeader(leader)
			if !each.prompt {
				g.Consistently(second.Term, ttl).Should(BeZero())
				g.Expect(memory.Delete(t.Context(), key, leader.Term)).To(Succeed())
				second.ObserveLeader(elect.Leader{})
			}
			g.Eventually(second.Term, time.Second).Should(BeNumerically(">", secondTerm))
			g.Expect(second.Term().Era()).To(Equal(store.Era(1)))
			g.Expect(second.endCount()).To(Equal(1))
		})
	}
}
