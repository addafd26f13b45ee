package trial_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/basilkeel/basilkeel/trial"
)

// idleTime is how long an idle fleet is measured.
const idleTime = 20 * time.Second

// BenchmarkIdle measures the processor time and memory that entries and agents use
// while no request arrives, for several fleet sizes.
//
//	go test ./trial -run '^$' -bench Idle -benchtime 1x
func BenchmarkIdle(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{3, 5}, {6, 20}, {12, 50}} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", size.entries, size.agents), func(b *testing.B) {
			cluster := benchCluster(b, trial.Config{Entries: size.entries, PlainServices: size.agents})
			var entries, agents []*trial.Process
			for _, entry := range cluster.Entries() {
				entries = append(entries, entry.Process)
			}
			for _, agent := range cluster.Agents() {
				agents = append(agents, agent.Process)
			}
			before := [2]float64{processorSeconds(b, entries), processorSeconds(b, agents)}
			time.Sleep(idleTime)
			seconds := idleTime.Seconds()
			b.ReportMetric((processorSeconds(b, entries)-before[0])/seconds/float64(len(entries))*100, "entry-core-%")
			b.ReportMetric((processorSeconds(b, agents)-before[1])/seconds/float64(len(agents))*100, "agent-core-%")
			b.ReportMetric(meanResidentMB(b, entries), "entry-MB")
			b.ReportMetric(meanResidentMB(b, agents), "agent-MB")
		})
	}
}

// processorSeconds returns the total processor time of processes, in seconds.
func processorSeconds(b *testing.B, processes []*trial.Process) float64 {
	b.Helper()
	sum := 0.0
	for _, process := range processes {
		usage, err := process.Usage()
		if err != nil {
			b.Fatal(err)
		}
		sum += usage.Processor.Seconds()
	}
	return sum
}

// meanResidentMB returns the mean resident memory of processes, in megabytes.
func meanResidentMB(b *testing.B, processes []*trial.Process) float64 {
	b.Helper()
	sum := 0.0
	for _, process := range processes {
		usage, err := process.Usage()
		if err != nil {
			b.Fatal(err)
		}
		sum += float64(usage.ResidentBytes)
	}
	return sum / float64(len(processes)) / 1e6
}
