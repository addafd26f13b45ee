package relay_test

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/sched"
)

// TestWhereIsWhatHappens guards against explanations of another outcome than that of the
// request which follows, for services whose requests are not scheduled.
func TestWhereIsWhatHappens(t *testing.T) {
	cases := []struct {
		name     string
		question relay.Question
		before   func(*fixture)
		want     relay.Verdict
	}{
		{name: "sent", question: relay.Question{Model: "notes"}, want: relay.VerdictSend{Server: "notes-b", Domain: "b"}},
		{
			name: "evacuated", question: relay.Question{Model: "notes"}, want: relay.VerdictRefuse{Status: 503, Reason: relay.ReasonNoServer, RetryAfter: 1500 * time.Millisecond},
			before: func(fixture *fixture) { fixture.pool.SetEvacuated([]names.FailureDomain{"b"}, time.Now()) },
		},
		{name: "no route", question: relay.Question{Path: "/none"}, want: relay.VerdictRefuse{Status: 404, Reason: relay.ReasonNoRoute}},
		{name: "no home", question: relay.Question{Path: "/far/1", Model: "notes"}, want: relay.VerdictRefuse{Status: 503, Reason: relay.ReasonNoHome, RetryAfter: time.Second}},
		{
			name: "full", question: relay.Question{Model: "notes"}, want: relay.VerdictRefuse{Status: 503, Reason: relay.ReasonServersFull, RetryAfter: 500 * time.Millisecond, LeastLoad: 1.25},
			before: func(fixture *fixture) {
				for range 5 {
					fixture.pool.StartRequest("notes-b", 0, time.Now())
				}
			},
		},
		{
			name: "an account at an open route", question: relay.Question{Path: "/open/1", Model: "notes", Account: "nobody"},
			want: relay.VerdictSend{Server: "notes-b", Domain: "b"},
		},
		{
			name: "stopping", question: relay.Question{Model: "notes"}, want: relay.VerdictRefuse{Status: 503, Reason: relay.ReasonStopping, RetryAfter: 50 * time.Millisecond},
			before: func(fixture *fixture) { fixture.relay.RejectRequests() },
		},
		{
			name: "a model that another region holds", question: relay.Question{Model: "other"},
			want: relay.VerdictRefuse{Status: 503, Reason: relay.ReasonModelNotLoaded, RetryAfter: 1500 * time.Millisecond},
			before: func(fixture *fixture) {
				for _, server := range fixture.pool.Servers(time.Now()) {
					if server.ID == "notes-a" {
						holder := *server
						holder.Models = []names.Model{"other"}
						fixture.pool.Put(&holder)
					}
				}
			},
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			home, far := route("draft", policy.KindStream, "notes"), route("far", policy.KindStream, "notes")
			open := route("open", policy.KindStream, "notes")
			home.Homes, far.Homes, open.Homes, open.Open = []names.Region{"south"}, []names.Region{"nowhere"}, []names.Region{"south"}, true
			fixture, _ := newHomesFixture(t, ok, home, far, open)
			if each.before != nil {
				each.before(fixture)
			}
			question := each.question
			question.Host, question.Account = "desk.example", cmp.Or(question.Account, "crew")
			if question.Path == "" {
				question.Path = "/draft/1?x=1"
			}
			requests, logged := fixture.pool.OwnRequests(), len(fixture.logs.AllEntries())
			located := fixture.relay.Where(context.Background(), question)
			g.Expect(fixture.relay.Where(context.Background(), question)).To(Equal(located))
			g.Expect(located.Verdict).To(Equal(each.want))
			g.Expect(fixture.pool.OwnRequests()).To(Equal(requests))
			g.Expect(fixture.logs.AllEntries()).To(HaveLen(logged))
			g.Expect(fixture.coordinator.waitedFor).To(BeEmpty())
			result := fixture.call(http.MethodPost, question.Path, "", map[string]string{"Model": string(question.Model)})
			switch want := each.want.(type) {
			case relay.VerdictSend:
				g.Expect(result.header.Get("Stamp")).To(Equal(string(want.Server)))
			case relay.VerdictRefuse:
				g.Expect(result.status).To(Equal(want.Status))
				g.Expect(result.body).To(ContainSubstring(`"` + string(want.Reason) + `"`))
			default:
			}
		})
	}
}

// explainingCoordinator explains one decision.
type explainingCoordinator struct {
	*fakeCoordinator
	decision sched.Decision
	err      error
	asked    []sched.Request
}

// Explain implements [relay.Coordinator].
func (coordinator *explainingCoordinator) Explain(_ context.Context, _ names.Service, request sched.Request) (sched.Explanation, error) {
	coordinator.asked = append(coordinator.asked, request)
	return sched.Explanation{Decision: coordinator.decision, Candidates: []sched.Candidate{{Server: "notes-a", Excluded: sched.ExcludedByEntry}}}, coordinator.err
}

// Place implements [relay.Coordinator].
func (coordinator *explainingCoordinator) Place(context.Context, names.Service, sched.Request) (sched.Decision, error) {
	panic("a reservation")
}

// TestWhereAsksTheCoordinator guards against explanations by the entry of what the coordinator
// decides, against reservations, and against causes of the entry that are not shown.
func TestWhereAsksTheCoordinator(t *testing.T) {
	cases := []struct {
		name        string
		decision    sched.Decision
		err         error
		unreachable bool
		want        relay.Verdict
		unscheduled string
	}{
		{name: "placed", decision: sched.Placed{Server: "notes-b", Wait: time.Second, First: 70, Load: 0.5}, want: relay.VerdictSend{Server: "notes-b", Domain: "b", Wait: time.Second, First: 70, Load: 0.5}},
		{name: "placed on an unusable one", decision: sched.Placed{Server: "gone"}, want: relay.VerdictSend{Server: "notes-b", Domain: "b"}, unscheduled: "unusable"},
		{name: "placed outside of the homes", decision: sched.Placed{Server: "notes-a"}, want: relay.VerdictSend{Server: "notes-b", Domain: "b"}, unscheduled: "unusable"},
		{name: "later", decision: sched.Later{Wait: time.Second}, want: relay.VerdictWait{Reason: relay.ReasonServersFull, Wait: time.Second}},
		{name: "refused", decision: sched.Refused{RetryAfter: time.Second, Load: 1}, want: relay.VerdictRefuse{Status: 503, Reason: relay.ReasonServersFull, RetryAfter: time.Second, LeastLoad: 1}},
		{
			name: "no copy before the caller gives up", decision: sched.NoCopy{Ready: 9 * time.Second},
			want: relay.VerdictRefuse{Status: 503, Reason: relay.ReasonModelNotLoaded, RetryAfter: 9 * time.Second},
		},
		{name: "no copy", decision: sched.NoCopy{}, want: relay.VerdictRefuse{Status: 503, Reason: relay.ReasonModelNotLoaded, RetryAfter: 1500 * time.Millisecond}},
		{name: "no server", decision: sched.NoServer{}, want: relay.VerdictRefuse{Status: 503, Reason: relay.ReasonNoServer, RetryAfter: 1500 * time.Millisecond}},
		{name: "overloaded", decision: sched.Unscheduled{}, want: relay.VerdictSend{Server: "notes-b", Domain: "b"}, unscheduled: "overloaded"},
		{name: "no answer", err: errors.New("no answer"), want: relay.VerdictSend{Server: "notes-b", Domain: "b"}, unscheduled: "unanswered"},
		{name: "unreachable", unreachable: true, want: relay.VerdictSend{Server: "notes-b", Domain: "b"}, unscheduled: "unreachable"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			home, slow := route("draft", policy.KindStream, "notes"), route("slow", policy.KindStream, "notes")
			home.Homes, home.GapObjective = []names.Region{"south"}, time.Second
			slow.Objective, slow.GapObjective = 10*home.Objective, time.Second
			fixture, _ := newHomesFixture(t, func(http.ResponseWriter, *http.Request) { t.Error("a request reached a server") }, home, slow)
			fixture.coordinator.unreachable = each.unreachable
			coordinator := &explainingCoordinator{fakeCoordinator: fixture.coordinator, decision: each.decision, err: each.err}
			if placed, isPlaced := each.decision.(sched.Placed); isPlaced {
				for _, server := range fixture.pool.Servers(time.Now()) {
					if server.ID == placed.Server {
						placed.Incarnation = server.Incarnation
						coordinator.decision = placed
					}
				}
			}
			fixture.relay.SetCoordinator(coordinator)
			located := fixture.relay.Where(context.Background(), relay.Question{Service: "notes", Model: "notes", PromptTokens: -1, OutputTokens: 7})
			g.Expect(located.Route).To(Equal("draft"))
			g.Expect(located.Scheduled).To(BeTrue())
			g.Expect(located.Unscheduled).To(Equal(each.unscheduled))
			g.Expect(located.Verdict).To(Equal(each.want))
			if each.unscheduled != "" {
				g.Expect(located.Servers).To(ContainElement(HaveField("Excluded", pool.ExclusionHome)))
				return
			}
			g.Expect(located.Engines[0]).To(Equal(sched.Candidate{Server: "notes-a", Excluded: "entry:home"}))
			g.Expect(coordinator.asked).To(HaveLen(1))
			g.Expect(coordinator.asked[0].Excluded).To(ContainElement(names.BackendServer("notes-a")))
			g.Expect(coordinator.asked[0].PromptTokens).To(BeEquivalentTo(600))
			g.Expect(coordinator.asked[0].OutputTokens).To(BeEquivalentTo(7))
		})
	}
}
