package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/sched"
)

// TestSlowCallersDoNotSlowEngines guards against callers that read slowly and thereby make an
// engine count as a slow one.
func TestSlowCallersDoNotSlowEngines(t *testing.T) {
	const step = 35 * time.Millisecond
	cases := []struct {
		name string
		// write is the time that the caller takes for each event.
		write  time.Duration
		events int
	}{
		{name: "a caller that reads at once", events: 9},
		{name: "a caller that reads in time", write: 20 * time.Millisecond, events: 9},
		{name: "a slow caller", write: time.Second},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			servers := pool.New(pool.Config{RegistryPeriod: time.Second})
			exchange := &exchange{relay: &Relay{config: Config{Pool: servers, Metrics: metrics.NewRegistry()}}, scheduled: &sched.Placed{}}
			now := time.Unix(1_800_000_000, 0)
			meter := &eventMeter{exchange: exchange, server: &pool.Server{ID: "e1", Incarnation: 1}, sentAt: now}
			for count := range 10 {
				now = now.Add(max(step, each.write))
				meter.record(count+1, now)
				meter.wrote(each.write)
			}
			measured, milliseconds := 0, 0.0
			for _, use := range servers.TakeUses() {
				measured, milliseconds = measured+use.Events, milliseconds+use.EventMilliseconds
			}
			g.Expect(measured).To(Equal(each.events))
			g.Expect(milliseconds).To(Equal(float64(each.events) * 35))
		})
	}
}
