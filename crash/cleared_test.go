package crash_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/crash"
)

// Guards against the quarantine of a frequent request that ran on servers which ended together:
// an answer after that clears it before the suspicions are confirmed, and neither the
// confirmations nor copies that arrive late from others restore them.
func TestAnswersClearUnconfirmedSuspicions(t *testing.T) {
	servers := []string{"i-1/1", "i-2/1", "i-3/1"}
	cases := []struct {
		name       string
		answeredAt time.Duration
		want       bool
	}{
		{name: "answered before", answeredAt: -time.Millisecond, want: true},
		{name: "answered at once", answeredAt: 100 * time.Millisecond},
		{name: "answered after the confirmation", answeredAt: confirmDelay + 100*time.Millisecond},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			request := crash.Subject{Fingerprint: 7}
			tracker, aggregator, other := crash.NewTracker(), crash.NewAggregator(), crash.NewTracker()
			for _, server := range servers {
				tracker.AddOwn(epoch, unconfirmed(request, server, 0))
			}
			confirm := func() {
				for _, server := range servers {
					tracker.AddOwn(epoch.Add(confirmDelay), suspicion(7, server, epoch))
				}
			}
			if each.answeredAt < confirmDelay {
				tracker.RecordCompletion(7, epoch.Add(each.answeredAt))
				confirm()
			} else {
				confirm()
				tracker.RecordCompletion(7, epoch.Add(each.answeredAt))
			}
			reported, _ := tracker.Since(0)
			aggregator.Add(reported)
			for _, server := range servers {
				aggregator.Add([]crash.Suspicion{unconfirmed(request, server, 0)})
			}
			aggregator.Expire(epoch.Add(time.Minute))
			shared, _ := aggregator.Since(0)
			other.Add(shared...)
			for _, tracker := range []*crash.Tracker{tracker, other} {
				tracker.Settle(epoch.Add(time.Minute))
				g.Expect(tracker.Quarantined(7)).To(Equal(each.want))
			}
			recorded := crash.NewTracker()
			recorded.Add(aggregator.Record().Suspicions()...)
			g.Expect(recorded.Quarantined(7)).To(Equal(each.want), "by the record")
		})
	}
}
