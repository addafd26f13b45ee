package pool_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/pool"
)

// TestExclusions guards against servers that are explained as usable and get nothing, and
// against ones that are explained by another cause than the one that decides.
func TestExclusions(t *testing.T) {
	draining := engine("e1", "m")
	draining.Draining = true
	cases := []struct {
		name   string
		server *pool.Server
		before func(*pool.Pool)
		query  func(*pool.Query)
		want   pool.Exclusion
	}{
		{name: "usable", server: engine("e1", "m")},
		{name: "draining", server: draining, want: pool.ExclusionDraining},
		{name: "gone", server: engine("e1", "m"), before: func(pool *pool.Pool) { pool.Remove("e1", epoch) }, want: pool.ExclusionGone},
		{name: "departed", server: engine("e1", "m"), before: func(pool *pool.Pool) { pool.RecordDeparture(engine("e1", "m"), epoch) }, want: pool.ExclusionDeparted},
		{name: "evacuated", server: engine("e1", "m"), before: func(pool *pool.Pool) { pool.SetEvacuated([]names.FailureDomain{"a"}, epoch) }, want: pool.ExclusionEvacuated},
		{name: "home", server: engine("e1", "m"), query: func(query *pool.Query) { query.Confined = true }, want: pool.ExclusionHome},
		{name: "tried", server: engine("e1", "m"), query: func(query *pool.Query) { query.Tried = []names.BackendServer{"e1"} }, want: pool.ExclusionTried},
		{name: "model missing", server: engine("e1", "other"), want: pool.ExclusionModelMissing},
		{name: "paused", server: engine("e1", "m"), before: func(pool *pool.Pool) { pool.Pause("e1", time.Second, epoch) }, want: pool.ExclusionPaused},
		{
			name: "no permit", server: engine("e1", "m"), want: pool.ExclusionRateUsed,
			before: func(pool *pool.Pool) {
				pool.Gate().Observe(engine("e1").Identity(), permit.Limited{PerSecond: 1}, epoch, epoch)
				pool.Gate().Close(engine("e1").Identity(), time.Second, epoch)
			},
		},
		{name: "ejected, but the only one", server: engine("e1", "m"), before: func(pool *pool.Pool) { pool.RecordFailure("e1", true, epoch) }},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			servers := newPool(each.server)
			if each.before != nil {
				each.before(servers)
			}
			asked := query
			if each.query != nil {
				each.query(&asked)
			}
			choice, candidates := servers.Explain(asked, epoch)
			g.Expect(candidates).To(HaveLen(1))
			g.Expect(candidates[0].Excluded).To(Equal(each.want))
			_, isChosen := choice.(pool.Chosen)
			g.Expect(isChosen).To(Equal(each.want == pool.ExclusionNone))
			again, _ := servers.Explain(asked, epoch)
			g.Expect(again).To(Equal(choice), "an explanation changes nothing")
			g.Expect(servers.Pick(asked, epoch)).To(Equal(choice))
		})
	}
	g := NewWithT(t)
	servers := newPool(engine("e1", "m"), engine("e2", "m"))
	servers.RecordFailure("e1", true, epoch)
	choice, candidates := servers.Explain(query, epoch)
	g.Expect(choice.(pool.Chosen).Server.ID).To(BeEquivalentTo("e2"))
	g.Expect(candidates[1].Excluded).To(Equal(pool.ExclusionEjected))
}

// TestExplainedChoiceIsThePick guards against explanations of another choice than the one
// that is made, and against ones that change later choices.
func TestExplainedChoiceIsThePick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked, unasked := newPool(), newPool()
		ids := []names.BackendServer{"e1", "e2", "e3"}
		now := epoch
		both := func(edit func(*pool.Pool)) {
			edit(asked)
			edit(unasked)
		}
		slots := 10
		server := func(t *rapid.T) names.BackendServer { return rapid.SampledFrom(ids).Draw(t, "server") }
		duration := func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				put := engine(server(t), rapid.SampledFrom([]names.Model{"m", "n"}).Draw(t, "model"))
				// Different slots give different scores.
				slots++
				put.Slots, put.Draining = slots, rapid.Bool().Draw(t, "draining")
				put.Domain = rapid.SampledFrom([]names.FailureDomain{"a", "b"}).Draw(t, "domain")
				put.ListedAt = now
				if rapid.Bool().Draw(t, "adapter") {
					put.Adapters = []pool.Adapter{{Model: "m", Name: "style"}}
				}
				both(func(pool *pool.Pool) { pool.Put(put) })
			},
			"change": func(t *rapid.T) {
				id, wait := server(t), duration(t)
				change := rapid.SampledFrom([]func(*pool.Pool){
					func(pool *pool.Pool) { pool.StartRequest(id, 3000, now) },
					func(pool *pool.Pool) { pool.EndRequest(id) },
					func(pool *pool.Pool) { pool.RecordFailure(id, true, now) },
					func(pool *pool.Pool) { pool.Pause(id, wait, now) },
					func(pool *pool.Pool) { pool.Remove(id, now) },
					func(pool *pool.Pool) { pool.AddSlow(id, 1) },
					func(servers *pool.Pool) {
						servers.Gate().Observe(permit.Server{ID: id, Incarnation: 1}, permit.Limited{PerSecond: 2}, now, now)
						servers.Gate().Close(permit.Server{ID: id, Incarnation: 1}, wait, now)
					},
					func(servers *pool.Pool) {
						servers.Gate().CloseYielding(permit.Server{ID: id, Incarnation: 1}, wait, now)
					},
				}).Draw(t, "change")
				both(change)
			},
			"pick": func(t *rapid.T) {
				now = now.Add(duration(t))
				query := pool.Query{Service: "notes", Domain: "a"}
				query.Model = rapid.SampledFrom([]names.Model{"m", "n"}).Draw(t, "model")
				query.Adapter = rapid.SampledFrom([]names.Adapter{"", "style"}).Draw(t, "adapter")
				query.Tried = rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[names.BackendServer]).Draw(t, "tried")
				explained, candidates := asked.Explain(query, now)
				g := NewWithT(t)
				picked := asked.Pick(query, now)
				g.Expect(picked).To(Equal(explained))
				g.Expect(unasked.Pick(query, now)).To(Equal(explained), "explanations change nothing")
				if chosen, isChosen := picked.(pool.Chosen); isChosen {
					g.Expect(candidates[0].Server).To(BeIdenticalTo(chosen.Server))
					g.Expect(candidates[0].Excluded).To(Equal(pool.ExclusionNone))
				}
			},
		})
	})
}

// BenchmarkPick measures a choice among as many engines as the fleets have. The model is held
// by some or by all of them.
func BenchmarkPick(b *testing.B) {
	for _, holders := range []int{70, 700} {
		b.Run(fmt.Sprint(holders), func(b *testing.B) {
			servers := newPool()
			for index := range 700 {
				each := engine(names.BackendServer(fmt.Sprint("engine-", index)), "other")
				if index < holders {
					each.Models = append(each.Models, "m")
				}
				servers.Put(each)
			}
			for b.Loop() {
				servers.Pick(query, epoch)
			}
		})
	}
}
