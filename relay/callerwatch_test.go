package relay

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/reply"
)

// deadlineRecorder records the write deadlines of a response.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

// SetWriteDeadline is called by [net/http.ResponseController].
func (recorder *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	recorder.deadlines = append(recorder.deadlines, deadline)
	return nil
}

// TestCallerThatReadsAgainIsNotEnded guards against a caller that is chosen as the slowest, reads
// before it is ended, and is ended nevertheless during the next write.
func TestCallerThatReadsAgainIsNotEnded(t *testing.T) {
	g := NewWithT(t)
	logger, _ := test.NewNullLogger()
	relay := New(Config{Clock: clock.NewService(clock.ServiceConfig{}), Metrics: metrics.NewRegistry(), Memory: memory.NewBudget(1 << 20), Log: logger})
	recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	exchange := &exchange{relay: relay, writer: reply.NewWriter(recorder, httptest.NewRequest("GET", "/", nil))}
	watch := &exchange.newCallerWriter(nil).callerWatch
	stall := func() {
		watch.mutex.Lock()
		watch.began = watch.began.Add(-slowCallerTime)
		watch.mutex.Unlock()
		watch.stall()
	}
	watch.begin()
	stall()
	slowest := relay.stalls.takeSlowest(exchange.now().Add(slowCallerTime))
	g.Expect(slowest).To(BeIdenticalTo(watch))
	watch.finish()
	watch.begin()
	slowest.end()
	g.Expect(recorder.deadlines).To(BeEmpty())
	stall()
	slowest.end()
	g.Expect(recorder.deadlines).To(Equal([]time.Time{interruptedAt}), "it is ended while it waits")
	watch.finish()
}
