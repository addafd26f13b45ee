package stand_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/plat"
	"github.com/basilkeel/basilkeel/stand"
)

// request sends body to a handler and returns the status and the answer.
func request(handler http.Handler, method, path, body string) (int, string) {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	answer, _ := io.ReadAll(recorder.Result().Body)
	return recorder.Code, string(answer)
}

func TestKVControl(t *testing.T) {
	g := NewWithT(t)
	kv := stand.NewKV(stand.KVConfig{})
	code, _ := request(kv.Control(), http.MethodPost, "/faults", `{"hang":true,"delayMillis":5,"loseShare":0.5}`)
	g.Expect(code).To(Equal(http.StatusOK))
	g.Expect(kv.Faults()).To(Equal(stand.KVFaults{Hang: true, Delay: 5 * time.Millisecond, LoseShare: 0.5}))
	code, _ = request(kv.Control(), http.MethodPost, "/faults", `{"hung":true}`)
	g.Expect(code).To(Equal(http.StatusBadRequest))
	code, answer := request(kv.Control(), http.MethodGet, "/counts", "")
	g.Expect(code).To(Equal(http.StatusOK))
	g.Expect(answer).To(MatchJSON(`{"calls":{},"total":0,"writes":0,"watching":0,"throttled":0}`))
}

func TestListShowsChangesAfterLag(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	instanceListService := stand.NewInstanceListService(stand.InstanceListServiceConfig{Clock: clock, Lag: time.Second})
	code, _ := request(instanceListService.Control(), http.MethodPost, "/instances",
		`{"name":"e1","address":"127.0.0.1:1","role":"entry","failureDomain":"a","region":"r","leaving":true}`)
	g.Expect(code).To(Equal(http.StatusNoContent))
	clock.Advance(time.Second / 2)
	instanceListService.Put(plat.Instance{Name: "e2"})
	g.Expect(instanceListService.Current().Instances).To(BeEmpty())
	clock.Advance(time.Second / 2)
	_, answer := request(instanceListService.Control(), http.MethodGet, "/instances", "")
	var shown plat.InstanceList
	g.Expect(json.Unmarshal([]byte(answer), &shown)).To(Succeed())
	g.Expect(shown.Revision).To(BeEquivalentTo(2))
	g.Expect(shown.Instances).To(HaveLen(1))
	g.Expect(shown.Instances[0].Leaving).To(BeTrue())
	instanceListService.Remove("e1")
	clock.Advance(time.Second)
	g.Expect(instanceListService.Current().Instances).To(Equal([]plat.Instance{{Name: "e2"}}))
	instanceListService.SetDown(true)
	code, _ = request(instanceListService.Control(), http.MethodGet, "/instances", "")
	g.Expect(code).To(Equal(http.StatusServiceUnavailable))
}

func TestWeightsKeepRateAndSlowDown(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	weightStore := stand.NewWeightStore(stand.WeightStoreConfig{
		Clock: clock, LoadsPerSecond: 1, ConcurrentLoads: 1, ModelLoadTime: 1500 * time.Millisecond,
	})
	delivered := make(chan error, 2)
	load := func() { delivered <- weightStore.Load(context.Background(), plat.WeightLoad{Model: "m"}) }
	go load()
	g.Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
	go load()
	g.Expect(clock.BlockUntilContext(context.Background(), 2)).To(Succeed())
	clock.Advance(time.Second) // the second load starts and shares the store
	g.Expect(clock.BlockUntilContext(context.Background(), 2)).To(Succeed())
	clock.Advance(500 * time.Millisecond)
	g.Eventually(delivered, "1m").Should(Receive(BeNil()))
	clock.Advance(2 * time.Second)
	g.Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
	g.Expect(delivered).NotTo(Receive())
	clock.Advance(500 * time.Millisecond)
	g.Eventually(delivered, "1m").Should(Receive(BeNil()))
	g.Expect(weightStore.Loads()).To(BeEquivalentTo(2))
}
