package pool_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
)

// TestOnlyHoldersAreExcluded guards against calls to the coordinator that name each engine outside
// of a request's homes, hundreds in a large fleet, although it offers none that lacks the model.
func TestOnlyHoldersAreExcluded(t *testing.T) {
	g := NewWithT(t)
	pool := newPool(engine("e1", "m"), engine("e2", "other"), engine("e3", "m"))
	confined := query
	confined.Confined = true
	excluded := pool.Unusable(confined, epoch).Excluded
	g.Expect(excluded).To(ConsistOf(names.BackendServer("e1"), names.BackendServer("e3")))
	pool.RecordMissingModel("e3", "m", epoch)
	excluded = pool.Unusable(query, epoch).Excluded
	g.Expect(excluded).To(ConsistOf(names.BackendServer("e3")), "one that has denied to hold the model")
}

// TestConfinedQueriesGetServersOfTheirDomains guards against servers outside of a request's
// homes, also when they are the only ones, and in what the coordinator is told.
func TestConfinedQueriesGetServersOfTheirDomains(t *testing.T) {
	far, unmapped := engine("e2", "m"), engine("e3", "m")
	far.Domain, unmapped.Domain = "b", ""
	cases := []struct {
		name     string
		domains  []names.FailureDomain
		want     string
		excluded []names.BackendServer
	}{
		{name: "a far one", domains: []names.FailureDomain{"b"}, want: "e2", excluded: []names.BackendServer{"e1", "e3"}},
		{name: "one without servers", domains: []names.FailureDomain{"c"}, want: "no server", excluded: []names.BackendServer{"e1", "e2", "e3"}},
		{name: "none", want: "no server", excluded: []names.BackendServer{"e1", "e2", "e3"}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			pool := newPool(engine("e1", "m"), far, unmapped)
			confined := query
			confined.Confined, confined.Domains = true, each.domains
			g.Expect(picked(pool, confined, epoch)).To(Equal(each.want))
			excluded := pool.Unusable(confined, epoch).Excluded
			g.Expect(excluded).To(ConsistOf(each.excluded))
			pool.RecordFailure("e2", true, epoch)
			g.Expect(picked(pool, confined, epoch)).To(Equal(each.want), "also when its server is ejected")
			excluded = pool.Unusable(query, epoch).Excluded
			g.Expect(excluded).To(BeEmpty(), "other requests are not restricted")
		})
	}
}
