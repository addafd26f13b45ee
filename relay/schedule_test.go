package relay_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/sched"
)

var errNoAnswer = errors.New("no answer")

// scriptedCoordinator gives the same answer to all calls to schedule a request.
type scriptedCoordinator struct {
	*fakeCoordinator
	answer func(request sched.Request) (sched.Decision, error)
	calls  int
}

// Place implements [relay.Coordinator].
func (coordinator *scriptedCoordinator) Place(_ context.Context, _ names.Service, request sched.Request) (sched.Decision, error) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.calls++
	return coordinator.answer(request)
}

func (coordinator *scriptedCoordinator) callCount() int {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	return coordinator.calls
}

// decision answers with a decision.
func decision(decision sched.Decision) func(sched.Request) (sched.Decision, error) {
	return func(sched.Request) (sched.Decision, error) { return decision, nil }
}

// newScheduledFixture returns a fixture whose streams are scheduled by answer.
func newScheduledFixture(t *testing.T, answer func(sched.Request) (sched.Decision, error)) (*fixture, *scriptedCoordinator) {
	t.Helper()
	urgent, slow := route("draft", policy.KindStream, "notes"), route("slow", policy.KindStream, "notes")
	urgent.GapObjective, slow.GapObjective, slow.Objective = time.Second, time.Second, 10*urgent.Objective
	urgent.Timeout = time.Minute
	fixture := newFixture(t, urgent, slow)
	coordinator := &scriptedCoordinator{fakeCoordinator: fixture.coordinator, answer: answer}
	fixture.relay.SetCoordinator(coordinator)
	return fixture, coordinator
}

// TestSchedulingDecisions guards against requests that are lost, wait or call for ever when the
// coordinator does not schedule them, or schedules them where they cannot run.
func TestSchedulingDecisions(t *testing.T) {
	cases := []struct {
		name        string
		answer      func(sched.Request) (sched.Decision, error)
		unreachable bool
		// served reports whether an engine runs the request, reason is that of its refusal.
		served bool
		reason relay.Reason
		// most is the largest number of calls, unscheduled why the entry chose the engine.
		most        int
		unscheduled string
	}{
		{name: "placed", answer: decision(sched.Placed{Server: "notes-1"}), served: true, most: 1},
		{name: "coordinator unreachable", answer: decision(sched.NoServer{}), unreachable: true, served: true, most: 0, unscheduled: "unreachable"},
		{name: "no answer", answer: func(sched.Request) (sched.Decision, error) { return nil, errNoAnswer }, served: true, most: 1, unscheduled: "unanswered"},
		{name: "coordinator overloaded", answer: decision(sched.Unscheduled{}), served: true, most: 1, unscheduled: "overloaded"},
		{name: "unknown engine", answer: decision(sched.Placed{Server: "gone"}), served: true, most: 4, unscheduled: "unusable"},
		{name: "former incarnation", answer: decision(sched.Placed{Server: "notes-1", Incarnation: 7}), served: true, most: 4, unscheduled: "unusable"},
		{name: "later without a wait, again and again", answer: decision(sched.Later{}), served: true, most: 64, unscheduled: "undecided"},
		{name: "later than the deadline", answer: decision(sched.Later{Wait: time.Hour}), reason: relay.ReasonTimeUp, most: 1},
		{name: "placed later than the deadline", answer: decision(sched.Placed{Server: "notes-1", Wait: time.Hour}), reason: relay.ReasonTimeUp, most: 1},
		{name: "refused", answer: decision(sched.Refused{RetryAfter: 700 * time.Millisecond}), reason: relay.ReasonServersFull, most: 1},
		{name: "no copy before the caller gives up", answer: decision(sched.NoCopy{Ready: 9 * time.Second}), reason: relay.ReasonModelNotLoaded, most: 1},
		{name: "no server", answer: decision(sched.NoServer{}), reason: relay.ReasonNoServer, most: 1},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			fixture, coordinator := newScheduledFixture(t, each.answer)
			coordinator.unreachable = each.unreachable
			seen := fixture.server("notes-1", "notes", ok)
			result := fixture.call(http.MethodPost, "/draft/1", "", map[string]string{"Model": "notes"})
			g.Expect(coordinator.callCount()).To(BeNumerically("<=", each.most))
			if !each.served {
				g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
				g.Expect(result.body).To(ContainSubstring(string(each.reason)))
				g.Expect(result.header.Get("Retry-After")).NotTo(BeEmpty())
				g.Expect(seen.count()).To(BeZero())
				return
			}
			g.Expect(result.status).To(Equal(http.StatusOK))
			g.Expect(seen.count()).To(Equal(1))
			g.Expect(fixture.unscheduledReason()).To(Equal(each.unscheduled))
		})
	}
}

// TestUnknownLoadsAreWaitedFor guards against requests that are refused, and told not to
// return, since their caller may have given up, although it is unknown when their model is
// loaded: coordinators of the version before do not state it.
func TestUnknownLoadsAreWaitedFor(t *testing.T) {
	g := NewWithT(t)
	urgent, slow := route("draft", policy.KindStream, "notes"), route("slow", policy.KindStream, "notes")
	urgent.GapObjective, slow.GapObjective, slow.Objective = 100*time.Millisecond, 100*time.Millisecond, 10*urgent.Objective
	urgent.Timeout = time.Minute
	fixture := newFixture(t, urgent, slow)
	coordinator := &scriptedCoordinator{fakeCoordinator: fixture.coordinator, answer: func(request sched.Request) (sched.Decision, error) {
		if request.Elapsed < urgent.StreamPatience()+300*time.Millisecond {
			return sched.NoCopy{}, nil
		}
		return sched.Placed{Server: "notes-1"}, nil
	}}
	fixture.relay.SetCoordinator(coordinator)
	fixture.server("notes-1", "notes", ok)
	g.Expect(fixture.call(http.MethodPost, "/draft/1", "", map[string]string{"Model": "notes"}).status).To(Equal(http.StatusOK))
}

// unscheduledReason returns why the entry chose the server of the logged request itself.
func (fixture *fixture) unscheduledReason() string {
	found := ""
	for _, entry := range fixture.logs.AllEntries() {
		if reason, logged := entry.Data["unscheduled"].(string); logged {
			found = reason
		}
	}
	return found
}

// TestEnginesWithoutPermitsDoNotLoop guards against a request that asks a coordinator again
// and again that does not know which engines the entry has no permits for.
func TestEnginesWithoutPermitsDoNotLoop(t *testing.T) {
	g := NewWithT(t)
	fixture, coordinator := newScheduledFixture(t, decision(sched.Placed{Server: "notes-1"}))
	seen := fixture.server("notes-1", "notes", ok)
	fixture.pool.Gate().Close(permit.Server{ID: "notes-1"}, time.Minute, time.Now())
	fixture.pool.Gate().Observe(permit.Server{ID: "notes-1"}, permit.Limited{PerSecond: 1}, time.Now(), time.Now())
	fixture.pool.Gate().Close(permit.Server{ID: "notes-1"}, time.Minute, time.Now())
	result := fixture.call(http.MethodPost, "/draft/1", "", map[string]string{"Model": "notes"})
	g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(result.body).To(ContainSubstring(string(relay.ReasonRateLimited)))
	g.Expect(seen.count()).To(BeZero())
	g.Expect(coordinator.callCount()).To(BeNumerically("<=", 4))
}

// TestSchedulingRequests guards against a coordinator that is not told of what the entry
// knows: the engines that the request cannot run on, and the time it has left.
func TestSchedulingRequests(t *testing.T) {
	g := NewWithT(t)
	var asked []sched.Request
	fixture, _ := newScheduledFixture(t, func(request sched.Request) (sched.Decision, error) {
		asked = append(asked, request)
		return sched.Placed{Server: "gone"}, nil
	})
	fixture.server("notes-1", "notes", ok)
	fixture.pool.Put(&pool.Server{ID: "notes-2", Service: "notes", Address: "127.0.0.1:1", Domain: "a", Slots: 4, Models: []names.Model{"notes"}})
	fixture.pool.Reject("notes-2", time.Now())
	fixture.call(http.MethodPost, "/draft/1", "", map[string]string{"Model": "notes"})
	g.Expect(asked).To(HaveLen(4))
	g.Expect(asked[0].Excluded).To(ConsistOf(names.BackendServer("notes-2")))
	g.Expect(asked[1].Excluded).To(ConsistOf(names.BackendServer("notes-2"), names.BackendServer("gone")))
	for _, each := range asked {
		g.Expect(each.Model).To(Equal(names.Model("notes")))
		g.Expect(each.Objective).To(Equal(100 * time.Millisecond))
		g.Expect(each.Elapsed + each.Left).To(Equal(time.Minute))
		g.Expect(each.PromptTokens).To(BeNumerically(">", 0))
	}
}
