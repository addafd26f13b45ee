package spread_test

import (
	"fmt"
	"os"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/proof"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

func TestSpread(t *testing.T) {
	RegisterFailHandler(Fail)
	proof.Suite(t, "spread")
}

func (fleet *fleet) countInForce(version config.Version) int {
	count := 0
	for _, member := range fleet.members {
		if member.node.InForce() >= version {
			count++
		}
	}
	return count
}

func (fleet *fleet) countFresh() int {
	count := 0
	for _, member := range fleet.members {
		if member.node.Fresh(fleet.localTime(member)) {
			count++
		}
	}
	return count
}

// allCut and noneCut are values of fleet.storeCut.
func allCut(names.Instance) bool  { return true }
func noneCut(names.Instance) bool { return false }

var _ = Describe("a fleet", func() {
	It("puts a change in force everywhere and counts the instances", func() {
		fleet := newFleet(5, 20, 1)
		fleet.run(5 * time.Second)
		Expect(fleet.accept("d1-003")).To(BeTrue())
		fleet.run(3 * time.Second)
		Expect(fleet.countInForce(1)).To(Equal(100))
		Expect(fleet.countFresh()).To(Equal(100))
		counted := 0
		for _, relay := range fleet.members["d0-000"].node.Relays() {
			for _, count := range fleet.members[relay.Instance].node.VersionCounts() {
				Expect(count.Version).To(BeEquivalentTo(1))
				counted += count.Count
			}
		}
		Expect(counted).To(Equal(100))
	})

	It("makes the same number of calls to the platform's service for any fleet size", func() {
		calls := func(size int) int {
			fleet := newFleet(5, size, 1)
			fleet.run(60 * time.Second)
			return fleet.reads
		}
		Expect(calls(60)).To(Equal(calls(4)))
	})

	It("stays fresh while no instance reaches the platform's service, and updates restarted instances", func() {
		fleet := newFleet(5, 80, 1)
		fleet.run(5 * time.Second)
		fleet.accept("d0-000")
		fleet.run(5 * time.Second)
		fleet.storeCut = allCut
		for range 60 {
			fleet.run(500 * time.Millisecond)
			Expect(fleet.countFresh()).To(Equal(400), "at %v", fleet.now)
		}
		fleet.restart("d2-004")
		fleet.restart("d0-001")
		fleet.run(10 * time.Second)
		Expect(fleet.countInForce(1)).To(Equal(400))
		Expect(fleet.countFresh()).To(Equal(400))
		fleet.storeCut = noneCut
		fleet.accept("d3-001")
		fleet.run(5 * time.Second)
		Expect(fleet.countInForce(2)).To(Equal(400))
	})

	It("stops admitting in a failure domain that is cut off, and only there", func() {
		cut := func(instance names.Instance) bool { return instance[:2] == "d4" }
		fleet := newFleet(5, 10, 1)
		fleet.run(5 * time.Second)
		fleet.storeCut = cut
		fleet.linkCut = func(from, to names.Instance) bool { return cut(from) != cut(to) }
		fleet.run(time.Second)
		fleet.accept("d0-000")
		fleet.run(5 * time.Second)
		for instance, member := range fleet.members {
			Expect(member.node.Fresh(fleet.localTime(member))).To(Equal(!cut(instance)), string(instance))
		}
		fleet.linkCut = func(_, _ names.Instance) bool { return false }
		fleet.run(10 * time.Second)
		Expect(fleet.countInForce(1)).To(Equal(50))
		Expect(fleet.countFresh()).To(Equal(50))
	})

	It("recovers from the loss of all relays of a failure domain", func() {
		fleet := newFleet(5, 80, 1)
		fleet.run(5 * time.Second)
		for _, relay := range fleet.members["d0-000"].node.Relays() {
			if relay.Domain == "d0" {
				delete(fleet.members, relay.Instance)
			}
		}
		for range 20 {
			fleet.run(500 * time.Millisecond)
			Expect(fleet.countFresh()).To(Equal(398), "at %v", fleet.now)
		}
		fleet.accept("d1-000")
		fleet.run(2 * time.Second)
		Expect(fleet.countInForce(1)).To(Equal(398))
	})

	It("routes around one-way link failures", func() {
		fleet := newFleet(3, 20, 1)
		fleet.run(5 * time.Second)
		relays := fleet.members["d0-000"].node.Relays()
		muted := relays[0].Instance
		fleet.linkCut = func(from, _ names.Instance) bool { return from == muted }
		fleet.run(5 * time.Second)
		fleet.accept("d1-000")
		fleet.run(10 * time.Second)
		Expect(fleet.countInForce(1)).To(Equal(60))
	})
})

// BenchmarkFleet measures, in virtual time, the delay until a stored change is in
// force, and per second the bytes that an instance sends and the calls to the
// platform's service, up to the target fleet size.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{22, 55, 110, 220} {
		b.Run(fmt.Sprint("instances=", 5*size), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size)
			}
		})
	}
}

// BenchmarkOutage measures the bytes that instances send while none can reach the
// platform's service.
func BenchmarkOutage(b *testing.B) {
	for b.Loop() {
		fleet := newFleet(5, 220, 7)
		fleet.run(5 * time.Second)
		fleet.accept("d0-000")
		fleet.run(5 * time.Second)
		fleet.storeCut = allCut
		fleet.run(10 * time.Second)
		startedAt := fleet.now
		for _, member := range fleet.members {
			member.sentBytes = 0
		}
		stale := 0
		for range 120 {
			fleet.run(500 * time.Millisecond)
			stale = max(stale, len(fleet.members)-fleet.countFresh())
		}
		total, most := 0, 0
		for _, member := range fleet.members {
			total += member.sentBytes
			most = max(most, member.sentBytes)
		}
		seconds := (fleet.now - startedAt).Seconds()
		b.ReportMetric(float64(total)/float64(len(fleet.members))/seconds, "meanB/s")
		b.ReportMetric(float64(most)/seconds, "maxB/s")
		b.ReportMetric(float64(stale), "stale")
	}
}

// BenchmarkRecovery measures the delay until a change is in force everywhere if
// both relays of a failure domain fail as it is accepted.
func BenchmarkRecovery(b *testing.B) {
	for b.Loop() {
		fleet := newFleet(5, 220, 7)
		fleet.run(10 * time.Second)
		for _, relay := range fleet.members["d0-000"].node.Relays() {
			if relay.Domain == "d0" {
				delete(fleet.members, relay.Instance)
			}
		}
		fleet.accept("d1-000")
		stale, accepted := 0, fleet.now
		for fleet.countInForce(1) < len(fleet.members) {
			fleet.run(50 * time.Millisecond)
			stale = max(stale, len(fleet.members)-fleet.countFresh())
		}
		b.ReportMetric(float64((fleet.now - accepted).Milliseconds()), "ms")
		b.ReportMetric(float64(stale), "stale")
	}
}

func measureFleet(b *testing.B, size int) {
	const changes, period = 12, 20 * time.Second
	fleet := newFleet(5, size, 7)
	fleet.run(10 * time.Second)
	startedAt, reads := fleet.now, fleet.reads
	for _, member := range fleet.members {
		member.sentBytes = 0
	}
	steps := 0
	var latencies []time.Duration
	inForce := map[names.Instance]config.Version{}
	fleet.observe = func(member *member) {
		steps++
		version := member.node.InForce()
		if version > inForce[member.peer.Instance] {
			inForce[member.peer.Instance] = version
			latencies = append(latencies, fleet.now-fleet.storedAt[version])
		}
	}
	wallStart := time.Now()
	for change := range changes {
		fleet.accept(fleet.peers[change*31%len(fleet.peers)].Instance)
		fleet.run(period)
	}
	stepTime := time.Since(wallStart)
	seconds := (fleet.now - startedAt).Seconds()
	sent := make([]int, 0, len(fleet.members))
	total := 0
	for _, member := range fleet.members {
		sent = append(sent, member.sentBytes)
		total += member.sentBytes
	}
	sort.Ints(sent)
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	b.ReportMetric(float64(len(latencies))/float64(changes*len(sent)), "reached")
	b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "p50ms")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Milliseconds()), "p99ms")
	b.ReportMetric(float64(latencies[len(latencies)-1].Milliseconds()), "maxms")
	b.ReportMetric(float64(total)/float64(len(sent))/seconds, "meanB/s")
	b.ReportMetric(float64(sent[len(sent)-1])/seconds, "maxB/s")
	b.ReportMetric(float64(fleet.reads-reads)/seconds, "reads/s")
	b.ReportMetric(float64(steps)/float64(len(sent))/seconds, "steps/s")
	b.ReportMetric(float64(stepTime.Microseconds())/float64(steps), "us/step")
}
