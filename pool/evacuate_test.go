package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// TestServersOfEvacuatedDomainsGetNothing guards against requests to evacuated servers,
// both new ones and those for which a server was chosen before, and against servers that
// stay unused after the evacuation.
func TestServersOfEvacuatedDomainsGetNothing(t *testing.T) {
	near, far := engine("e1", "m"), engine("e2", "m")
	far.Domain = "b"
	nowhere := engine("e3", "m")
	nowhere.Domain = ""
	cases := []struct {
		name      string
		servers   []*pool.Server
		evacuated []names.FailureDomain
		want      string
		usable    bool
	}{
		{name: "another domain has a server", servers: []*pool.Server{near, far}, evacuated: []names.FailureDomain{"a"}, want: "e2"},
		{name: "all servers are evacuated", servers: []*pool.Server{near, far}, evacuated: []names.FailureDomain{"a", "b"}, want: "no server"},
		{name: "another domain is evacuated", servers: []*pool.Server{near}, evacuated: []names.FailureDomain{"b", "nowhere"}, want: "e1", usable: true},
		{name: "no name", servers: []*pool.Server{nowhere}, evacuated: []names.FailureDomain{""}, want: "e3"},
		{name: "none", servers: []*pool.Server{near, far}, want: "e1", usable: true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			pool := newPool(each.servers...)
			changed := pool.Changed()
			pool.SetEvacuated(each.evacuated, epoch)
			g.Expect(changed).To(BeClosed())
			g.Expect(picked(pool, query, epoch)).To(Equal(each.want))
			g.Expect(pool.Usable(near, epoch)).To(Equal(each.usable))
			_, usable := pool.UsableServer("e1", 1, epoch)
			g.Expect(usable).To(Equal(each.usable))
			if each.servers[0] == near {
				excluded := pool.Unusable(query, epoch).Excluded
				g.Expect(excluded).To(Or(ContainElement(names.BackendServer("e1")), Satisfy(func([]names.BackendServer) bool { return each.usable })))
			}
			g.Expect(pool.Servers(epoch)).To(HaveLen(len(each.servers)), "they are not gone")
			pool.SetEvacuated(nil, at(time.Second))
			g.Expect(picked(pool, query, at(time.Second))).To(Equal(string(each.servers[0].ID)))
		})
	}
}

// TestReturnTimesOfEvacuatedDomains guards against servers that are taken for warm right
// after an evacuation.
func TestReturnTimesOfEvacuatedDomains(t *testing.T) {
	g := NewWithT(t)
	pool := newPool(engine("e1", "m"))
	returnedAt := func(domain names.FailureDomain) time.Time {
		at, _ := pool.ReturnedAt(domain)
		return at
	}
	pool.SetEvacuated([]names.FailureDomain{"a", "unknown"}, epoch)
	g.Expect(returnedAt("a")).To(BeZero())
	pool.SetEvacuated([]names.FailureDomain{"a"}, at(time.Second))
	g.Expect(returnedAt("a")).To(BeZero())
	pool.SetEvacuated(nil, at(2*time.Second))
	g.Expect(returnedAt("a")).To(Equal(at(2 * time.Second)))
	pool.SetEvacuated(nil, at(3*time.Second))
	g.Expect(returnedAt("a")).To(Equal(at(2*time.Second)), "it has not been evacuated again")
	g.Expect(returnedAt("unknown")).To(BeZero())
	pool.SetEvacuated([]names.FailureDomain{"a"}, at(4*time.Second))
	g.Expect(returnedAt("a")).To(BeZero())
}
