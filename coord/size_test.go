package coord_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/names"
)

// reports are those of a fleet whose entries have requests at servers, alike many.
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

// TestLoadsOfOthers tells each entry what all others run: their last reports count
// once, its own do not.
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

// TestLargeFleetsAreToldOfLoadsLessOften counts the loads in the answers of a fleet
// with thousands of servers.
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

// BenchmarkExchange is one report of a fleet of 400 entries and 3,000 servers.
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

// TestEntriesAreCounted tells entries how many share what is bounded over all.
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
