package coord

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/sched"
)

// coldPlacement is a placed request that asks for its permit at a time.
type coldPlacement struct {
	placed sched.Placed
	askAt  time.Time
}

// TestColdEnginesAreNotPlacedBeyondTheirRates guards against requests that go back and forth
// between a scheduler that does not know the rates of cold engines and an issuer that has no
// permit for them, when a domain with 14 engines comes back cold at once.
func TestColdEnginesAreNotPlacedBeyondTheirRates(t *testing.T) {
	const engines, perSecond, seconds = 14, 19.0, 4
	cases := []struct {
		name string
		// lost is which of the placed requests never ask for their permits: one in lost.
		lost      int
		minIssued float64
	}{
		{name: "all ask", lost: 0, minIssued: 0.7},
		{name: "one in five does not ask", lost: 5, minIssued: 0.5},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			start := time.Unix(1_800_000_000, 0)
			issuer := permit.NewIssuer()
			issuer.Begin(start.Add(-time.Minute))
			rates := newColdRates(issuer)
			scheduler := sched.New(sched.Config{
				DeferFrom: 8 * time.Second, GapObjective: 250 * time.Millisecond, Random: func() float64 { return 0.5 },
				AccountRate: func(names.ClientAccount) float64 { return 0 },
			})
			var servers []*pool.Server
			var known []sched.Engine
			for index := range engines {
				server := &pool.Server{ID: names.BackendServer(fmt.Sprintf("e%02d", index)), Service: "notes", Slots: 48, Incarnation: 1}
				servers = append(servers, server)
				known = append(known, sched.Engine{Server: server, Models: []names.Model{"m"}})
			}
			scheduler.SetEngines(known)
			cold := permit.Cold{PerSecond: perSecond, Until: start.Add(time.Hour)}
			issued, refused := 0, 0
			var waiting []coldPlacement
			for tick := range seconds * 500 {
				now := start.Add(time.Duration(tick) * 2 * time.Millisecond)
				if tick%50 == 0 {
					rates.reset(1)
					rates.add("notes", servers, func(*pool.Server, time.Time) (float64, bool) { return perSecond, true }, now)
					scheduler.Report("entry", nil, nil, now)
				}
				for len(waiting) > 0 && !waiting[0].askAt.After(now) {
					server := permit.Server{ID: waiting[0].placed.Server, Incarnation: 1}
					if _, permitted := issuer.Issue(permit.Application{Statement: permit.Statement{Server: server}, Cold: cold}, 1, now); permitted {
						issued++
						rates.recordIssued(server)
					} else {
						refused++
					}
					waiting = waiting[1:]
				}
				request := sched.Request{Instance: "entry", Model: "m", PromptTokens: 10, Objective: 400 * time.Millisecond, Left: 5 * time.Second}
				request.Closed = rates.closed("notes", nil, now)
				switch decision := scheduler.Place(request, now).(type) {
				case sched.Placed:
					rates.recordPlaced(decision, now)
					if each.lost == 0 || tick%each.lost != 0 {
						waiting = append(waiting, coldPlacement{placed: decision, askAt: now.Add(10 * time.Millisecond)})
					}
				case sched.Later, sched.Refused:
				default:
					g.Expect(decision).To(BeNil(), "the engines hold the model")
				}
			}
			g.Expect(refused).To(BeZero())
			g.Expect(issued).To(BeNumerically(">=", int(each.minIssued*engines*perSecond*seconds)))
		})
	}
}

// TestClosedEnginesHoldTheirModels guards against requests that wait for a load of a model
// that engines hold, as all of them are cold and their rates are used up.
func TestClosedEnginesHoldTheirModels(t *testing.T) {
	cases := []struct {
		name             string
		excluded, closed []names.BackendServer
		noCopy           bool
	}{
		{name: "closed", closed: []names.BackendServer{"e"}},
		{name: "closed at the entry", excluded: []names.BackendServer{"e"}, closed: []names.BackendServer{"e"}},
		{name: "tried", excluded: []names.BackendServer{"e"}, noCopy: true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(1_800_000_000, 0)
			scheduler := sched.New(sched.Config{DeferFrom: 8 * time.Second, GapObjective: 250 * time.Millisecond, Random: func() float64 { return 0.5 }})
			scheduler.SetEngines([]sched.Engine{{Server: &pool.Server{ID: "e", Slots: 8, Incarnation: 1}, Models: []names.Model{"m"}}})
			request := sched.Request{Model: "m", PromptTokens: 10, Objective: 400 * time.Millisecond, Left: 5 * time.Second}
			request.Excluded, request.Closed = each.excluded, each.closed
			_, request = decodePlaceRequest(encodePlaceRequest("notes", request, now), now)
			decision := scheduler.Place(request, now)
			if each.noCopy {
				g.Expect(decision).To(Equal(sched.NoCopy{}))
				return
			}
			g.Expect(decision).To(BeAssignableToTypeOf(sched.Later{}))
		})
	}
}
