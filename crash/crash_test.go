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

func suspicion(request crash.Fingerprint, server string, at time.Time) crash.Suspicion {
	return crash.Suspicion{Fingerprint: request, Server: server, At: at}
}

func TestThirdServerQuarantinesOverAllEntries(t *testing.T) {
	g := NewWithT(t)
	request := crash.FingerprintOf("crew", "POST", "/draft/1", []byte("prompt"))
	first, second, aggregator := crash.NewTracker(), crash.NewTracker(), crash.NewAggregator()
	shared := func() []crash.Suspicion {
		suspicions, _ := aggregator.Since(0)
		return suspicions
	}
	first.Add(suspicion(request, "i-1", epoch), suspicion(request, "i-2", epoch))
	second.Add(suspicion(request, "i-2", epoch))
	aggregator.Add(first.Suspicions(epoch))
	aggregator.Add(second.Suspicions(epoch))
	g.Expect(first.Add(shared()...)).To(BeEmpty(), "two servers, one of them seen twice")
	g.Expect(first.Quarantined(request)).To(BeFalse())
	second.Add(suspicion(request, "i-3", epoch))
	aggregator.Add(second.Suspicions(epoch))
	g.Expect(first.Add(shared()...)).To(Equal([]crash.Subject{{Fingerprint: request}}))
	g.Expect(first.Quarantined(request)).To(BeTrue())
	g.Expect(first.Quarantined(crash.FingerprintOf("crew", "POST", "/draft/1", []byte("other")))).To(BeFalse())
	g.Expect(first.Expire(epoch.Add(time.Hour))).To(Equal([]crash.Subject{{Fingerprint: request}}))
	g.Expect(first.Quarantined(request)).To(BeFalse())
	aggregator.Expire(epoch.Add(time.Hour))
	restarted := crash.NewTracker()
	restarted.Add(aggregator.Record().Suspicions()...)
	g.Expect(restarted.Quarantined(request)).To(BeFalse())
}

func TestFingerprintsTellRequestsApart(t *testing.T) {
	g := NewWithT(t)
	seen := map[crash.Fingerprint]bool{}
	for _, each := range [][4]string{
		{"a", "GET", "/x", ""}, {"a", "GET", "/x", "y"}, {"a", "GET", "/xy", ""}, {"b", "GET", "/x", ""}, {"a", "POST", "/x", ""}, {"aG", "ET", "/x", ""},
	} {
		seen[crash.FingerprintOf("", each[0]+each[1], each[2], []byte(each[3]))] = true
		seen[crash.FingerprintOf("account", each[1], each[2], []byte(each[3]+each[0]))] = true
	}
	g.Expect(len(seen)).To(BeNumerically(">=", 10))
}

func TestTrackerIsBounded(t *testing.T) {
	g := NewWithT(t)
	tracker := crash.NewTracker()
	for index := range 10_000 {
		tracker.Add(suspicion(crash.Fingerprint(index), "i-1", epoch))
	}
	g.Expect(len(tracker.Suspicions(epoch))).To(BeNumerically("<=", 256))
}

func TestFullTrackerKeepsSuspects(t *testing.T) {
	g := NewWithT(t)
	tracker := crash.NewTracker()
	deadly := crash.Fingerprint(1 << 40)
	for crashes := range 3 {
		tracker.Add(suspicion(deadly, "i-"+strconv.Itoa(crashes), epoch.Add(time.Duration(crashes)*time.Second)))
		if crashes == 0 {
			continue
		}
		for index := range 1_000 {
			tracker.Add(suspicion(crash.Fingerprint(crashes*1_000+index), "i-1", epoch.Add(time.Minute)))
		}
	}
	g.Expect(tracker.Quarantined(deadly)).To(BeTrue())
	g.Expect(len(tracker.Suspicions(epoch))).To(BeNumerically("<=", 258))
}

func TestOthersAreToldOnlyWhatIsNew(t *testing.T) {
	g := NewWithT(t)
	tracker, aggregator := crash.NewTracker(), crash.NewAggregator()
	for index := range 3_000 {
		tracker.Add(suspicion(crash.Fingerprint(index), "i-1", epoch.Add(time.Duration(index))))
	}
	all, number := tracker.Since(0)
	g.Expect(all).To(HaveLen(256), "all that are stored")
	nothing, _ := tracker.Since(number)
	g.Expect(nothing).To(BeEmpty())
	tracker.Add(suspicion(1, "i-2", epoch.Add(time.Minute)), suspicion(1, "i-2", epoch.Add(time.Hour)))
	fresh, _ := tracker.Since(number)
	g.Expect(fresh).To(ConsistOf(suspicion(1, "i-2", epoch.Add(time.Minute))))
	aggregator.Add(all)
	aggregator.Add(fresh)
	_, sharedNumber := aggregator.Since(0)
	g.Expect(sharedNumber).To(BeZero(), "no request crashed two servers, so other entries need none")
	aggregator.Add([]crash.Suspicion{suspicion(1, "i-3", epoch)})
	suspects, _ := aggregator.Since(sharedNumber)
	g.Expect(suspects).To(HaveLen(2), "both servers that ended while they ran the request")
}

func TestRecordOutlivesAllEntries(t *testing.T) {
	g := NewWithT(t)
	aggregator := crash.NewAggregator()
	for _, server := range []string{"i-1", "i-2", "i-3"} {
		aggregator.Add([]crash.Suspicion{suspicion(crash.Fingerprint(1<<63+7), server, epoch)})
	}
	aggregator.Add([]crash.Suspicion{suspicion(5, "i-1", epoch)})
	record := aggregator.Record()
	data, err := record.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	read, err := crash.DecodeRecord(data, epoch.Add(-time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	restarted := crash.NewTracker()
	g.Expect(restarted.Add(read.Suspicions()...)).To(ConsistOf(crash.Subject{Fingerprint: 1<<63 + 7}))
	g.Expect(read.Suspicions()).To(HaveLen(3), "requests that crashed only one server are not recorded")
	g.Expect(read.Suspicions()[0].At).To(BeTemporally("==", epoch.Add(-time.Second)), "times from a clock that is ahead count as now")
	for _, text := range []string{"", "{", `{"sightings":[{"fingerprint":"xyz"}]}`, `{"sightings":7}`} {
		_, err := crash.DecodeRecord([]byte(text), epoch)
		var recordError *crash.RecordError
		g.Expect(errors.As(err, &recordError)).To(BeTrue(), text)
	}
}
