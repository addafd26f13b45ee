package coord_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
)

const deadly = crash.Fingerprint(7)

func ended(servers ...string) []crash.Suspicion {
	var sightings []crash.Suspicion
	for _, server := range servers {
		sightings = append(sightings, crash.Suspicion{Fingerprint: deadly, Server: server, At: time.Now()})
	}
	return sightings
}

// exchange reports what a book holds and has it learn the reply, as an entry does that
// has just met the coordinator.
func exchange(g *WithT, desk *coord.Desk, instance names.Instance, tracker *crash.Tracker) {
	sightings, _ := tracker.Since(0)
	reply, err := desk.Exchange(coord.Report{Instance: instance, Sightings: sightings})
	g.Expect(err).NotTo(HaveOccurred())
	tracker.Add(reply.Suspects...)
}

// TestQuarantineOutlivesItsCoordinator loses the coordinator together with the entry
// that saw most of the crashes.
func TestQuarantineOutlivesItsCoordinator(t *testing.T) {
	g := NewWithT(t)
	witness, other, started := crash.NewTracker(), crash.NewTracker(), crash.NewTracker()
	witness.Add(ended("i-1", "i-2")...)
	other.Add(ended("i-3")...)
	desk := newDesk(t, &lease{})
	for range 2 {
		exchange(g, desk, "edge-1", witness)
		exchange(g, desk, "edge-2", other)
	}
	g.Expect(other.Quarantined(deadly)).To(BeTrue())
	successor := newDesk(t, &lease{})
	exchange(g, successor, "edge-3", started)
	g.Expect(started.Quarantined(deadly)).To(BeFalse(), "nobody has told it")
	exchange(g, successor, "edge-2", other)
	g.Expect(other.Quarantined(deadly)).To(BeTrue(), "also before others have reported")
	exchange(g, successor, "edge-3", started)
	g.Expect(started.Quarantined(deadly)).To(BeTrue())
}

// TestQuarantineOutlivesAllEntries reads what the coordinator wrote down, although
// its first write failed.
func TestQuarantineOutlivesAllEntries(t *testing.T) {
	g := NewWithT(t)
	records := &crashRecords{}
	desk := newDeskWith(t, &lease{}, records)
	tracker := crash.NewTracker()
	tracker.Add(ended("i-1")...)
	exchange(g, desk, "edge-1", tracker)
	tracker.Add(ended("i-2", "i-3")...)
	exchange(g, desk, "edge-1", tracker)
	g.Eventually(records.all, 5*time.Second).Should(HaveLen(1))
	started := crash.NewTracker()
	started.Add(records.all()[0].Suspicions()...)
	g.Expect(started.Quarantined(deadly)).To(BeTrue())
	g.Consistently(records.all, time.Second).Should(HaveLen(1), "nothing new, no call")
}

// TestEntriesAreToldSuspectsOnce counts the sightings in replies.
func TestEntriesAreToldSuspectsOnce(t *testing.T) {
	g := NewWithT(t)
	desk := newDesk(t, &lease{})
	first, err := desk.Exchange(coord.Report{Instance: "edge-1", Sightings: ended("i-1", "i-2")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Suspects).To(HaveLen(2))
	known := coord.Version{Term: first.Term}
	again, err := desk.Exchange(coord.Report{Instance: "edge-1", Holdings: known, Suspects: first.SuspectsNumber, Sightings: ended("i-2", "i-3")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Suspects).To(HaveLen(1))
	former, err := desk.Exchange(coord.Report{Instance: "edge-1", Holdings: coord.Version{Term: term - 1}, Suspects: again.SuspectsNumber})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(former.Suspects).To(HaveLen(3), "the number is another coordinator's")
}
