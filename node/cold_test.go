package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/store"
)

// TestColdServersAreFollowed guards against cold times in the policy or the registry that
// do not reach the pool, and against invalid ones that nobody is told of.
func TestColdServersAreFollowed(t *testing.T) {
	g := NewWithT(t)
	log, hook := test.NewNullLogger()
	clock := clock.NewService(clock.ServiceConfig{})
	registry := metrics.NewRegistry()
	servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: func() float64 { return 0 }})
	policies := &policyHandler{relay: relay.New(relay.Config{}), pool: servers, clock: clock, log: log}
	handler := newRegistryHandler(servers, clock, log)
	handler.metrics = registry
	entry := func(id, cold string, number int64) store.Entry {
		return storedEntry(t, platform.RegistryPrefix+id, fmt.Sprintf(`{"service":"notes","address":"10.0.0.1:80","slots":8,"state":"ready","born":1%s}`, cold), 0, number)
	}
	policies.Replaced([]store.Entry{storedEntry(t, platform.PolicyKey, `{"version":1,"services":[{"name":"notes","coldStartS":3,"coldPerS":19},{"name":"other","coldStartS":-1,"coldPerS":2}]}`, 0, 1)})
	found := false
	for _, logged := range hook.AllEntries() {
		found = found || logged.Data["event"] == int(event.ColdStartInvalid.Number())
	}
	g.Expect(found).To(BeTrue())
	handler.Replaced([]store.Entry{entry("first", "", 2), entry("cold", `,"coldLeftMs":2000`, 3)})
	handler.Changed([]store.Entry{entry("new", "", 4), entry("wrong", `,"coldLeftMs":-5`, 5), entry("warm", `,"coldLeftMs":0`, 6)})
	var cold []string
	for server, perSecond := range servers.ColdServers(clock.Now()) {
		g.Expect(perSecond).To(Equal(19.0))
		cold = append(cold, string(server.ID))
	}
	g.Expect(cold).To(ConsistOf("cold", "new", "wrong"))
	g.Expect(metrics.GetOrRegisterCounter(coldIgnoredMetric, registry).Count()).To(Equal(int64(1)))
	coldLog := newColdLog(registry, log)
	coldLog.update(servers.ColdServers(clock.Now()))
	g.Expect(hook.LastEntry().Message).To(Equal(event.ServerCold.Name()))
	g.Expect(metrics.GetOrRegisterGauge(coldServersMetric, registry).Value()).To(Equal(int64(3)))
	coldLog.update(nil)
	g.Expect(hook.LastEntry().Message).To(Equal(event.ServerWarm.Name()))
}
