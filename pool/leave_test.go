package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/pool"
)

// TestServersThatSayTheyLeave plays what the registry may tell after a server has
// said in an answer that it leaves: only another incarnation is sent to again.
func TestServersThatSayTheyLeave(t *testing.T) {
	again := engine("e1", "m")
	again.Incarnation = 2
	cases := []struct {
		name  string
		after func(*pool.Pool)
		want  string
	}{
		{name: "nothing more", want: "no server"},
		{name: "the registry still lists it", after: func(from *pool.Pool) { from.Put(engine("e1", "m")) }, want: "no server"},
		{
			name: "the registry fails, and lists it when it answers again",
			after: func(from *pool.Pool) {
				from.RegistryLost(at(time.Second))
				from.Remove("e1", at(2*time.Second))
				from.RegistryRecovered(at(3 * time.Second))
				from.Put(engine("e1", "m"))
			},
			want: "no server",
		},
		{
			name: "its entry goes, is forgotten and comes back",
			after: func(from *pool.Pool) {
				from.Remove("e1", at(time.Second))
				from.Sweep(at(2 * time.Second))
				from.Put(engine("e1", "m"))
			},
			want: "no server",
		},
		{name: "it has started again", after: func(from *pool.Pool) { from.Put(again) }, want: "e1"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			pool := newPool(engine("e1", "m"))
			g.Expect(pool.RecordDeparture(engine("e1", "m"), epoch)).To(BeTrue(), "that is new")
			g.Expect(pool.RecordDeparture(engine("e1", "m"), epoch)).To(BeFalse())
			if each.after != nil {
				each.after(pool)
			}
			g.Expect(picked(pool, query, at(4*time.Second))).To(Equal(each.want))
			g.Expect(pool.Usable(engine("e1", "m"), at(4*time.Second))).To(BeFalse(), "a choice from before no longer holds")
		})
	}
}

// TestDeparturesAreTold passes on what a server said to one instance only: the
// others send nothing there either, and do not pass it on again.
func TestDeparturesAreTold(t *testing.T) {
	g := NewWithT(t)
	first, second := newPool(engine("e1", "m")), newPool(engine("e1", "m"))
	first.RecordDeparture(engine("e1", "m"), epoch)
	told := first.UnreportedDepartures(1)
	second.ApplyDepartures(told, at(time.Second))
	g.Expect(picked(second, query, at(time.Second))).To(Equal("no server"))
	g.Expect(second.UnreportedDepartures(1)).To(BeEmpty())
	g.Expect(first.UnreportedDepartures(1)).To(HaveLen(1), "nobody has answered")
	first.MarkDeparturesReported(told, 1)
	g.Expect(first.UnreportedDepartures(1)).To(BeEmpty(), "news ends")
	g.Expect(first.UnreportedDepartures(2)).To(HaveLen(1), "another coordinator does not know")
	again := engine("e1", "m")
	again.Incarnation = 2
	second.Put(again)
	g.Expect(picked(second, query, at(2*time.Second))).To(Equal("e1"))
}

// TestServersThatRest plays servers that want no requests for a time: others take
// them meanwhile, and where there is none the time until one does is told.
func TestServersThatRest(t *testing.T) {
	g := NewWithT(t)
	pool := newPool(engine("e1", "m"), engine("e2", "m"))
	pool.Pause("e1", 2*time.Second, epoch)
	for range 5 {
		g.Expect(picked(pool, query, at(time.Second))).To(Equal("e2"))
		pool.StartRequest("e2", 100, at(time.Second))
	}
	pool.Pause("e2", 4*time.Second, at(time.Second))
	g.Expect(full(pool, at(time.Second)).RetryAfter).To(Equal(time.Second), "until the first of them")
	pool.Pause("e1", time.Millisecond, at(time.Second))
	g.Expect(full(pool, at(time.Second)).RetryAfter).To(Equal(time.Second), "a shorter time does not end a longer one")
	g.Expect(picked(pool, query, at(2*time.Second))).To(Equal("e1"))
	pool.Pause("e1", 1000*time.Hour, at(2*time.Second))
	g.Expect(picked(pool, query, at(2*time.Second+time.Minute))).To(Equal("e1"), "absurd times are bounded")
}

// full fails where something else is chosen.
func full(from *pool.Pool, now time.Time) pool.Full {
	choice, _ := from.Pick(query, now).(pool.Full)
	return choice
}
