package crash_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/crash"
)

func partSuspicion(part crash.Fingerprint, server string, after time.Duration) crash.Suspicion {
	return crash.Suspicion{Fingerprint: part, Part: true, Server: server, At: epoch.Add(after)}
}

// settled is when the time has passed in which others report answers.
var settled = epoch.Add(2 * time.Minute)

// settle lets that time pass.
func settle(tracker *crash.Tracker) []crash.Subject {
	tracker.Settle(settled.Add(-time.Second))
	return tracker.Settle(settled)
}

func TestPartIsQuarantinedByCrashesWithoutAnswer(t *testing.T) {
	const part, common = crash.Fingerprint(7), crash.Fingerprint(8)
	cases := []struct {
		name string
		// crashes are the times at which another server ended before it answered a prompt
		// with the part, answers those at which one answered.
		crashes, answers []time.Duration
		want             bool
	}{
		{name: "three crashes", crashes: []time.Duration{0, time.Second, 2 * time.Second}, want: true},
		{name: "two crashes", crashes: []time.Duration{0, time.Second}},
		{name: "twenty at once", crashes: make([]time.Duration, 20)},
		{name: "many servers one after the other in a short time", crashes: []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 390 * time.Millisecond}, want: true},
		{name: "two groups of four", crashes: []time.Duration{0, 0, time.Second, time.Second}},
		{name: "two groups", crashes: []time.Duration{0, 50 * time.Millisecond, time.Second, time.Second + 100*time.Millisecond}},
		{name: "three groups", crashes: []time.Duration{0, 0, time.Second, time.Second, 2 * time.Second}, want: true},
		{name: "an answer between", crashes: []time.Duration{0, time.Second, 2 * time.Second}, answers: []time.Duration{500 * time.Millisecond}},
		{name: "an answer before", crashes: []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, answers: []time.Duration{0}, want: true},
		{name: "an answer after the last", crashes: []time.Duration{0, time.Second, 2 * time.Second}, answers: []time.Duration{3 * time.Second}},
		{name: "no answer after the last four", crashes: []time.Duration{0, 2 * time.Second, 3 * time.Second, 4 * time.Second}, answers: []time.Duration{time.Second}, want: true},
	}
	for _, each := range cases {
		for _, answersFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, answers first %t", each.name, answersFirst), func(t *testing.T) {
				g := NewWithT(t)
				tracker := crash.NewTracker()
				answer := func() {
					for _, at := range each.answers {
						tracker.RecordAnswer([]crash.Fingerprint{part, common}, epoch.Add(at))
					}
				}
				if answersFirst {
					answer()
				}
				for index, at := range each.crashes {
					tracker.Add(partSuspicion(part, strconv.Itoa(index), at))
				}
				if !answersFirst {
					answer()
				}
				g.Expect(tracker.QuarantinedParts([]crash.Fingerprint{part}, settled)).To(BeEmpty(), "others may have seen an answer")
				begun := settle(tracker)
				quarantined := tracker.QuarantinedParts([]crash.Fingerprint{common, part, part}, settled)
				if each.want {
					g.Expect(quarantined).To(Equal([]crash.Fingerprint{part}))
					g.Expect(begun).To(Equal([]crash.Subject{{Fingerprint: part, Part: true}}))
					g.Expect(tracker.QuarantinedCount(settled)).To(Equal(1))
				} else {
					g.Expect(quarantined).To(BeEmpty())
					g.Expect(begun).To(BeEmpty())
				}
				g.Expect(tracker.Quarantined(part)).To(BeFalse(), "a request with the same fingerprint is another subject")
			})
		}
	}
}

// Two entries see a part crash servers, a third one sees it answered.
func TestAnswerAnywhereClearsPartEverywhere(t *testing.T) {
	const part = crash.Fingerprint(7)
	for _, answeredBefore := range []bool{true, false} {
		g := NewWithT(t)
		aggregator := crash.NewAggregator()
		entries := []*crash.Tracker{crash.NewTracker(), crash.NewTracker(), crash.NewTracker()}
		exchange := func() {
			for range 3 {
				for _, entry := range entries {
					suspicions, _ := entry.Since(0)
					aggregator.Add(suspicions)
					shared, _ := aggregator.Since(0)
					entry.Add(shared...)
				}
			}
		}
		answer := func() { entries[2].RecordAnswer([]crash.Fingerprint{part}, epoch.Add(5*time.Second)) }
		if answeredBefore {
			answer()
		}
		for index := range 4 {
			entries[index%2].Add(partSuspicion(part, strconv.Itoa(index), time.Duration(index)*time.Second))
		}
		exchange()
		if !answeredBefore {
			for _, entry := range entries {
				settle(entry)
				g.Expect(entry.QuarantinedParts([]crash.Fingerprint{part}, settled)).To(HaveLen(1))
			}
			answer()
			exchange()
			g.Expect(entries[0].Expire(epoch)).To(ConsistOf(crash.Subject{Fingerprint: part, Part: true}))
			g.Expect(entries[0].Expire(epoch)).To(BeEmpty())
		}
		for _, entry := range entries {
			settle(entry)
			g.Expect(entry.QuarantinedParts([]crash.Fingerprint{part}, settled)).To(BeEmpty())
		}
		g.Expect(aggregator.Record().Suspicions()).To(BeEmpty())
		successor := crash.NewAggregator()
		for index := range entries {
			suspicions, _ := entries[len(entries)-1-index].Since(0)
			successor.Add(suspicions)
		}
		restarted := crash.NewTracker()
		shared, _ := successor.Since(0)
		restarted.Add(shared...)
		g.Expect(settle(restarted)).To(BeEmpty(), "a new coordinator does not bring the quarantine back")
	}
}

func TestRecordKeepsParts(t *testing.T) {
	g := NewWithT(t)
	aggregator := crash.NewAggregator()
	for index := range 3 {
		aggregator.Add([]crash.Suspicion{partSuspicion(1<<63+7, strconv.Itoa(index), time.Duration(index)*time.Second)})
	}
	data, err := aggregator.Record().Encode()
	g.Expect(err).NotTo(HaveOccurred())
	read, err := crash.DecodeRecord(data, epoch.Add(time.Minute))
	g.Expect(err).NotTo(HaveOccurred())
	restarted := crash.NewTracker()
	restarted.Add(read.Suspicions()...)
	g.Expect(settle(restarted)).To(Equal([]crash.Subject{{Fingerprint: 1<<63 + 7, Part: true}}))
}

func TestPartsAndRequestsDoNotEvictEachOther(t *testing.T) {
	g := NewWithT(t)
	tracker := crash.NewTracker()
	for index := range 2 {
		tracker.Add(suspicion(5, strconv.Itoa(index), epoch), partSuspicion(5, strconv.Itoa(index), time.Duration(index)*time.Second))
	}
	for index := range 10_000 {
		fingerprint := crash.Fingerprint(100 + index)
		tracker.Add(partSuspicion(fingerprint, "i-1", time.Minute))
		tracker.RecordAnswer([]crash.Fingerprint{fingerprint}, epoch.Add(2*time.Minute))
	}
	g.Expect(len(tracker.Suspicions(epoch))).To(BeNumerically("<=", 2*256))
	g.Expect(tracker.Add(suspicion(5, "i-3", epoch), partSuspicion(5, "i-3", time.Minute))).To(Equal([]crash.Subject{{Fingerprint: 5}}))
	g.Expect(settle(tracker)).To(Equal([]crash.Subject{{Fingerprint: 5, Part: true}}))
}

func TestQuarantinedPartIsProbedSeldom(t *testing.T) {
	g := NewWithT(t)
	const part = crash.Fingerprint(7)
	aggregator := crash.NewAggregator()
	var known []crash.Suspicion
	crashed := func(at time.Time, probe bool) {
		suspicion := crash.Suspicion{Fingerprint: part, Part: true, Server: strconv.Itoa(len(known)), At: at, Probe: probe}
		known = append(known, suspicion)
		aggregator.Add([]crash.Suspicion{suspicion})
	}
	for index := range 3 {
		crashed(epoch.Add(time.Duration(index)*time.Second), false)
	}
	start := epoch.Add(2 * time.Second)
	var probedAt []time.Duration
	for now := start; now.Before(start.Add(9 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		wait, granted := aggregator.Probe([]crash.Fingerprint{part}, now)
		if !granted {
			g.Expect(wait).To(BeNumerically(">", 0))
			continue
		}
		probedAt = append(probedAt, now.Sub(start))
		crashed(now, true)
		// The coordinator is replaced by one that knows what the entries know.
		aggregator = crash.NewAggregator()
		aggregator.Add(known)
	}
	g.Expect(probedAt).To(Equal([]time.Duration{2 * time.Second, 62 * time.Second}), "each probe crashed a server")
	_, granted := aggregator.Probe([]crash.Fingerprint{8}, start.Add(time.Minute))
	g.Expect(granted).To(BeFalse(), "a part that is not quarantined")
}

func TestPartFingerprintsShowTheirID(t *testing.T) {
	g := NewWithT(t)
	g.Expect(crash.FingerprintOfPart("5c1e07a2").String()).To(Equal("5c1e07a2"))
	g.Expect(crash.FingerprintOfPart("05c1e07a2")).To(Equal(crash.FingerprintOfPart("5c1e07a2")))
	g.Expect(crash.FingerprintOfPart("bad!")).NotTo(Equal(crash.FingerprintOfPart("worse!")))
}
