package coord_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/names"
)

// fleetReports returns the reports of entries that each run the same number of requests,
// spread over all servers.
func fleetReports(entries, servers, each int) []coord.Report {
	reports := make([]coord.Report, entries)
	for index := range reports {
		loads := map[names.BackendServer]int{}
		for request := range each {
			loads[names.BackendServer(fmt.Sprintf("server-%04d", (index*7+request*13)%servers))]++
		}
		reports[index] = coord.Report{Instance: names.Instance(fmt.Sprintf("edge-%03d", index)), Loads: loads}
	}
	return reports
}

// TestLoadsOfOthers checks that an entry is sent the sum of the loads in the last reports
// of all other entries.
func TestLoadsOfOthers(t *testing.T) {
	g := NewWithT(t)
	coordinator := newCoordinator(t, &lease{})
	reports := fleetReports(20, 30, 40)
	for range 3 {
		for _, report := range reports {
			_, err := coordinator.Exchange(report)
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	for index, own := range reports {
		want := map[names.BackendServer]int{}
		for other, report := range reports {
			for server, running := range report.Loads {
				if other != index {
					want[server] += running
				}
			}
		}
		reply, err := coordinator.Exchange(own)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Loads).To(Equal(want))
	}
	idle := coord.Report{Instance: reports[0].Instance, Loads: map[names.BackendServer]int{}}
	_, err := coordinator.Exchange(idle)
	g.Expect(err).NotTo(HaveOccurred())
	reply, err := coordinator.Exchange(reports[1])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Loads["server-0000"]).To(BeNumerically("<", 20*40), "what has ended no longer counts")
}

// TestLargeFleetsAreToldOfLoadsLessOften checks that not every reply contains the loads
// of a fleet with thousands of servers.
func TestLargeFleetsAreToldOfLoadsLessOften(t *testing.T) {
	g := NewWithT(t)
	coordinator := newCoordinator(t, &lease{})
	replies := 0
	for range 3 {
		for _, report := range fleetReports(30, 2000, 400) {
			reply, err := coordinator.Exchange(report)
			g.Expect(err).NotTo(HaveOccurred())
			if reply.Loads != nil {
				replies++
			}
		}
	}
	g.Expect(replies).To(BeNumerically("<=", 30), "one answer each within three reports")
	g.Expect(replies).To(BeNumerically(">=", 25))
}

// BenchmarkExchange measures one report in a fleet of 400 entries and 3,000 servers.
func BenchmarkExchange(b *testing.B) {
	coordinator := newCoordinator(&testing.T{}, &lease{})
	reports := fleetReports(400, 3000, 30)
	b.ResetTimer()
	for index := range b.N {
		if _, err := coordinator.Exchange(reports[index%len(reports)]); err != nil {
			b.Fatal(err)
		}
	}
}

// TestEntriesAreCounted checks that replies contain the number of entries, which
// entries need to divide fleet-wide bounds, once all have had the time to report.
func TestEntriesAreCounted(t *testing.T) {
	g := NewWithT(t)
	coordinator := newCoordinator(t, &lease{})
	reports := fleetReports(20, 30, 4)
	count := func() int {
		entries := 0
		for _, report := range reports {
			reply, err := coordinator.Exchange(report)
			g.Expect(err).NotTo(HaveOccurred())
			entries = reply.Entries
		}
		return entries
	}
	g.Expect(count()).To(BeZero(), "others may still have to report")
	g.Eventually(count, 5*time.Second, 100*time.Millisecond).Should(Equal(20))
}
