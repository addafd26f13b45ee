package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/share"
)

// TestRelayKnowsTheRegionsOfTheSettings guards against homes that are refused although the
// settings map zones to them.
func TestRelayKnowsTheRegionsOfTheSettings(t *testing.T) {
	cases := []struct {
		home   names.Region
		status int
	}{
		// A body that is too large is refused once the homes are found.
		{home: "viti-south", status: http.StatusRequestEntityTooLarge},
		{home: "viti-west", status: http.StatusServiceUnavailable},
		{home: "own", status: http.StatusServiceUnavailable},
	}
	for _, each := range cases {
		t.Run(string(each.home), func(t *testing.T) {
			g := NewWithT(t)
			log, logged := test.NewNullLogger()
			clock := clock.NewService(clock.ServiceConfig{})
			relay := newRelay(relayParts{
				Host: &setup.Host{Region: "own", Regions: map[string]string{"suva-a": "viti-south"}}, Pool: pool.New(pool.Config{}), Trunk: newTrunk(clock, metrics.NewRegistry()),
				Limiter: share.NewLimiter(), Tracker: crash.NewTracker(), Clock: clock, Log: log, Metrics: metrics.NewRegistry(),
			})
			relay.SetPolicy(policy.NewSnapshot(policy.SnapshotConfig{
				Version: 1, Limits: policy.Limits{BodyBytes: 1},
				Routes: []*policy.Route{{
					Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Targets: []policy.Target{{Service: "s", Weight: 1}}, Homes: []names.Region{each.home},
				}},
			}))
			recorder := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("long"))
			request.Host = "h"
			relay.ServeHTTP(recorder, request)
			g.Expect(recorder.Code).To(Equal(each.status))
			g.Expect(countEvents(logged, "regionUnknown")).To(Equal(map[names.Region]int{"viti-west": 1}[each.home]))
		})
	}
}
