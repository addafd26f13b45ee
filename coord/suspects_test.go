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

func ended(servers ...string) []crash.Sighting {
	var sightings []crash.Sighting
	for _, server := range servers {
		sightings = append(sightings, crash.Sighting{Fingerprint: deadly, Server: server, At: time.Now()})
	}
	return sightings
}

// exchange reports what a book holds and has it learn the reply, as an entry does that
// has just met the coordinator.
func exchange(g *WithT, coordinator *coord.Coordinator, instance names.Instance, book *crash.Book) {
	sightings, _ := book.Since(0)
	reply, err := coordinator.Exchange(coord.Report{Instance: instance, Suspicions: sightings})
	g.Expect(err).NotTo(HaveOccurred())
	book.Learn(reply.Suspicions...)
}

// TestQuarantineOutlivesItsCoordinator loses the coordinator together with the entry
// that saw most of the crashes.
func TestQuarantineOutlivesItsCoordinator(t *testing.T) {
	g := NewWithT(t)
	witness, other, started := crash.NewBook(), crash.NewBook(), crash.NewBook()
	witness.Learn(ended("i-1", "i-2")...)
	other.Learn(ended("i-3")...)
	coordinator := newDesk(t, &lease{})
	for range 2 {
		exchange(g, coordinator, "edge-1", witness)
		exchange(g, coordinator, "edge-2", other)
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
	coordinator := newDeskWith(t, &lease{}, records)
	book := crash.NewBook()
	book.Learn(ended("i-1")...)
	exchange(g, coordinator, "edge-1", book)
	book.Learn(ended("i-2", "i-3")...)
	exchange(g, coordinator, "edge-1", book)
	g.Eventually(records.all, 5*time.Second).Should(HaveLen(1))
	started := crash.NewBook()
	started.Learn(records.all()[0].Sightings()...)
	g.Expect(started.Quarantined(deadly)).To(BeTrue())
	g.Consistently(records.all, time.Second).Should(HaveLen(1), "nothing new, no call")
}

// TestEntriesAreToldSuspectsOnce counts the sightings in replies.
func TestEntriesAreToldSuspectsOnce(t *testing.T) {
	g := NewWithT(t)
	coordinator := newDesk(t, &lease{})
	first, err := coordinator.Exchange(coord.Report{Instance: "edge-1", Suspicions: ended("i-1", "i-2")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Suspicions).To(HaveLen(2))
	known := coord.Version{Term: first.Term}
	again, err := coordinator.Exchange(coord.Report{Instance: "edge-1", Holdings: known, SuspicionsVersion: first.SuspicionsVersion, Suspicions: ended("i-2", "i-3")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Suspicions).To(HaveLen(1))
	former, err := coordinator.Exchange(coord.Report{Instance: "edge-1", Holdings: coord.Version{Term: term - 1}, SuspicionsVersion: again.SuspicionsVersion})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(former.Suspicions).To(HaveLen(3), "the number is another coordinator's")
}
