package crash_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/crash"
)

// probeFixture is a coordinator that knows of crashes at times after epoch.
type probeFixture struct {
	aggregator *crash.Aggregator
	servers    int
}

func newProbeFixture() *probeFixture { return &probeFixture{aggregator: crash.NewAggregator()} }

// crash reports that a server ended before it answered a prompt with the given parts.
func (fixture *probeFixture) crash(after time.Duration, parts ...crash.Fingerprint) {
	fixture.end(after, false, parts)
}

// probe does the same for a prompt that was a probe.
func (fixture *probeFixture) probe(after time.Duration, parts ...crash.Fingerprint) {
	fixture.end(after, true, parts)
}

func (fixture *probeFixture) end(after time.Duration, probe bool, parts []crash.Fingerprint) {
	fixture.servers++
	server := crash.ServerName("engine-1", int64(fixture.servers))
	for _, part := range parts {
		suspicion := partSuspicion(part, server, after)
		suspicion.Probe = probe
		fixture.aggregator.Add([]crash.Suspicion{suspicion})
	}
	fixture.settle(after)
}

// answer reports an answer to a prompt with the given parts.
func (fixture *probeFixture) answer(after time.Duration, parts ...crash.Fingerprint) {
	for _, part := range parts {
		fixture.aggregator.Add([]crash.Suspicion{{Fingerprint: part, Part: true, Cleared: true, At: epoch.Add(after)}})
	}
}

// settle lets the time pass after which a crash counts.
func (fixture *probeFixture) settle(after time.Duration) {
	fixture.aggregator.Expire(epoch.Add(after))
	fixture.aggregator.Expire(epoch.Add(after + time.Second))
}

// Guards against a part that stays quarantined for a minute because requests that crashed
// servers seldom, and were sent before the quarantine, were taken for failed probes (review/7).
func TestCrashesOfRequestsThatAreNoProbesDelayNoProbe(t *testing.T) {
	const common = crash.Fingerprint(7)
	for _, interval := range []time.Duration{2200 * time.Millisecond, 4 * time.Second, time.Minute} {
		for _, crashes := range []int{4, 5, 8} {
			g := NewWithT(t)
			fixture := newProbeFixture()
			last := time.Duration(0)
			for index := range crashes {
				last = time.Duration(index) * interval
				fixture.crash(last, common)
			}
			wait, granted := fixture.aggregator.Probe([]crash.Fingerprint{common}, epoch.Add(last+2*time.Second))
			g.Expect(granted).To(BeTrue(), "%d crashes, one each %v: wait %v", crashes, interval, wait)
		}
	}
}

// Guards against prompts of several shared parts that are refused for as long as suspicions
// last, since no prompt has only one of them (review/8), and against probes that go on crashing
// servers instead.
func TestPromptsWithFewerSuspectedPartsAreProbedFirst(t *testing.T) {
	const one, two, bad = crash.Fingerprint(7), crash.Fingerprint(8), crash.Fingerprint(9)
	sound, deadly := []crash.Fingerprint{one, two}, []crash.Fingerprint{two, bad, one}
	fixture := newProbeFixture()
	fixture.crash(0, deadly...)
	fixture.crash(time.Second, deadly...)
	fixture.crash(2*time.Second, deadly...)
	steps := []struct {
		after  time.Duration
		parts  []crash.Fingerprint
		wait   time.Duration
		change func()
	}{
		{after: 3 * time.Second, parts: sound, wait: time.Second},
		{after: 4 * time.Second, parts: deadly, wait: 8 * time.Second},
		{after: 12 * time.Second, parts: deadly, change: func() { fixture.probe(12500*time.Millisecond, deadly...) }},
		{after: 14500 * time.Millisecond, parts: sound, wait: 2500 * time.Millisecond},
		{after: 17 * time.Second, parts: deadly, wait: 295500 * time.Millisecond},
		{after: 17 * time.Second, parts: sound, change: func() { fixture.answer(18*time.Second, sound...) }},
		{after: 20 * time.Second, parts: sound, wait: 500 * time.Millisecond},
		{after: 20 * time.Second, parts: []crash.Fingerprint{bad}, wait: 52500 * time.Millisecond},
	}
	for _, step := range steps {
		g := NewWithT(t)
		wait, granted := fixture.aggregator.Probe(step.parts, epoch.Add(step.after))
		g.Expect(wait).To(Equal(step.wait), "%v at %v", step.parts, step.after)
		g.Expect(granted).To(Equal(step.wait == 0), "%v at %v", step.parts, step.after)
		if step.change != nil {
			step.change()
		}
	}
}
