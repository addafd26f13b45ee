package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/mirror"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/store"
)

// evacuationFixture is the part of an entry that follows evacuations and the registry.
type evacuationFixture struct {
	t       *testing.T
	pool    *pool.Pool
	handler *evacuationHandler
	all     mirror.PrefixHandlers
	logged  *test.Hook
	now     *clockwork.FakeClock
}

func newEvacuationFixture(t *testing.T) *evacuationFixture {
	t.Helper()
	log, logged := test.NewNullLogger()
	fakeClock := clockwork.NewFakeClock()
	clock := clock.NewService(clock.ServiceConfig{Clock: fakeClock})
	servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: func() float64 { return 0.5 }})
	handler := newEvacuationHandler(evacuationParts{Host: &setup.Host{Domain: "own"}, Pool: servers, Clock: clock, Log: log, Metrics: metrics.NewRegistry()})
	return &evacuationFixture{t: t, pool: servers, handler: handler, all: evacuationPrefixes(handler, newRegistryHandler(servers, clock, log)), logged: logged, now: fakeClock}
}

// entries returns the entries of servers in the zones "a" and "b", and of the evacuations
// of zones.
func (fixture *evacuationFixture) entries(era store.Era, zones ...string) []store.Entry {
	fixture.t.Helper()
	var entries []store.Entry
	for index, zone := range []string{"a", "b"} {
		value := strings.Replace(serverEntry(fmt.Sprintf("10.0.0.%d:80", index+1)), `"zone":"a"`, `"zone":"`+zone+`"`, 1)
		entries = append(entries, storedEntry(fixture.t, platform.RegistryPrefix+zone, value, era, int64(index+1)))
	}
	for index, zone := range zones {
		entries = append(entries, storedEntry(fixture.t, platform.EvacuationPrefix+zone, "\xff{", era, int64(index+10)))
	}
	return entries
}

// usable returns the servers that may be sent requests.
func (fixture *evacuationFixture) usable() string {
	var ids []string
	for _, server := range fixture.pool.Servers(fixture.now.Now()) {
		if fixture.pool.Usable(server, fixture.now.Now()) {
			ids = append(ids, string(server.ID))
		}
	}
	return strings.Join(ids, " ")
}

func evacuationRemoval(zone string, revision store.Revision) store.Entry {
	return store.NewEntry(store.EntryConfig{Key: platform.EvacuationPrefix + zone, Revision: revision, Deleted: true})
}

// TestEvacuationsFollowTheirKeys guards against evacuations that do not begin or end with
// their key, whatever its value, and against names that are those of no failure domain.
func TestEvacuationsFollowTheirKeys(t *testing.T) {
	g := NewWithT(t)
	fixture := newEvacuationFixture(t)
	fixture.all.Replaced(fixture.entries(0))
	g.Expect(fixture.usable()).To(Equal("a b"))
	fixture.all.Changed(fixture.entries(0, "a")[2:])
	g.Expect(fixture.usable()).To(Equal("b"))
	fixture.all.Changed(fixture.entries(0, "a")[2:])
	fixture.all.Lost(fixture.now.Now())
	fixture.all.Regained(fixture.now.Now())
	g.Expect(fixture.usable()).To(Equal("b"), "the service was not reachable for a time")
	fixture.all.Changed([]store.Entry{evacuationRemoval("a", 20)})
	g.Expect(fixture.usable()).To(Equal("a b"))
	g.Expect(countEvents(fixture.logged, "zoneEvacuated")).To(Equal(1))
	g.Expect(countEvents(fixture.logged, "zoneReturned")).To(Equal(1))
	fixture.all.Replaced(fixture.entries(0, "b"))
	g.Expect(fixture.usable()).To(Equal("a"))
	fixture.all.Replaced(fixture.entries(0))
	g.Expect(fixture.usable()).To(Equal("a b"), "the key was removed while the history was dropped")
	fixture.all.Changed(fixture.entries(0, "", "A", "a/", "nowhere", strings.Repeat("x", 1000), "own")[2:])
	g.Expect(fixture.usable()).To(Equal("a b"))
	fixture.handler.expire(fixture.now.Now())
	g.Expect(countEvents(fixture.logged, "evacuationIgnored")).To(Equal(5), "each name once, and not that of the own zone")
}

// TestNoServerOfAnEvacuatedZoneIsUsableAtStart guards against requests in the moment between
// the registry and the evacuations when an entry starts.
func TestNoServerOfAnEvacuatedZoneIsUsableAtStart(t *testing.T) {
	g := NewWithT(t)
	fixture := newEvacuationFixture(t)
	usable := []string{}
	watched := mirror.PrefixHandlers{}
	for _, each := range fixture.all {
		watched = append(watched, each, mirror.PrefixHandler{Prefix: "none", Handler: replaceWatcher{func() { usable = append(usable, fixture.usable()) }}})
	}
	watched.Replaced(fixture.entries(0, "a"))
	g.Expect(usable).To(Equal([]string{"", "b", "b"}))
	g.Expect(countEvents(fixture.logged, "zoneEvacuated")).To(Equal(1))
	g.Expect(countEvents(fixture.logged, "evacuationIgnored")).To(BeZero())
}

// replaceWatcher calls replaced when everything is read again.
type replaceWatcher struct{ replaced func() }

// Replaced implements [mirror.Handler].
func (replaceWatcher replaceWatcher) Replaced([]store.Entry) { replaceWatcher.replaced() }

// Changed implements [mirror.Handler].
func (replaceWatcher) Changed([]store.Entry) {}

// Lost implements [mirror.Handler].
func (replaceWatcher) Lost(time.Time) {}

// Regained implements [mirror.Handler].
func (replaceWatcher) Regained(time.Time) {}

// TestEvacuationsOutlastRestorations guards against requests to an evacuated zone after the
// service was restored from a copy of before the operators' request, and against a zone that
// stays unused for ever as the service knows nothing that could be removed.
func TestEvacuationsOutlastRestorations(t *testing.T) {
	g := NewWithT(t)
	fixture := newEvacuationFixture(t)
	fixture.all.Replaced(fixture.entries(0, "a"))
	fixture.all.Replaced(fixture.entries(1))
	g.Expect(fixture.usable()).To(Equal("b"))
	fixture.now.Advance(evacuationRetention - time.Second)
	fixture.handler.expire(fixture.now.Now())
	fixture.all.Replaced(fixture.entries(1))
	g.Expect(fixture.usable()).To(Equal("b"), "the same copy is read again")
	fixture.now.Advance(time.Second)
	fixture.handler.expire(fixture.now.Now())
	g.Expect(fixture.usable()).To(Equal("a b"))
	g.Expect(countEvents(fixture.logged, "evacuationRetained")).To(Equal(1))
	fixture.all.Changed(fixture.entries(1, "a")[2:])
	fixture.all.Replaced(nil)
	g.Expect(fixture.handler.pool.Evacuated(names.FailureDomain("a"))).To(BeTrue(), "the service has lost all keys")
	fixture.all.Changed(fixture.entries(1, "a")[2:])
	fixture.now.Advance(2 * evacuationRetention)
	fixture.handler.expire(fixture.now.Now())
	g.Expect(fixture.handler.pool.Evacuated("a")).To(BeTrue(), "the key was written again")
	fixture.all.Replaced(fixture.entries(2))
	fixture.all.Changed([]store.Entry{evacuationRemoval("a", fixture.entries(2)[0].Revision()+50)})
	g.Expect(fixture.handler.pool.Evacuated("a")).To(BeFalse(), "the key was written and removed after the restoration")
}

// TestRetainedEvacuationsWaitForTheService guards against requests to an evacuated zone whose key
// was lost in a restoration, as the time in which operators can write it again passes while the
// service does not answer.
func TestRetainedEvacuationsWaitForTheService(t *testing.T) {
	g := NewWithT(t)
	fixture := newEvacuationFixture(t)
	fixture.all.Replaced(fixture.entries(0, "a"))
	fixture.all.Replaced(fixture.entries(1))
	fixture.now.Advance(evacuationRetention / 2)
	fixture.all.Lost(fixture.now.Now())
	fixture.now.Advance(2 * evacuationRetention)
	fixture.handler.expire(fixture.now.Now())
	g.Expect(fixture.handler.pool.Evacuated("a")).To(BeTrue(), "the service is away")
	fixture.all.Regained(fixture.now.Now())
	fixture.now.Advance(evacuationRetention - time.Second)
	fixture.handler.expire(fixture.now.Now())
	g.Expect(fixture.handler.pool.Evacuated("a")).To(BeTrue(), "it has just come back")
	fixture.now.Advance(time.Second)
	fixture.handler.expire(fixture.now.Now())
	g.Expect(fixture.handler.pool.Evacuated("a")).To(BeFalse())
}

// TestEvacuationsArriveByTheWatch guards against evacuation keys that the entry's mirror of
// the service does not deliver.
func TestEvacuationsArriveByTheWatch(t *testing.T) {
	g := NewWithT(t)
	fakeStore := newFakeStore()
	fakeStore.put("servers/i-1", serverEntry("10.0.0.1:80"))
	fakeStore.put("op/evacuate/a", "")
	servers, _ := followRegistry(t, fakeStore)
	usable := func() bool {
		listed := servers.Servers(time.Now())
		return len(listed) == 1 && servers.Usable(listed[0], time.Now())
	}
	g.Eventually(listedServers(servers), 5*time.Second).Should(Equal([]string{"i-1"}))
	g.Expect(usable()).To(BeFalse())
	fakeStore.remove("op/evacuate/a")
	g.Eventually(usable, 5*time.Second).Should(BeTrue())
	fakeStore.put("op/evacuate/a", `{"by":"operator"}`)
	g.Eventually(usable, 5*time.Second).Should(BeFalse())
}
