package share_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/share"
)

// TestReplacedFleetServesAgain guards against a new coordinator that counts the shares
// of instances that are gone as in use anew: all instances are replaced one after the
// other, then all processes are killed and restarted, and a new coordinator is elected
// after the lease of the former one. The bound counts from when all are back.
func TestReplacedFleetServesAgain(t *testing.T) {
	const (
		recoverSteps = 240
		downSteps    = 14
		countedSteps = 60
		cost         = 20.0
	)
	cases := []struct {
		name string
		// replaceSteps is the time between two replacements.
		replaceSteps int
		// elections is the number of coordinators that are lost after the kill, each
		// after half of the time in which the shares end.
		elections int
	}{
		{name: "slowly", replaceSteps: 42},
		{name: "fast", replaceSteps: 10},
		{name: "all at once", replaceSteps: 0},
		{name: "with further coordinators", replaceSteps: 42, elections: 2},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			fleet := settled()
			for index, entry := range fleet.entries {
				entry.limiter, entry.name = share.NewLimiter(), names.Instance(fmt.Sprintf("replacement-%d", index))
				fleet.play(each.replaceSteps, cost)
			}
			fleet.terms[0].dead, fleet.terms[0].exclusive = true, false
			fleet.play(downSteps, 0)
			for _, entry := range fleet.entries {
				entry.limiter = share.NewLimiter()
				entry.limiter.Restore(fleet.record[entry.name], fleet.limits, fleet.now)
			}
			backAt := fleet.step
			for range each.elections {
				fleet.play(leaseSteps, cost)
				fleet.elect(nil)
				fleet.play(80, cost)
				last := fleet.terms[len(fleet.terms)-1]
				last.dead, last.exclusive = true, false
			}
			fleet.play(leaseSteps, cost)
			fleet.elect(nil)
			fleet.play(backAt+recoverSteps-fleet.step, cost)
			g.Expect(fleet.play(countedSteps, cost)).To(BeNumerically(">=", 0.25), "of the requests")
			g.Expect(fleet.excess(8 * time.Second)).To(BeNumerically("<=", 900))
		})
	}
}

// play plays a number of steps, in which the entries have requests of the given cost for
// nine tenths of the rate together, and returns the part of them that is served.
func (fleet *fleet) play(steps int, cost float64) float64 {
	sent, served, due := 0.0, 0.0, 0.0
	for range steps {
		fleet.advance()
		for index, entry := range fleet.entries {
			if (fleet.step+index)%exchangeSteps == 0 {
				fleet.exchange(entry)
			}
		}
		for due += 900 * fleetStep.Seconds(); cost > 0 && due >= cost; due -= cost {
			before := fleet.used[fleet.step]
			fleet.admit(fleet.entries[int(sent)%len(fleet.entries)], cost)
			sent++
			if fleet.used[fleet.step] > before {
				served++
			}
		}
		if fleet.step%10 == 0 {
			fleet.divide()
		}
	}
	return served / max(sent, 1)
}

// TestEndingSharesAreNotRevived guards against a share that is in force longer than a
// later coordinator counts it: that of an entry which reports again after the record has
// marked its share as ending, or of a process which restarts then.
func TestEndingSharesAreNotRevived(t *testing.T) {
	g := NewWithT(t)
	fleet := settled()
	lost := fleet.entries[0]
	lost.down = true
	fleet.play(60, 0)
	holder := fleet.record[lost.name]
	g.Expect(holder.Ending).To(BeTrue())
	g.Expect(holder.Left).To(BeNumerically("~", share.Lifetime-2*time.Second, time.Second))

	restarted := share.NewLimiter()
	restarted.Restore(holder, fleet.limits, fleet.now)
	_, taken := restarted.Take(account(fleet.limits), 10, fleet.now)
	g.Expect(taken).To(BeFalse())

	assignment := fleet.terms[0].divider.Report(lost.name, lost.limiter.State(fleet.now), fleet.now)
	g.Expect(assignment.Shares).To(BeEmpty(), "before a record without the mark is stored")
	lost.down = false
	fleet.play(40, 20)
	g.Expect(fleet.record[lost.name].Ending).To(BeFalse())
	g.Expect(lost.limiter.State(fleet.now).Shares[notes]).To(BeNumerically(">", 0.1))
}

// TestEntryWithoutShareAdmitsNothing guards against requests that a share of zero admits:
// one for each restart of an entry or answer of a coordinator.
func TestEntryWithoutShareAdmitsNothing(t *testing.T) {
	g := NewWithT(t)
	limiter := share.NewLimiter()
	limiter.Restore(share.Holder{}, limits(), epoch)
	_, taken := limiter.Take(account(limits()), 300, epoch)
	g.Expect(taken).To(BeFalse())
}
