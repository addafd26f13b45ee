package coord

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/sched"
	"github.com/basilkeel/basilkeel/wire"
)

// TestPlaceMessagesKeepFigures guards against a request or a decision that means something
// else at the other end.
func TestPlaceMessagesKeepFigures(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	request := sched.Request{
		Instance: "edge-1", Domain: "a", Account: "notes", Model: "m", Adapter: "style", PromptTokens: 700, OutputTokens: 300, Tokens: 1000.5,
		Elapsed: 30 * time.Millisecond, Left: 20 * time.Second, Objective: 400 * time.Millisecond, Priority: 2,
		Excluded: []names.BackendServer{"e1"}, Failing: []names.BackendServer{"e2"}, Closed: []names.BackendServer{"e4"}, Parts: []sched.Part{{ID: math.MaxUint64, Tokens: 500}},
		Slowdowns: []pool.EngineUse{{Server: "e3", Incarnation: 7, Slowdowns: []pool.Slowdown{{At: now.Add(-time.Second), Factor: 2.5}}}},
	}
	service, decoded := decodePlaceRequest(encodePlaceRequest("notes", request, now), now)
	g.Expect(service).To(Equal(names.Service("notes")))
	g.Expect(decoded).To(Equal(request))
	decisions := []sched.Decision{
		sched.Placed{Server: "e1", Incarnation: 7, Wait: 20 * time.Millisecond, AdapterMissing: true, Load: 0.5, First: 60 * time.Millisecond, UnreadTokens: 700, Idle: true},
		sched.Later{Wait: 25 * time.Millisecond},
		sched.Refused{RetryAfter: 700 * time.Millisecond, Load: 1},
		sched.NoCopy{Ready: 4 * time.Second},
		sched.NoServer{},
		sched.Unscheduled{},
	}
	for _, decision := range decisions {
		g.Expect(decodePlaceReply(encodeDecision(decision))).To(Equal(decision))
	}
	_, err := decodePlaceReply(&wire.CoordPlaceReply{Outcome: "unheard"})
	g.Expect(err).To(BeAssignableToTypeOf(&OutcomeError{}))
}

// TestTimesOfPlaceMessagesAreBounded guards against times that overflow: one of the distant
// past would be one of the future, and a long wait none at all.
func TestTimesOfPlaceMessagesAreBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, milliseconds := range []int64{math.MinInt64, -1, 0, 1000, math.MaxInt64 / 1_000_000, math.MaxInt64/1_000_000 + 1, 9_300_000_000_000, math.MaxInt64} {
		t.Run(fmt.Sprint(milliseconds), func(t *testing.T) {
			g := NewWithT(t)
			_, request := decodePlaceRequest(&wire.CoordPlaceRequest{
				ElapsedMilliseconds: milliseconds, ObjectiveMilliseconds: milliseconds, LeftMilliseconds: milliseconds,
				Slowdowns: []*wire.CoordEngineUse{{Server: "e", Slowdowns: []*wire.CoordSlowdown{{Factor: 2, AgeMilliseconds: milliseconds}}}},
			}, now)
			expected := time.Duration(0)
			if milliseconds > 0 {
				expected = min(time.Duration(min(milliseconds, 1_000_000_000))*time.Millisecond, time.Hour)
			}
			g.Expect([]time.Duration{request.Elapsed, request.Objective, request.Left}).To(HaveEach(expected))
			g.Expect(request.Slowdowns[0].Slowdowns[0].At).To(Equal(now.Add(-expected)))
			for _, outcome := range []string{outcomePlaced, outcomeLater, outcomeRefused} {
				decision, err := decodePlaceReply(&wire.CoordPlaceReply{Outcome: outcome, WaitMilliseconds: milliseconds, FirstMilliseconds: milliseconds})
				g.Expect(err).NotTo(HaveOccurred())
				var times []time.Duration
				switch decision := decision.(type) {
				case sched.Placed:
					times = []time.Duration{decision.Wait, decision.First}
				case sched.Later:
					times = []time.Duration{decision.Wait}
				case sched.Refused:
					times = []time.Duration{decision.RetryAfter}
				}
				g.Expect(times).To(And(Not(BeEmpty()), HaveEach(expected)))
			}
		})
	}
}

// TestMeasurementsOfAReportAreBounded guards against a report that keeps the coordinator
// busy with more measurements of an engine than an entry makes.
func TestMeasurementsOfAReportAreBounded(t *testing.T) {
	g := NewWithT(t)
	message := &wire.CoordEngineUse{
		Server: "e", Readings: slices.Repeat([]*wire.CoordReading{{Tokens: 1, Milliseconds: 1}}, 10_000),
		Slowdowns: slices.Repeat([]*wire.CoordSlowdown{{Factor: 2}}, 10_000),
	}
	use := decodeUses([]*wire.CoordEngineUse{message}, time.Now())[0]
	g.Expect(len(use.Readings)).To(BeNumerically("<=", 100))
	g.Expect(len(use.Slowdowns)).To(BeNumerically("<=", 100))
}
