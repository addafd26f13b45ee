package crash_test

import (
	"errors"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/crash"
)

var epoch = time.Unix(1_800_000_000, 0)

func sighting(request crash.Fingerprint, server string, at time.Time) crash.Sighting {
	return crash.Sighting{Fingerprint: request, Server: server, At: at}
}

func TestThirdServerQuarantinesOverAllEntries(t *testing.T) {
	g := NewWithT(t)
	request := crash.Of("crew", "POST", "/draft/1", []byte("prompt"))
	first, second, tally := crash.NewBook(), crash.NewBook(), crash.NewTally()
	told := func() []crash.Sighting {
		sightings, _ := tally.Since(0)
		return sightings
	}
	first.Learn(sighting(request, "i-1", epoch), sighting(request, "i-2", epoch))
	second.Learn(sighting(request, "i-2", epoch))
	tally.Add(first.Sightings(epoch))
	tally.Add(second.Sightings(epoch))
	g.Expect(first.Learn(told()...)).To(BeEmpty(), "two servers, one of them seen twice")
	g.Expect(first.Quarantined(request)).To(BeFalse())
	second.Learn(sighting(request, "i-3", epoch))
	tally.Add(second.Sightings(epoch))
	g.Expect(first.Learn(told()...)).To(Equal([]crash.Fingerprint{request}))
	g.Expect(first.Quarantined(request)).To(BeTrue())
	g.Expect(first.Quarantined(crash.Of("crew", "POST", "/draft/1", []byte("other")))).To(BeFalse())
	g.Expect(first.Expire(epoch.Add(time.Hour))).To(Equal([]crash.Fingerprint{request}))
	g.Expect(first.Quarantined(request)).To(BeFalse())
	tally.Expire(epoch.Add(time.Hour))
	restarted := crash.NewBook()
	restarted.Learn(tally.Record().Sightings()...)
	g.Expect(restarted.Quarantined(request)).To(BeFalse())
}

func TestFingerprintsTellRequestsApart(t *testing.T) {
	g := NewWithT(t)
	seen := map[crash.Fingerprint]bool{}
	for _, each := range [][4]string{
		{"a", "GET", "/x", ""}, {"a", "GET", "/x", "y"}, {"a", "GET", "/xy", ""}, {"b", "GET", "/x", ""}, {"a", "POST", "/x", ""}, {"aG", "ET", "/x", ""},
	} {
		seen[crash.Of("", each[0]+each[1], each[2], []byte(each[3]))] = true
		seen[crash.Of("account", each[1], each[2], []byte(each[3]+each[0]))] = true
	}
	g.Expect(len(seen)).To(BeNumerically(">=", 10))
}

func TestBookIsBounded(t *testing.T) {
	g := NewWithT(t)
	book := crash.NewBook()
	for index := range 10_000 {
		book.Learn(sighting(crash.Fingerprint(index), "i-1", epoch))
	}
	g.Expect(len(book.Sightings(epoch))).To(BeNumerically("<=", 256))
}

func TestFullBookKeepsSuspects(t *testing.T) {
	g := NewWithT(t)
	book := crash.NewBook()
	deadly := crash.Fingerprint(1 << 40)
	for crashes := range 3 {
		book.Learn(sighting(deadly, "i-"+strconv.Itoa(crashes), epoch.Add(time.Duration(crashes)*time.Second)))
		if crashes == 0 {
			continue
		}
		for index := range 1_000 {
			book.Learn(sighting(crash.Fingerprint(crashes*1_000+index), "i-1", epoch.Add(time.Minute)))
		}
	}
	g.Expect(book.Quarantined(deadly)).To(BeTrue())
	g.Expect(len(book.Sightings(epoch))).To(BeNumerically("<=", 258))
}

func TestOthersAreToldOnlyWhatIsNew(t *testing.T) {
	g := NewWithT(t)
	book, tally := crash.NewBook(), crash.NewTally()
	for index := range 3_000 {
		book.Learn(sighting(crash.Fingerprint(index), "i-1", epoch.Add(time.Duration(index))))
	}
	all, number := book.Since(0)
	g.Expect(all).To(HaveLen(256), "all that is remembered")
	nothing, _ := book.Since(number)
	g.Expect(nothing).To(BeEmpty())
	book.Learn(sighting(1, "i-2", epoch.Add(time.Minute)), sighting(1, "i-2", epoch.Add(time.Hour)))
	fresh, _ := book.Since(number)
	g.Expect(fresh).To(ConsistOf(sighting(1, "i-2", epoch.Add(time.Minute))))
	tally.Add(all)
	tally.Add(fresh)
	_, told := tally.Since(0)
	g.Expect(told).To(BeZero(), "one server under each: no other entry needs to know")
	tally.Add([]crash.Sighting{sighting(1, "i-3", epoch)})
	suspects, _ := tally.Since(told)
	g.Expect(suspects).To(HaveLen(2), "both servers of the suspect")
}

func TestRecordOutlivesAllEntries(t *testing.T) {
	g := NewWithT(t)
	tally := crash.NewTally()
	for _, server := range []string{"i-1", "i-2", "i-3"} {
		tally.Add([]crash.Sighting{sighting(crash.Fingerprint(1<<63+7), server, epoch)})
	}
	tally.Add([]crash.Sighting{sighting(5, "i-1", epoch)})
	record := tally.Record()
	data, err := record.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	read, err := crash.DecodeRecord(data, epoch.Add(-time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	restarted := crash.NewBook()
	g.Expect(restarted.Learn(read.Sightings()...)).To(ConsistOf(crash.Fingerprint(1<<63 + 7)))
	g.Expect(read.Sightings()).To(HaveLen(3), "what one server ended under is not kept")
	g.Expect(read.Sightings()[0].At).To(BeTemporally("==", epoch.Add(-time.Second)), "another clock is ahead")
	for _, text := range []string{"", "{", `{"sightings":[{"fingerprint":"xyz"}]}`, `{"sightings":7}`} {
		_, err := crash.DecodeRecord([]byte(text), epoch)
		var recordError *crash.RecordError
		g.Expect(errors.As(err, &recordError)).To(BeTrue(), text)
	}
}
