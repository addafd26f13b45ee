package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/pool"
)

// TestServersThatSayTheyLeave checks that a server that announced that it is leaving
// gets no requests whatever the registry says, until another incarnation is listed.
func TestServersThatSayTheyLeave(t *testing.T) {
	restarted := engine("e1", "m")
	restarted.Incarnation = 2
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
		{name: "it has started again", after: func(from *pool.Pool) { from.Put(restarted) }, want: "e1"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			pool := newPool(engine("e1", "m"))
			g.Expect(pool.RecordDeparture(engine("e1", "m"), epoch)).To(BeTrue(), "the first announcement is new")
			g.Expect(pool.RecordDeparture(engine("e1", "m"), epoch)).To(BeFalse())
			if each.after != nil {
				each.after(pool)
			}
			g.Expect(picked(pool, query, at(4*time.Second))).To(Equal(each.want))
			g.Expect(pool.Usable(engine("e1", "m"), at(4*time.Second))).To(BeFalse(), "an earlier choice is no longer usable")
		})
	}
}

// TestDeparturesAreTold forwards a departure that a server announced to one instance
// only. The others must send nothing there either, and must not report it again.
func TestDeparturesAreTold(t *testing.T) {
	g := NewWithT(t)
	first, second := newPool(engine("e1", "m")), newPool(engine("e1", "m"))
	first.RecordDeparture(engine("e1", "m"), epoch)
	departures := first.UnreportedDepartures(1)
	second.ApplyDepartures(departures, at(time.Second))
	g.Expect(picked(second, query, at(time.Second))).To(Equal("no server"))
	g.Expect(second.UnreportedDepartures(1)).To(BeEmpty())
	g.Expect(first.UnreportedDepartures(1)).To(HaveLen(1), "the coordinator has not acknowledged it")
	first.MarkDeparturesReported(departures, 1)
	g.Expect(first.UnreportedDepartures(1)).To(BeEmpty(), "it was acknowledged")
	g.Expect(first.UnreportedDepartures(2)).To(HaveLen(1), "the coordinator of another term does not know it")
	restarted := engine("e1", "m")
	restarted.Incarnation = 2
	second.Put(restarted)
	g.Expect(picked(second, query, at(2*time.Second))).To(Equal("e1"))
}

// TestServersThatRest checks that paused servers get no requests, and that the time
// until the first pause ends is returned if no other server is left.
func TestServersThatRest(t *testing.T) {
	g := NewWithT(t)
	pool := newPool(engine("e1", "m"), engine("e2", "m"))
	pool.Pause("e1", 2*time.Second, epoch)
	for range 5 {
		g.Expect(picked(pool, query, at(time.Second))).To(Equal("e2"))
		pool.StartRequest("e2", 100, at(time.Second))
	}
	pool.Pause("e2", 4*time.Second, at(time.Second))
	g.Expect(full(pool, at(time.Second)).RetryAfter).To(Equal(time.Second), "the first pause ends then")
	pool.Pause("e1", time.Millisecond, at(time.Second))
	g.Expect(full(pool, at(time.Second)).RetryAfter).To(Equal(time.Second), "a shorter pause does not end a longer one")
	g.Expect(picked(pool, query, at(2*time.Second))).To(Equal("e1"))
	pool.Pause("e1", 1000*time.Hour, at(2*time.Second))
	g.Expect(picked(pool, query, at(2*time.Second+time.Minute))).To(Equal("e1"), "excessive pauses are bounded")
}

// full returns the zero value if Pick returns another choice.
func full(from *pool.Pool, now time.Time) pool.Full {
	choice, _ := from.Pick(query, now).(pool.Full)
	return choice
}
