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
	fixture.servers++
	server := crash.ServerName("engine-1", int64(fixture.servers))
	for _, part := range parts {
		fixture.aggregator.Add([]crash.Suspicion{partSuspicion(part, server, after)})
	}
	fixture.settle(after)
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
			wait, granted := fixture.aggregator.Probe(common, epoch.Add(last+2*time.Second))
			g.Expect(granted).To(BeTrue(), "%d crashes, one each %v: wait %v", crashes, interval, wait)
		}
	}
}
