package coord_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
)

const crashing = crash.Fingerprint(7)

func suspicionsOf(servers ...string) []crash.Suspicion {
	var suspicions []crash.Suspicion
	for _, server := range servers {
		suspicions = append(suspicions, crash.Suspicion{Fingerprint: crashing, Server: server, At: time.Now()})
	}
	return suspicions
}

// exchange reports all suspicions of tracker and adds those in the reply to it, as an
// entry does in its first exchange with a coordinator.
func exchange(g *WithT, coordinator *coord.Coordinator, instance names.Instance, tracker *crash.Tracker) {
	suspicions, _ := tracker.Since(0)
	reply, err := coordinator.Exchange(coord.Report{Instance: instance, Suspicions: suspicions})
	g.Expect(err).NotTo(HaveOccurred())
	tracker.Add(reply.Suspicions...)
}

// TestQuarantineOutlivesItsCoordinator checks that a quarantine survives the loss of the
// coordinator together with the entry that saw most of the crashes.
func TestQuarantineOutlivesItsCoordinator(t *testing.T) {
	g := NewWithT(t)
	witness, other, restarted := crash.NewTracker(), crash.NewTracker(), crash.NewTracker()
	witness.Add(suspicionsOf("i-1", "i-2")...)
	other.Add(suspicionsOf("i-3")...)
	coordinator := newCoordinator(t, &lease{})
	for range 2 {
		exchange(g, coordinator, "edge-1", witness)
		exchange(g, coordinator, "edge-2", other)
	}
	g.Expect(other.Quarantined(crashing)).To(BeTrue())
	successor := newCoordinator(t, &lease{})
	exchange(g, successor, "edge-3", restarted)
	g.Expect(restarted.Quarantined(crashing)).To(BeFalse(), "nobody has told it")
	exchange(g, successor, "edge-2", other)
	g.Expect(other.Quarantined(crashing)).To(BeTrue(), "also before others have reported")
	exchange(g, successor, "edge-3", restarted)
	g.Expect(restarted.Quarantined(crashing)).To(BeTrue())
}

// TestQuarantineOutlivesAllEntries checks that the coordinator stores its suspicions,
// although the first attempt fails, and that a new entry derives the quarantine from
// the record.
func TestQuarantineOutlivesAllEntries(t *testing.T) {
	g := NewWithT(t)
	records := &crashStore{}
	coordinator := newCoordinatorWith(t, &lease{}, records)
	tracker := crash.NewTracker()
	tracker.Add(suspicionsOf("i-1")...)
	exchange(g, coordinator, "edge-1", tracker)
	tracker.Add(suspicionsOf("i-2", "i-3")...)
	exchange(g, coordinator, "edge-1", tracker)
	g.Eventually(records.all, 5*time.Second).Should(HaveLen(1))
	restarted := crash.NewTracker()
	restarted.Add(records.all()[0].Suspicions()...)
	g.Expect(restarted.Quarantined(crashing)).To(BeTrue())
	g.Consistently(records.all, time.Second).Should(HaveLen(1), "nothing new, no call")
}

// TestEntriesAreToldSuspectsOnce checks that a reply contains only the suspicions that
// the entry does not have from the same coordinator.
func TestEntriesAreToldSuspectsOnce(t *testing.T) {
	g := NewWithT(t)
	coordinator := newCoordinator(t, &lease{})
	first, err := coordinator.Exchange(coord.Report{Instance: "edge-1", Suspicions: suspicionsOf("i-1", "i-2")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Suspicions).To(HaveLen(2))
	known := coord.Version{Term: first.Term}
	again, err := coordinator.Exchange(coord.Report{Instance: "edge-1", Holdings: known, SuspicionsVersion: first.SuspicionsVersion, Suspicions: suspicionsOf("i-2", "i-3")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Suspicions).To(HaveLen(1))
	former, err := coordinator.Exchange(coord.Report{Instance: "edge-1", Holdings: coord.Version{Term: term - 1}, SuspicionsVersion: again.SuspicionsVersion})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(former.Suspicions).To(HaveLen(3), "the number is another coordinator's")
}
