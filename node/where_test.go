package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/share"
)

// TestWhereEndpoint guards against explanations that are not served, that reveal keys, and
// against malformed questions that are answered.
func TestWhereEndpoint(t *testing.T) {
	log, _ := test.NewNullLogger()
	servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: func() float64 { return 0 }})
	for _, id := range []names.BackendServer{"engine-1", "engine-2"} {
		servers.Put(&pool.Server{ID: id, Service: "notes", Address: "10.0.0.1:80", Domain: "a", Slots: 4, Incarnation: 1, Models: []names.Model{"m"}})
	}
	servers.Pause("engine-2", time.Minute, time.Now())
	entry := relay.New(relay.Config{
		Codec: platform.HeaderCodec{}, Pool: servers, Limiter: share.NewLimiter(), Crashes: crash.NewTracker(), Clock: clock.NewService(clock.ServiceConfig{}),
		Log: log, Metrics: metrics.NewRegistry(), Domain: "a",
	})
	entry.SetPolicy(policy.NewSnapshot(policy.SnapshotConfig{
		Version: 1, Services: []*policy.Service{{Name: "notes", Engine: &policy.Engine{Slots: 4}}},
		Accounts: []*policy.Account{{Name: "crew", Keys: []string{"a-secret-key"}}},
		Routes: []*policy.Route{{
			Name: "draft", Host: "desk.example", Prefix: "/draft/", Kind: policy.KindStream, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1,
			Targets: []policy.Target{{Service: "notes", Weight: 1}},
		}},
	}))
	router := newReadinessRouter(func() bool { return true }, metrics.NewRegistry())
	routeWhere(router, entry.Where)
	server := httptest.NewServer(guardHandler(router, log))
	defer server.Close()
	cases := []struct {
		name   string
		method string
		query  string
		status int
		want   WhereVerdict
	}{
		{name: "by path", query: "?host=desk.example&path=/draft/1&model=m&account=crew&promptTokens=10&outputTokens=20", status: 200, want: WhereVerdict{Kind: VerdictSend, Server: "engine-1", Domain: "a"}},
		{name: "by service", query: "?service=notes&model=m", status: 200, want: WhereVerdict{Kind: VerdictSend, Server: "engine-1", Domain: "a"}},
		{name: "no route", query: "?host=desk.example&path=/other", status: 200, want: WhereVerdict{Kind: VerdictRefuse, Status: 404, Reason: "noRoute"}},
		{name: "a name that is no account", query: "?service=notes&model=m&account=a-secret-key", status: 200, want: WhereVerdict{Kind: VerdictRefuse, Status: 401, Reason: "unknownKey"}},
		{name: "neither host nor service", status: 400},
		{name: "not a number", query: "?service=notes&promptTokens=many", status: 400},
		{name: "a negative number", query: "?service=notes&outputTokens=-1", status: 400},
		{name: "another method", method: http.MethodPost, query: "?service=notes", status: 405},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			if each.method == "" {
				each.method = http.MethodGet
			}
			request, err := http.NewRequestWithContext(context.Background(), each.method, server.URL+WherePath+each.query, http.NoBody)
			g.Expect(err).NotTo(HaveOccurred())
			response, err := server.Client().Do(request)
			g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(each.status))
			g.Expect(string(body)).NotTo(ContainSubstring("secret"))
			if each.status != http.StatusOK {
				return
			}
			var report WhereReport
			g.Expect(json.Unmarshal(body, &report)).To(Succeed())
			g.Expect(report.Verdict).To(Equal(each.want))
			if each.want.Kind != VerdictSend {
				g.Expect(report.DecidedBy).To(BeEmpty(), "it is not admitted")
				g.Expect(report.Unit).To(BeEmpty())
				return
			}
			g.Expect(report.Route).To(Equal("draft"))
			g.Expect(report.DecidedBy).To(Equal("entry"))
			g.Expect(report.Unit).To(Equal(UnitLoad))
			g.Expect(report.Candidates).To(HaveLen(2))
			g.Expect(report.Candidates[0].Parts).NotTo(BeEmpty())
			g.Expect(report.Candidates[1]).To(Equal(WhereCandidate{Server: "engine-2", Excluded: "paused"}))
		})
	}
	g := NewWithT(t)
	g.Expect(servers.OwnRequests()).To(BeEmpty())
}
