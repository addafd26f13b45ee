package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/pool"
)

// coldEvent is something that an entry observes of the servers, in seconds from the start.
type coldEvent struct {
	at float64
	// server is put if put is set, with the given entry; else it is removed.
	server      names.BackendServer
	put         bool
	incarnation int64
	stated      bool
	left        time.Duration
	// read ends the first read of the registry, failed is a failure of the server, sweep
	// is the periodic sweep, and assume assumes that the domain is cold.
	// outage is the end of an outage of the registry that began at the start.
	read, failed, sweep, assume, outage bool
}

// TestColdTimes guards against servers that count as warm although they may be cold, and
// against warm ones that stay limited.
func TestColdTimes(t *testing.T) {
	stated := func(at float64, left time.Duration) coldEvent {
		return coldEvent{at: at, server: "s", put: true, incarnation: 1, stated: true, left: left}
	}
	silent := func(at float64) coldEvent {
		return coldEvent{at: at, server: "s", put: true, incarnation: 1}
	}
	read := coldEvent{read: true}
	cases := []struct {
		name   string
		events []coldEvent
		// warmFrom is when the server is warm; it is cold just before, if that is above 0.
		warmFrom float64
	}{
		{name: "first read, nothing stated", events: []coldEvent{silent(0), read}},
		{name: "first read, cold", events: []coldEvent{stated(0, 2*time.Second), read}, warmFrom: 3.2},
		{name: "new server, nothing stated", events: []coldEvent{read, silent(1), silent(2.2)}, warmFrom: 4},
		{name: "new server that says it is warm", events: []coldEvent{read, stated(1, 0)}},
		{name: "new incarnation", events: []coldEvent{silent(0), read, {at: 2, server: "s", put: true, incarnation: 2}}, warmFrom: 5},
		{name: "out of the registry", events: []coldEvent{silent(0), read, {at: 2, server: "s"}, silent(4)}, warmFrom: 7},
		{name: "cold again", events: []coldEvent{stated(0, 0), read, stated(5, 2*time.Second)}, warmFrom: 8.2},
		{name: "the next entry confirms the end", events: []coldEvent{stated(0, time.Second), read, stated(1.2, 0)}, warmFrom: 1.2},
		{name: "the next entry tells of another cold time", events: []coldEvent{stated(0, time.Second), read, stated(1.2, 3*time.Second)}, warmFrom: 5.4},
		{name: "failed", events: []coldEvent{stated(0, 0), read, {at: 1, server: "s", failed: true}}, warmFrom: 5},
		{name: "failed, and warm by its next entry", events: []coldEvent{stated(0, 0), read, {at: 1, server: "s", failed: true}, stated(2.5, 0)}, warmFrom: 2.5},
		{name: "failed, and warm by an entry from before", events: []coldEvent{stated(0, 0), read, {at: 1, server: "s", failed: true}, stated(1.3, 0)}, warmFrom: 5},
		{name: "failed, and nearly warm by an entry from before", events: []coldEvent{
			stated(0, 0), read,
			{at: 1, server: "s", failed: true},
			stated(1.3, time.Millisecond),
		}, warmFrom: 5},
		{name: "failed, and warm by a later entry", events: []coldEvent{
			stated(0, 0), read,
			{at: 1, server: "s", failed: true},
			stated(1.3, 0), stated(2.5, 0),
		}, warmFrom: 2.5},
		{name: "failed, and warm by that of the next incarnation", events: []coldEvent{
			stated(0, 0), read,
			{at: 1, server: "s", failed: true},
			{at: 1.3, server: "s", put: true, incarnation: 2, stated: true},
		}, warmFrom: 1.3},
		{name: "its domain is used again", events: []coldEvent{stated(0, 0), read, {at: 1, assume: true}}, warmFrom: 4},
		{name: "only its entry is not renewed", events: []coldEvent{
			stated(0, 0), read,
			{at: 3.5, server: "other", put: true, incarnation: 1, stated: true},
			{at: 4, sweep: true},
		}, warmFrom: 7},
		{name: "an outage has ended", events: []coldEvent{
			stated(0, 0), read,
			{at: 8, outage: true},
			{at: 8.5, server: "other", put: true, incarnation: 1, stated: true},
			{at: 8.6, sweep: true},
		}},
		{name: "no entry is renewed", events: []coldEvent{stated(0, 0), read, {at: 9, sweep: true}}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			start := time.Unix(1_800_000_000, 0)
			at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
			servers := pool.New(pool.Config{RegistryPeriod: 1200 * time.Millisecond, Random: func() float64 { return 0 }})
			servers.SetColdStarts(map[names.Service]pool.ColdStart{"service": {Span: 3 * time.Second, PerSecond: 19}}, start)
			incarnation := int64(1)
			for _, event := range each.events {
				switch {
				case event.put:
					servers.Put(&pool.Server{
						ID: event.server, Service: "service", Address: "10.0.0.1:80", Domain: "zone", Slots: 1, Incarnation: event.incarnation,
						ColdLeft: event.left, ColdStated: event.stated, ListedAt: at(event.at),
					})
					incarnation = event.incarnation
				case event.read:
					servers.RegistryRead()
				case event.failed:
					servers.RecordFailure(event.server, true, at(event.at))
				case event.outage:
					servers.RegistryLost(start)
					servers.RegistryRecovered(at(event.at))
				case event.sweep:
					servers.Sweep(at(event.at))
				case event.assume:
					servers.SetEvacuated([]names.FailureDomain{"zone"}, at(event.at))
					servers.SetEvacuated(nil, at(event.at))
				default:
					servers.Remove(event.server, at(event.at))
				}
			}
			server := permit.Server{ID: "s", Incarnation: incarnation}
			last := each.events[len(each.events)-1].at
			if each.warmFrom > last {
				g.Expect(servers.ColdServers(at(each.warmFrom - 0.01))).To(HaveKeyWithValue(server, 19.0))
			}
			g.Expect(servers.ColdServers(at(max(each.warmFrom, last) + 0.01))).NotTo(HaveKey(server))
		})
	}
}

// TestColdServersAreNotAskedWithoutPermits guards against requests to servers of a service
// that declares a cold time, and against limits for one that does not.
func TestColdServersAreNotAskedWithoutPermits(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	servers := pool.New(pool.Config{RegistryPeriod: 1200 * time.Millisecond, Random: func() float64 { return 0 }})
	server := &pool.Server{ID: "s", Service: "service", Address: "10.0.0.1:80", Slots: 1, Incarnation: 1, ColdLeft: 2 * time.Second, ColdStated: true, ListedAt: now}
	servers.RegistryRead()
	servers.Put(server)
	g.Expect(servers.Gate().Admit(server.Identity(), now)).To(Equal(permit.Free{}), "the policy declares no cold time")
	servers.SetColdStarts(map[names.Service]pool.ColdStart{"service": {Span: 3 * time.Second, PerSecond: 19}}, now)
	g.Expect(servers.Gate().Admit(server.Identity(), now)).To(Equal(permit.Closed{}), "requests may have been sent until now")
	g.Expect(servers.Pick(pool.Query{Service: "service"}, now)).To(BeAssignableToTypeOf(pool.Full{}))
	g.Expect(servers.Unusable(pool.Query{Service: "service"}, now).Closed).To(ConsistOf(names.BackendServer("s")))
	g.Expect(servers.Unusable(pool.Query{Service: "other"}, now).Closed).To(BeEmpty())
	g.Expect(servers.Unusable(pool.Query{Service: "service", Tried: []names.BackendServer{"s"}}, now).Closed).To(BeEmpty(), "it may not run the request later either")
	servers.SetColdStarts(nil, now)
	g.Expect(servers.Gate().Admit(server.Identity(), now)).To(Equal(permit.Free{}))
}
