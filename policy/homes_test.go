package policy_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
)

// TestHomes guards against requests that leave the homes of their route or account, and
// against restrictions where nobody asked for one.
func TestHomes(t *testing.T) {
	regions := policy.Regions{Own: "north", Domains: map[names.FailureDomain]names.Region{"n-a": "north", "s-a": "south", "s-b": "south", "": "south", "x": ""}}
	cases := []struct {
		name     string
		route    []names.Region
		account  []names.Region
		confined bool
		domains  []names.FailureDomain
	}{
		{name: "none"},
		{name: "empty lists", route: []names.Region{}, account: []names.Region{}},
		{name: "of the route", route: []names.Region{"south"}, confined: true, domains: []names.FailureDomain{"s-a", "s-b"}},
		{name: "of the account", account: []names.Region{"north"}, confined: true, domains: []names.FailureDomain{"n-a"}},
		{name: "of both", route: []names.Region{"north", "south"}, account: []names.Region{"south", "east"}, confined: true, domains: []names.FailureDomain{"s-a", "s-b"}},
		{name: "without a common one", route: []names.Region{"north"}, account: []names.Region{"south"}, confined: true},
		{name: "none that exists", route: []names.Region{"east"}, confined: true},
		{name: "one that exists", route: []names.Region{"east", "north"}, confined: true, domains: []names.FailureDomain{"n-a"}},
		{name: "a region without a name", route: []names.Region{""}, confined: true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			homes, confined := policy.Homes(&policy.Route{Homes: each.route}, &policy.Account{Homes: each.account})
			g.Expect(confined).To(Equal(each.confined))
			g.Expect(regions.Within(homes)).To(Equal(each.domains))
		})
	}
	g := NewWithT(t)
	homes, confined := policy.Homes(&policy.Route{Homes: []names.Region{"south"}}, nil)
	g.Expect(confined).To(BeTrue(), "a request without an account")
	g.Expect(homes).To(Equal([]names.Region{"south"}))
	for region, exists := range map[names.Region]bool{"north": true, "south": true, "east": false, "": false} {
		g.Expect(regions.Exists(region)).To(Equal(exists), "%q", region)
	}
	alone := policy.Regions{Own: "west"}
	g.Expect([]bool{alone.Exists("west"), alone.Exists("")}).To(Equal([]bool{true, false}))
	g.Expect(alone.Within([]names.Region{"west"})).To(BeEmpty(), "the settings map no zone")
}
