package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/sched"
)

// regions is the geography of the fixtures: servers of the failure domain "c" are in no
// region.
var regions = policy.Regions{Own: "north", Domains: map[names.FailureDomain]names.Region{"a": "north", "b": "south"}}

// newHomesFixture returns a fixture with servers in the failure domains "a", "b", "c" and
// "", and the requests that reached each.
func newHomesFixture(t *testing.T, handle http.HandlerFunc, routes ...*policy.Route) (*fixture, map[names.FailureDomain]*requestLog) {
	t.Helper()
	fixture := newConfiguredFixture(t, plainCodec{}, func(config *relay.Config) { config.Regions = regions }, routes...)
	seen := map[names.FailureDomain]*requestLog{}
	for _, domain := range []names.FailureDomain{"a", "b", "c", ""} {
		for _, service := range []names.Service{"desk", "notes"} {
			id := names.BackendServer(fmt.Sprintf("%s-%s", service, domain))
			log := fixture.server(id, service, handle)
			for _, server := range fixture.pool.Servers(time.Now()) {
				if server.ID == id {
					moved := *server
					moved.Domain = domain
					fixture.pool.Put(&moved)
				}
			}
			if service == "desk" {
				seen[domain] = log
			}
		}
	}
	return fixture, seen
}

// reached returns the failure domains with servers that requests have reached.
func reached(seen map[names.FailureDomain]*requestLog) []names.FailureDomain {
	var domains []names.FailureDomain
	for domain, log := range seen {
		if log.count() > 0 {
			domains = append(domains, domain)
		}
	}
	return domains
}

// TestRequestsStayInTheirHomes guards against requests that reach a server outside of the
// homes of their route and account, also when those inside refuse them or have failed.
func TestRequestsStayInTheirHomes(t *testing.T) {
	cases := []struct {
		name    string
		route   []names.Region
		account []names.Region
		want    []names.FailureDomain
	}{
		{name: "of the route", route: []names.Region{"south"}, want: []names.FailureDomain{"b"}},
		{name: "of the account", account: []names.Region{"north"}, want: []names.FailureDomain{"a"}},
		{name: "of both", route: []names.Region{"north", "south"}, account: []names.Region{"south"}, want: []names.FailureDomain{"b"}},
		{name: "several", route: []names.Region{"north", "south", "east"}, want: []names.FailureDomain{"a", "b"}},
		{name: "without a common one", route: []names.Region{"north"}, account: []names.Region{"south"}},
		{name: "one that does not exist", route: []names.Region{"east"}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			home := route("order", policy.KindSafe, "desk")
			home.Homes = each.route
			refuse := func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Not-Run", "1")
				writer.WriteHeader(http.StatusServiceUnavailable)
			}
			fixture, seen := newHomesFixture(t, refuse, home)
			fixture.relay.SetPolicy(newSnapshot(&policy.Account{Name: "crew", Keys: []string{"secret"}, Homes: each.account}, home))
			for range 6 {
				result := fixture.call(http.MethodPost, "/order/1", "body", nil)
				g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
				if len(each.want) == 0 {
					g.Expect(result.body).To(ContainSubstring("noHome"))
					g.Expect(result.header.Get("Retry-After")).NotTo(BeEmpty())
				}
			}
			g.Expect(reached(seen)).To(ConsistOf(each.want))
			faults := 0
			for _, entry := range fixture.logs.AllEntries() {
				if entry.Message == "homesEmpty" {
					faults++
				}
			}
			g.Expect(faults).To(Equal(1-min(len(each.want), 1)), "a fault is logged once")
		})
	}
}

// TestRequestsWithoutHomesGoAnywhere guards against restrictions of other requests.
func TestRequestsWithoutHomesGoAnywhere(t *testing.T) {
	g := NewWithT(t)
	home := route("home", policy.KindSafe, "desk")
	home.Homes = []names.Region{"south"}
	fixture, seen := newHomesFixture(t, ok, route("order", policy.KindSafe, "desk"), home)
	fixture.pool.Remove("desk-a", time.Now())
	fixture.pool.Remove("desk-b", time.Now())
	g.Expect(fixture.call(http.MethodPost, "/order/1", "", nil).status).To(Equal(http.StatusOK))
	g.Expect(fixture.call(http.MethodPost, "/home/1", "", nil).body).To(ContainSubstring("noServer"))
	g.Expect(reached(seen)).To(HaveLen(1))
}

// TestResumedStreamsStayInTheirHomes guards against streams that continue outside of their
// homes.
func TestResumedStreamsStayInTheirHomes(t *testing.T) {
	g := NewWithT(t)
	home := route("draft", policy.KindStream, "desk")
	home.Resumable, home.Homes = true, []names.Region{"south"}
	fixture, seen := newHomesFixture(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(writer, events(1, 2))
		_ = http.NewResponseController(writer).Flush()
		hijack(writer).Close()
	}, home)
	g.Expect(fixture.call(http.MethodPost, "/draft/1", "", nil).err).To(HaveOccurred())
	g.Expect(reached(seen)).To(Equal([]names.FailureDomain{"b"}))
}

// TestConfinedRequestsWaitWhereALoadMayHelp guards against requests that wait in vain as
// their model is held outside of their homes, where copies suffice for all others, and
// against those that do not wait for the first copy.
func TestConfinedRequestsWaitWhereALoadMayHelp(t *testing.T) {
	cases := []struct {
		name   string
		holder names.BackendServer
		loaded names.BackendServer
		waited []names.Model
		status int
	}{
		{name: "held outside", holder: "notes-a", status: http.StatusServiceUnavailable},
		{name: "held nowhere, then loaded inside", loaded: "notes-b", waited: []names.Model{"other"}, status: http.StatusOK},
		{name: "held nowhere, then loaded outside", loaded: "notes-a", waited: []names.Model{"other"}, status: http.StatusServiceUnavailable},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			home := route("draft", policy.KindStream, "notes")
			home.Homes, home.Timeout = []names.Region{"south"}, time.Minute
			fixture, _ := newHomesFixture(t, ok, home)
			load := func(id names.BackendServer) {
				for _, server := range fixture.pool.Servers(time.Now()) {
					if server.ID == id {
						holder := *server
						holder.Models = []names.Model{"other"}
						fixture.pool.Put(&holder)
					}
				}
			}
			load(each.holder)
			fixture.coordinator.onWait = func(names.Model) { load(each.loaded) }
			result := fixture.call(http.MethodPost, "/draft/1", "", map[string]string{"Model": "other"})
			g.Expect(result.status).To(Equal(each.status))
			g.Expect(fixture.coordinator.waitedFor).To(Equal(each.waited))
			if each.status != http.StatusOK {
				g.Expect(result.body).To(ContainSubstring("modelNotLoaded"))
				g.Expect(result.header.Get("Retry-After")).NotTo(BeEmpty())
			}
		})
	}
}

// placingCoordinator schedules requests on one engine, or finds no copy.
type placingCoordinator struct {
	*fakeCoordinator
	server names.BackendServer
	// excluded are those of the last request.
	excluded []names.BackendServer
}

// Place implements [relay.Coordinator].
func (coordinator *placingCoordinator) Place(_ context.Context, _ names.Service, request sched.Request) (sched.Decision, error) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.excluded = request.Excluded
	if coordinator.server == "" {
		return sched.NoCopy{}, nil
	}
	return sched.Placed{Server: coordinator.server}, nil
}

// TestReservationsOutsideOfHomesAreNotUsed guards against requests that are refused although an
// engine in their homes holds the model, as the coordinator offers one outside of them: it may know
// of copies that the entry does not know yet.
func TestReservationsOutsideOfHomesAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	home, slow := route("draft", policy.KindStream, "notes"), route("slow", policy.KindStream, "notes")
	home.Homes, home.GapObjective = []names.Region{"south"}, time.Second
	slow.Objective, slow.GapObjective = 10*home.Objective, time.Second
	fixture, _ := newHomesFixture(t, ok, home, slow)
	coordinator := &placingCoordinator{fakeCoordinator: fixture.coordinator, server: "notes-a"}
	fixture.relay.SetCoordinator(coordinator)
	result := fixture.call(http.MethodPost, "/draft/1", "", map[string]string{"Model": "notes"})
	g.Expect(result.status).To(Equal(http.StatusOK))
	g.Expect(coordinator.excluded).To(ContainElement(names.BackendServer("notes-a")))
}

// TestScheduledRequestsStayInTheirHomes guards against reservations outside of a request's
// homes, and against requests that wait for a model that no server in their homes can hold.
func TestScheduledRequestsStayInTheirHomes(t *testing.T) {
	cases := []struct {
		name   string
		placed names.BackendServer
		model  string
		reason string
	}{
		{name: "a reservation outside", placed: "notes-a", model: "notes", reason: "noServer"},
		{name: "no server inside", model: "other", reason: "modelNotLoaded"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			home, slow := route("draft", policy.KindStream, "notes"), route("slow", policy.KindStream, "notes")
			home.Homes, home.GapObjective = []names.Region{"south"}, time.Second
			slow.Objective, slow.GapObjective = 10*home.Objective, time.Second
			fixture, _ := newHomesFixture(t, func(http.ResponseWriter, *http.Request) { t.Error("a request reached a server") }, home, slow)
			coordinator := &placingCoordinator{fakeCoordinator: fixture.coordinator, server: each.placed}
			fixture.relay.SetCoordinator(coordinator)
			fixture.pool.Reject("notes-b", time.Now())
			result := fixture.call(http.MethodPost, "/draft/1", "", map[string]string{"Model": each.model})
			g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(result.body).To(ContainSubstring(each.reason))
			g.Expect(fixture.coordinator.waitedFor).To(BeEmpty())
			if each.model == "notes" {
				g.Expect(coordinator.excluded).To(ContainElements(names.BackendServer("notes-a"), names.BackendServer("notes-c"), names.BackendServer("notes-")))
			} else {
				g.Expect(coordinator.excluded).To(BeEmpty(), "no engine holds the model")
			}
		})
	}
}
