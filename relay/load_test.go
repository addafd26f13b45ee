package relay_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/policy"
)

// TestReportedLoadsCountWhereRequestsAreScheduled guards against loads that servers state
// and the choice of a server does not use, and against choices that change in deployments
// without scheduling or for engines.
func TestReportedLoadsCountWhereRequestsAreScheduled(t *testing.T) {
	cases := []struct {
		name      string
		path      string
		load      string
		scheduled bool
		elsewhere bool
	}{
		{name: "a full server", path: "/order/1", load: "40", scheduled: true, elsewhere: true},
		{name: "a full server of a deployment without scheduling", path: "/order/1", load: "40"},
		{name: "a full engine", path: "/batch/1", load: "40", scheduled: true},
		{name: "a load that cannot be read", path: "/order/1", load: "odd", scheduled: true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			urgent, slow := route("draft", policy.KindStream, "notes"), route("slow", policy.KindStream, "notes")
			if each.scheduled {
				urgent.GapObjective, slow.GapObjective, slow.Objective = time.Second, time.Second, 10*urgent.Objective
			}
			fixture := newFixture(t, urgent, slow, route("order", policy.KindSafe, "desk"), route("batch", policy.KindSafe, "notes"))
			state := func(writer http.ResponseWriter, request *http.Request) {
				writer.Header().Set("Load", each.load)
				ok(writer, request)
			}
			near := fixture.server("desk-1", "desk", state)
			far := fixture.farServer("desk-2", "desk", ok)
			if each.path == "/batch/1" {
				near, far = fixture.server("notes-1", "notes", state), fixture.farServer("notes-2", "notes", ok)
			}
			// The second request of a pair is sent while the load that the first one got counts,
			// unless the machine pauses.
			pair := func() bool {
				before := far.count()
				for range 2 {
					g.Expect(fixture.call(http.MethodPost, each.path, "", nil).status).To(Equal(http.StatusOK))
				}
				return far.count() > before
			}
			if each.elsewhere {
				g.Eventually(pair, 10*time.Second).Should(BeTrue())
			} else {
				g.Expect(pair()).To(BeFalse())
			}
			g.Expect(near.count()).To(BeNumerically(">", 0))
		})
	}
}
