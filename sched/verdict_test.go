package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/sched"
)

// TestVerdicts guards against kinds of decisions that are explained as another.
func TestVerdicts(t *testing.T) {
	cases := []struct {
		name    string
		engines []sched.Engine
		running int
		edit    func(*sched.Request)
		want    sched.Decision
	}{
		{name: "placed", engines: []sched.Engine{engine("e1", model)}, want: sched.Placed{}},
		{name: "no server", want: sched.NoServer{}},
		{name: "no copy", engines: []sched.Engine{engine("e1", "other")}, want: sched.NoCopy{}},
		{name: "full", engines: []sched.Engine{engine("e1", model)}, running: 48, want: sched.Later{}},
		{name: "rate used", engines: []sched.Engine{engine("e1", model)}, want: sched.Later{}, edit: func(request *sched.Request) {
			request.Closed = []names.BackendServer{"e1"}
		}},
		{name: "overdue", engines: []sched.Engine{engine("e1", model)}, running: 48, want: sched.Refused{}, edit: func(request *sched.Request) {
			request.Elapsed, request.Left = 2*time.Second, time.Second
		}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			scheduler := newScheduler(config(), each.engines...)
			scheduler.Report("edge-1", loads(each.running), nil, epoch)
			asked := request()
			if each.edit != nil {
				each.edit(&asked)
			}
			for range 3 {
				verdict := scheduler.Verdict(asked, epoch)
				g.Expect(verdict).To(BeAssignableToTypeOf(each.want))
				g.Expect(scheduler.Verdict(asked, epoch)).To(Equal(verdict), "a verdict changes nothing")
				g.Expect(scheduler.Place(asked, epoch)).To(Equal(verdict))
			}
		})
	}
}

// TestVerdictIsTheDecision guards against explanations of another decision than the one that
// is made, and against ones that change later decisions.
func TestVerdictIsTheDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked, unasked := newScheduler(config()), newScheduler(config())
		ids := []names.BackendServer{"e1", "e2", "e3"}
		now := epoch
		t.Repeat(map[string]func(*rapid.T){
			"engines": func(t *rapid.T) {
				var engines []sched.Engine
				for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[names.BackendServer]).Draw(t, "ids") {
					each := engine(id, rapid.SampledFrom([]names.Model{model, "n"}).Draw(t, "model"))
					each.Busy = rapid.Bool().Draw(t, "busy")
					each.Server.Slots = rapid.IntRange(1, 4).Draw(t, "slots")
					engines = append(engines, each)
				}
				asked.SetEngines(engines)
				unasked.SetEngines(engines)
			},
			"report": func(t *rapid.T) {
				running := map[names.BackendServer]int{}
				for _, id := range ids {
					running[id] = rapid.IntRange(0, 3).Draw(t, "running")
				}
				uses := []pool.EngineUse{{Server: "e1", Incarnation: 1, Events: 20, EventMilliseconds: rapid.Float64Range(300, 3000).Draw(t, "milliseconds")}}
				instance := names.Instance(rapid.SampledFrom([]string{"edge-1", "edge-2"}).Draw(t, "instance"))
				asked.Report(instance, running, uses, now)
				unasked.Report(instance, running, uses, now)
			},
			"place": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				attempt := request()
				attempt.Instance = names.Instance(rapid.SampledFrom([]string{"edge-1", "edge-2"}).Draw(t, "instance"))
				attempt.Adapter = rapid.SampledFrom([]names.Adapter{"", "style"}).Draw(t, "adapter")
				attempt.PromptTokens = rapid.Int64Range(-1, 30_000).Draw(t, "prompt")
				attempt.Objective = rapid.SampledFrom([]time.Duration{400 * time.Millisecond, 5 * time.Second}).Draw(t, "objective")
				attempt.Elapsed = time.Duration(rapid.IntRange(0, 8000).Draw(t, "elapsed")) * time.Millisecond
				attempt.Left = time.Duration(rapid.IntRange(0, 8000).Draw(t, "left")) * time.Millisecond
				attempt.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				subset := rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[names.BackendServer])
				attempt.Excluded, attempt.Failing, attempt.Closed = subset.Draw(t, "excluded"), subset.Draw(t, "failing"), subset.Draw(t, "closed")
				verdict, candidates := asked.Verdict(attempt, now), asked.Explain(attempt, now)
				decision := asked.Place(attempt, now)
				if fmt.Sprintf("%#v", verdict) != fmt.Sprintf("%#v", decision) {
					t.Fatalf("explained %#v, decided %#v", verdict, decision)
				}
				if other := unasked.Place(attempt, now); fmt.Sprintf("%#v", other) != fmt.Sprintf("%#v", decision) {
					t.Fatalf("decided %#v after an explanation, %#v without", decision, other)
				}
				if placed, isPlaced := decision.(sched.Placed); isPlaced && (candidates[0].Server != placed.Server || candidates[0].Excluded != "") {
					t.Fatalf("placed on %s, explained %+v", placed.Server, candidates[0])
				}
			},
		})
	})
}
