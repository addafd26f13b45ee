package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(offset time.Duration) time.Time { return epoch.Add(offset) }

func newPool(servers ...*pool.Server) *pool.Pool {
	result := pool.New(pool.Config{RegistryPeriod: time.Second, Random: func() float64 { return 0.5 }})
	for _, server := range servers {
		result.Put(server)
	}
	return result
}

func engine(id names.BackendServer, models ...names.Model) *pool.Server {
	return &pool.Server{ID: id, Service: "notes", Address: "10.0.0.1:80", Domain: "a", Slots: 10, Models: models, Incarnation: 1}
}

func holdingsUpdate(until time.Time, holdings ...pool.Holding) pool.Update {
	return pool.Update{Holdings: holdings, Until: until}
}

var query = pool.Query{Service: "notes", Model: "m", Domain: "a"}

// picked returns the server that a query gets, or what kind of choice it was.
func picked(from *pool.Pool, query pool.Query, now time.Time) string {
	switch choice := from.Pick(query, now).(type) {
	case pool.Chosen:
		return string(choice.Server.ID)
	case pool.NoServer:
		return "no server"
	case pool.NoCopy:
		return "no copy"
	case pool.Full:
		return "full"
	default:
		return "unknown"
	}
}

func TestChoices(t *testing.T) {
	draining := engine("e1", "m")
	draining.Draining = true
	far := engine("e2", "m")
	far.Domain = "b"
	cases := []struct {
		name    string
		servers []*pool.Server
		before  func(*pool.Pool)
		want    string
	}{
		{name: "nothing listed", want: "no server"},
		{name: "the model is held nowhere", servers: []*pool.Server{engine("e1", "other")}, want: "no copy"},
		{name: "a leaving server gets nothing", servers: []*pool.Server{draining}, want: "no server"},
		{name: "the nearer of two that are alike", servers: []*pool.Server{engine("e1", "m"), far}, want: "e1"},
		{
			name: "the farther where the nearer has much to do", servers: []*pool.Server{engine("e1", "m"), far},
			before: func(pool *pool.Pool) {
				for range 4 {
					pool.StartRequest("e1", 0, epoch)
				}
			},
			want: "e2",
		},
		{
			name: "the one without unread prompts", servers: []*pool.Server{engine("e1", "m"), engine("e2", "m")},
			before: func(pool *pool.Pool) {
				pool.StartRequest("e1", 8192, epoch)
				pool.StartRequest("e2", 10, epoch)
				pool.FinishPrompt("e2", 10)
			},
			want: "e2",
		},
		{
			name: "what other entries send counts", servers: []*pool.Server{engine("e1", "m"), engine("e2", "m")},
			before: func(from *pool.Pool) {
				from.ApplyUpdate(pool.Update{Others: map[names.BackendServer]int{"e1": 5}, Until: at(time.Minute)})
			},
			want: "e2",
		},
		{
			name: "nobody beyond what is served in time", servers: []*pool.Server{engine("e1", "m")},
			before: func(pool *pool.Pool) {
				for range 11 {
					pool.StartRequest("e1", 0, epoch)
				}
			},
			want: "full",
		},
		{
			name: "an ejected server gets nothing", servers: []*pool.Server{engine("e1", "m"), far},
			before: func(pool *pool.Pool) { pool.RecordFailure("e1", true, epoch) },
			want:   "e2",
		},
		{
			name: "an ejected server is better than none", servers: []*pool.Server{engine("e1", "m")},
			before: func(pool *pool.Pool) { pool.RecordFailure("e1", true, epoch) },
			want:   "e1",
		},
		{
			name: "a server that keeps a first byte waiting", servers: []*pool.Server{engine("e1", "m"), engine("e2", "m")},
			before: func(pool *pool.Pool) { pool.AddSlow("e1", 1) },
			want:   "e2",
		},
		{
			name: "a server whose answers are errors", servers: []*pool.Server{engine("e1", "m"), engine("e2", "m")},
			before: func(pool *pool.Pool) {
				for range 20 {
					pool.RecordResponse("e1", true)
				}
			},
			want: "e2",
		},
		{
			name: "a server that has gone silent with a request under way", servers: []*pool.Server{engine("e1", "m"), far},
			before: func(pool *pool.Pool) { pool.StartRequest("e1", 0, at(-time.Second)) },
			want:   "e2",
		},
		{
			name: "a server that said it lacks the model", servers: []*pool.Server{engine("e1", "m"), far},
			before: func(pool *pool.Pool) { pool.RecordMissingModel("e1", "m", epoch) },
			want:   "e2",
		},
		{
			name: "the coordinator's view goes before the registry", servers: []*pool.Server{engine("e1", "m"), engine("e2")},
			before: func(from *pool.Pool) {
				from.ApplyUpdate(holdingsUpdate(at(time.Minute), pool.Holding{Server: "e1", Incarnation: 1}, pool.Holding{Server: "e2", Incarnation: 1, Models: []names.Model{"m"}}))
			},
			want: "e2",
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			from := newPool(each.servers...)
			if each.before != nil {
				each.before(from)
			}
			g.Expect(picked(from, query, epoch)).To(Equal(each.want))
		})
	}
}

func TestAdaptersStayUnlessTheirServerIsBusy(t *testing.T) {
	g := NewWithT(t)
	holder := engine("e1", "m")
	holder.Adapters = []pool.Adapter{{Model: "m", Name: "a1"}}
	from := newPool(holder, engine("e2", "m"))
	wanted := query
	wanted.Adapter = "a1"
	from.StartRequest("e1", 0, epoch)
	choice := from.Pick(wanted, epoch)
	g.Expect(choice).To(HaveField("AdapterMissing", false))
	g.Expect(picked(from, wanted, epoch)).To(Equal("e1"))
	for range 5 {
		from.StartRequest("e1", 0, epoch)
	}
	g.Expect(from.Pick(wanted, epoch)).To(HaveField("AdapterMissing", true))
	g.Expect(picked(from, wanted, epoch)).To(Equal("e2"))
}

func TestAdaptersAreNotAskedOfABusyEngine(t *testing.T) {
	g := NewWithT(t)
	from := newPool(engine("e1", "m"), engine("e2", "m"))
	from.StartRequest("e2", 0, epoch)
	from.ApplyUpdate(holdingsUpdate(at(time.Minute),
		pool.Holding{Server: "e1", Incarnation: 1, Models: []names.Model{"m"}, Busy: true}, pool.Holding{Server: "e2", Incarnation: 1, Models: []names.Model{"m"}},
	))
	wanted := query
	wanted.Adapter = "a1"
	g.Expect(picked(from, wanted, epoch)).To(Equal("e2"))
}

// TestLapsedEntries drops registry entries before, during and after a registry outage.
func TestLapsedEntries(t *testing.T) {
	cases := []struct {
		name string
		play func(from *pool.Pool)
		at   time.Duration
		want string
	}{
		{
			name: "an entry that goes in calm times is gone at once",
			play: func(from *pool.Pool) { from.Remove("e1", at(time.Second)) },
			at:   time.Second, want: "no server",
		},
		{
			name: "during an outage the last view holds",
			play: func(from *pool.Pool) { from.RegistryLost(at(time.Second)) },
			at:   20 * time.Second, want: "e1",
		},
		{
			name: "an entry that lapsed in an outage is kept for two seconds",
			play: func(from *pool.Pool) {
				from.RegistryLost(at(time.Second))
				from.RegistryRecovered(at(9 * time.Second))
				from.Remove("e1", at(9*time.Second))
			},
			at: 10 * time.Second, want: "e1",
		},
		{
			name: "one that is still missing then is gone",
			play: func(from *pool.Pool) {
				from.RegistryLost(at(time.Second))
				from.RegistryRecovered(at(9 * time.Second))
				from.Remove("e1", at(9*time.Second))
			},
			at: 11*time.Second + time.Millisecond, want: "no server",
		},
		{
			name: "an outage does not bring back one that left in calm times",
			play: func(from *pool.Pool) {
				from.Remove("e1", at(time.Second))
				from.RegistryLost(at(1100 * time.Millisecond))
			},
			at: 2 * time.Second, want: "no server",
		},
		{
			name: "nor where requests are still under way there",
			play: func(from *pool.Pool) {
				from.StartRequest("e1", 0, epoch)
				from.Remove("e1", at(time.Second))
				from.Sweep(at(2 * time.Second))
				from.RegistryLost(at(3 * time.Second))
			},
			at: 4 * time.Second, want: "no server",
		},
		{
			name: "a second outage does not bring back one that stayed away after the first",
			play: func(from *pool.Pool) {
				from.RegistryLost(at(time.Second))
				from.RegistryRecovered(at(9 * time.Second))
				from.Remove("e1", at(9*time.Second))
				from.RegistryLost(at(12 * time.Second))
				from.RegistryRecovered(at(13 * time.Second))
			},
			at: 14 * time.Second, want: "no server",
		},
		{
			name: "one that lapsed has its two seconds after a second outage too",
			play: func(from *pool.Pool) {
				from.RegistryLost(at(time.Second))
				from.RegistryRecovered(at(9 * time.Second))
				from.Remove("e1", at(9*time.Second))
				from.RegistryLost(at(10 * time.Second))
				from.RegistryRecovered(at(14 * time.Second))
			},
			at: 15 * time.Second, want: "e1",
		},
		{
			name: "one that left and came back is served in an outage",
			play: func(from *pool.Pool) {
				from.Remove("e1", at(time.Second))
				from.Put(engine("e1", "m"))
				from.RegistryLost(at(2 * time.Second))
			},
			at: 3 * time.Second, want: "e1",
		},
		{
			name: "one that came back stays",
			play: func(from *pool.Pool) {
				from.RegistryLost(at(time.Second))
				from.RegistryRecovered(at(9 * time.Second))
				from.Remove("e1", at(9*time.Second))
				from.Put(engine("e1", "m"))
			},
			at: 15 * time.Second, want: "e1",
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			from := newPool(engine("e1", "m"))
			each.play(from)
			g.Expect(picked(from, query, at(each.at))).To(Equal(each.want))
		})
	}
}

func TestRebornServerStartsAnew(t *testing.T) {
	g := NewWithT(t)
	from := newPool(engine("e1", "m"))
	from.RecordFailure("e1", true, epoch)
	from.ApplyUpdate(holdingsUpdate(at(time.Minute), pool.Holding{Server: "e1", Incarnation: 1, Models: []names.Model{"m"}}))
	old := engine("e1", "m")
	restarted := engine("e1")
	restarted.Incarnation = 2
	from.Put(restarted)
	g.Expect(picked(from, query, epoch)).To(Equal("no copy"), "the new incarnation has lost its models")
	g.Expect(from.Usable(old, epoch)).To(BeFalse())
	g.Expect(from.Usable(restarted, epoch)).To(BeTrue())
}

func TestEjectionGrowsAndEnds(t *testing.T) {
	g := NewWithT(t)
	from := newPool(engine("e1", "m"))
	g.Expect(from.RecordFailure("e1", false, epoch)).To(BeZero(), "one failure may be the request's own")
	g.Expect(from.RecordFailure("e1", false, epoch)).To(Equal(at(time.Second)))
	g.Expect(from.RecordFailure("e1", true, at(2*time.Second))).To(Equal(at(4 * time.Second)))
	g.Expect(from.RecordResponse("e1", false)).To(BeTrue())
	g.Expect(from.RecordFailure("e1", true, at(5*time.Second))).To(Equal(at(6 * time.Second)))
}

// TestHoldingsAreToldOnce checks how long a holding is valid: the coordinator reports
// one only when it changes, and renews all of them with each update.
func TestHoldingsAreToldOnce(t *testing.T) {
	restarted := engine("e1", "m")
	restarted.Incarnation = 2
	holds := func(incarnation int64, models ...names.Model) pool.Update {
		return holdingsUpdate(at(time.Minute), pool.Holding{Server: "e1", Incarnation: incarnation, Models: models})
	}
	later := pool.Update{Until: at(2 * time.Minute)}
	cases := []struct {
		name string
		play func(from *pool.Pool)
		at   time.Duration
		want string
	}{
		{name: "before its time is up", play: func(from *pool.Pool) { from.ApplyUpdate(holds(1, "other")) }, want: "no copy"},
		{name: "after that the registry counts", play: func(from *pool.Pool) { from.ApplyUpdate(holds(1, "other")) }, at: time.Minute, want: "e1"},
		{
			name: "nothing new prolongs it", at: 90 * time.Second, want: "no copy",
			play: func(from *pool.Pool) {
				from.ApplyUpdate(holds(1, "other"))
				from.ApplyUpdate(later)
			},
		},
		{
			name: "another coordinator tells all that it knows", want: "e1",
			play: func(from *pool.Pool) {
				from.ApplyUpdate(holds(1, "other"))
				from.ApplyUpdate(pool.Update{Complete: true, Until: at(time.Minute)})
			},
		},
		{
			name: "the engine has started again", want: "e1",
			play: func(from *pool.Pool) {
				from.ApplyUpdate(holds(1, "other"))
				from.Put(restarted)
				from.ApplyUpdate(later)
			},
		},
		{
			name: "what the new incarnation holds was told before the registry did", want: "no copy",
			play: func(from *pool.Pool) {
				from.ApplyUpdate(holds(2))
				from.Put(restarted)
				from.ApplyUpdate(later)
			},
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			from := newPool(engine("e1", "m"))
			each.play(from)
			NewWithT(t).Expect(picked(from, query, at(each.at))).To(Equal(each.want))
		})
	}
}

// TestUnusableEntryIsNoLapsedEntry guards against a server that stays in use because an
// outage could explain a missing entry, although its entry is there and names no server.
func TestUnusableEntryIsNoLapsedEntry(t *testing.T) {
	g := NewWithT(t)
	cases := []struct {
		name   string
		before func(*pool.Pool)
	}{
		{name: "without an outage", before: func(*pool.Pool) {}},
		{name: "in an outage", before: func(servers *pool.Pool) { servers.RegistryLost(at(0)) }},
		{name: "after an outage", before: func(servers *pool.Pool) {
			servers.RegistryLost(at(0))
			servers.RegistryRecovered(at(time.Second))
		}},
		{name: "after it lapsed in an outage", before: func(servers *pool.Pool) {
			servers.RegistryLost(at(0))
			servers.Remove("e1", at(time.Second))
		}},
	}
	for _, each := range cases {
		servers := newPool(engine("e1", "m"), engine("e2", "m"))
		each.before(servers)
		servers.Reject("e1", at(time.Second))
		servers.Reject("unknown", at(time.Second))
		g.Expect(picked(servers, query, at(time.Second))).To(Equal("e2"), each.name)
		servers.Put(engine("e1", "m"))
		servers.Reject("e2", at(time.Second))
		g.Expect(picked(servers, query, at(time.Second))).To(Equal("e1"), "%s: its next entry counts", each.name)
	}
}

// TestDepartureOutlivesAnUnusableEntry checks that a server that has announced its end
// gets no requests when its entry becomes unusable and usable again.
func TestDepartureOutlivesAnUnusableEntry(t *testing.T) {
	g := NewWithT(t)
	servers := newPool(engine("e1", "m"))
	servers.RecordDeparture(engine("e1", "m"), at(0))
	servers.Reject("e1", at(time.Second))
	servers.Sweep(at(time.Minute))
	servers.Put(engine("e1", "m"))
	g.Expect(picked(servers, query, at(time.Minute))).To(Equal("no server"))
}
