package coord

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/wire"
)

// TestPlansKnowColdServers guards against plans that count on a cold server as on a warm one.
func TestPlansKnowColdServers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	servers := []*pool.Server{{ID: "cold", Incarnation: 1}, {ID: "both", Incarnation: 1}, {ID: "declaring", Incarnation: 1}, {ID: "warm", Incarnation: 1}}
	term := &term{issuer: permit.NewIssuer()}
	for id, perSecond := range map[names.BackendServer]float64{"both": 2, "declaring": 50} {
		term.issuer.Register().Observe(permit.Server{ID: id, Incarnation: 1}, permit.Limited{PerSecond: perSecond}, now, now)
	}
	coordinator := &Coordinator{}
	g.Expect(coordinator.limitedRates(term, servers, now)).To(HaveLen(2))
	coordinator.config.ColdRate = func(server *pool.Server, _ time.Time) (float64, bool) {
		return 19, server.ID == "cold" || server.ID == "both"
	}
	g.Expect(coordinator.limitedRates(term, servers, now)).To(Equal(map[names.BackendServer]float64{"cold": 19, "both": 2, "declaring": 50}))
}

// TestApplicationsForColdServersAreChecked guards against figures of an entry that make the
// coordinator limit a server for ever or not at all.
func TestApplicationsForColdServersAreChecked(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name      string
		perSecond float64
		left      int64
		want      permit.Cold
	}{
		{name: "not cold"},
		{name: "cold", perSecond: 19, left: 2000, want: permit.Cold{PerSecond: 19, Until: now.Add(2 * time.Second)}},
		{name: "for ever", perSecond: 19, left: math.MaxInt64, want: permit.Cold{PerSecond: 19, Until: now.Add(maxColdLeft)}},
		{name: "negative time", perSecond: 19, left: -1},
		{name: "negative rate", perSecond: -1, left: 2000},
		{name: "no number", perSecond: math.NaN(), left: 2000},
		{name: "infinite", perSecond: math.Inf(1), left: 2000},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			request := &wire.CoordPermitRequest{ColdPerSecond: each.perSecond, ColdLeftMilliseconds: each.left}
			g.Expect(decodeApplication(request, now).Cold).To(Equal(each.want))
		})
	}
	g := NewWithT(t)
	application := permit.Application{Yields: true, Cold: permit.Cold{PerSecond: 3, Until: now.Add(1500 * time.Millisecond)}}
	application.Statement.Server = permit.Server{ID: "s", Incarnation: 7}
	decoded := decodeApplication(encodeApplication(application, now), now)
	g.Expect(decoded.Statement.Server).To(Equal(application.Statement.Server))
	g.Expect(decoded.Cold.PerSecond).To(Equal(3.0))
	g.Expect(decoded.Cold.Until).To(BeTemporally(">=", application.Cold.Until))
}
