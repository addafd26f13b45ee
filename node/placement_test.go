package node

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/place"
	"github.com/basilkeel/basilkeel/route"
)

// Guards against entries that route by the first plan alone, which has targets only for the
// servers that had reported to the planner by then, while the others go on serving.
func TestServersWithoutTargetKeepTheirModels(t *testing.T) {
	assignment := place.Assignment{Weights: ledger.Weights{Item: ledger.Item{Model: "notes"}}}
	cases := []struct {
		name    string
		targets []place.Target
		want    []names.BackendServer
		polled  []names.BackendServer
	}{
		{name: "no target", want: []names.BackendServer{"i-1", "i-2", "i-3"}, polled: []names.BackendServer{"i-1", "i-2", "i-3", "i-5"}},
		{
			name: "one target", targets: []place.Target{{Server: "i-1", Changed: 1, Items: []place.Assignment{assignment}}},
			want: []names.BackendServer{"i-1", "i-2", "i-3"}, polled: []names.BackendServer{"i-2", "i-3", "i-5"},
		},
		{
			name: "a target without the model", targets: []place.Target{{Server: "i-1", Changed: 1, Items: []place.Assignment{assignment}}, {Server: "i-2", Changed: 1}},
			want: []names.BackendServer{"i-1", "i-3"}, polled: []names.BackendServer{"i-3", "i-5"},
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			var members []fleet.Member
			for _, server := range []names.BackendServer{"i-1", "i-2", "i-3", "i-4", "i-5"} {
				members = append(members, fleet.NewMember(fleet.MemberConfig{Instance: names.Instance(server), Role: fleet.RoleAgent, State: fleet.StateLive, Server: server}))
			}
			source := fleet.NewAtomicSource()
			source.Replace(fleet.NewView(members))
			placement, _ := newPlan(source)
			for _, server := range []names.BackendServer{"i-1", "i-2", "i-3"} {
				placement.models[server] = []string{"notes"}
			}
			placement.models["i-4"] = nil
			placement.setPlan(place.NewPlan(place.PlanConfig{Epoch: 1, Version: 1, Targets: each.targets}))
			var servers []names.BackendServer
			for _, replica := range placement.Replicas(route.Target{Model: "notes"}) {
				servers = append(servers, replica.Server)
			}
			g.Expect(servers).To(ConsistOf(each.want))
			g.Expect(placement.unplanned()).To(ConsistOf(each.polled), "polled are those without a target, unless they have said that they hold nothing")
		})
	}
}
