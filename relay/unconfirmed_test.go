package relay_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
)

// Guards against a crash that only the entry knows of until CrashConfirmDelay has passed, and
// against a suspicion of a live server that is not withdrawn.
func TestBrokenResponseIsSuspectedAtOnce(t *testing.T) {
	for _, lives := range []bool{false, true} {
		t.Run(map[bool]string{false: "the server has ended", true: "the server answers others"}[lives], func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			fixture := newFixture(t, route("order", policy.KindUnsafe, "desk"))
			fixture.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
				if strings.HasSuffix(request.URL.Path, "/1") {
					hijack(writer).Close()
				}
			})
			fixture.call(http.MethodPost, "/order/1", "deadly", nil)
			reported := func(expected func(crash.Suspicion) bool) func() bool {
				return func() bool {
					suspicions, _ := fixture.crashes.Since(0)
					return slices.ContainsFunc(suspicions, expected)
				}
			}
			unconfirmed := func(suspicion crash.Suspicion) bool { return !suspicion.CountsAt.IsZero() && !suspicion.Withdrawn }
			g.Expect(reported(unconfirmed)()).To(BeTrue(), "before the caller has its answer")
			if lives {
				g.Expect(fixture.call(http.MethodPost, "/order/2", "other", nil).status).To(Equal(http.StatusOK))
				g.Eventually(reported(func(suspicion crash.Suspicion) bool { return suspicion.Withdrawn }), 5*time.Second).Should(BeTrue())
				fixture.crashes.Settle(time.Now().Add(time.Minute))
				g.Expect(fixture.crashes.Suspicions(time.Now())).To(BeEmpty())
				return
			}
			g.Eventually(reported(func(suspicion crash.Suspicion) bool { return suspicion.CountsAt.IsZero() }), 5*time.Second).Should(BeTrue())
		})
	}
}

// Guards against entries that each send a request once more that has crashed two servers,
// while no coordinator tells them of the third.
func TestWithoutCoordinatorTwoCrashesAreEnough(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("order", policy.KindUnsafe, "desk"))
	fixture.server("desk-1", "desk", func(http.ResponseWriter, *http.Request) {})
	fingerprint := crash.FingerprintOf("crew", http.MethodPost, "/order/1", []byte("deadly"))
	for _, server := range []string{"desk-8/1", "desk-9/1"} {
		g.Expect(fixture.call(http.MethodPost, "/order/1", "deadly", nil).status).To(Equal(http.StatusOK))
		fixture.crashes.Add(crash.Suspicion{Fingerprint: fingerprint, Server: server, At: time.Now().Add(time.Minute)})
	}
	setReachable := func(reachable bool) {
		fixture.coordinator.mutex.Lock()
		defer fixture.coordinator.mutex.Unlock()
		fixture.coordinator.unreachable = !reachable
	}
	setReachable(false)
	g.Expect(fixture.call(http.MethodPost, "/order/1", "deadly", nil).status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(fixture.call(http.MethodPost, "/order/2", "other", nil).status).To(Equal(http.StatusOK))
	setReachable(true)
	g.Expect(fixture.call(http.MethodPost, "/order/1", "deadly", nil).status).To(Equal(http.StatusOK))
}

// Guards against the quarantine of a frequent request that ran on three servers which ended
// together: others have answered it since.
func TestAnsweredRequestIsNotQuarantinedLater(t *testing.T) {
	g := NewWithT(t)
	look := route("look", policy.KindUnsafe, "desk")
	fixture := newFixture(t, look)
	for _, id := range []names.BackendServer{"desk-1", "desk-2", "desk-3"} {
		fixture.server(id, "desk", func(writer http.ResponseWriter, _ *http.Request) { hijack(writer).Close() })
		g.Expect(fixture.call(http.MethodPost, "/look/1", "sound", nil).status).To(Equal(http.StatusBadGateway))
		fixture.pool.Remove(id, time.Now())
	}
	fixture.server("desk-4", "desk", func(http.ResponseWriter, *http.Request) {})
	g.Expect(fixture.call(http.MethodPost, "/look/1", "sound", nil).status).To(Equal(http.StatusOK))
	g.Eventually(func() int { return countEvents(fixture, "requestSuspected") }, 10*time.Second).Should(Equal(3))
	fixture.crashes.Settle(time.Now().Add(time.Minute))
	g.Expect(fixture.call(http.MethodPost, "/look/1", "sound", nil).status).To(Equal(http.StatusOK))
}

// Guards against probes that crash servers every few seconds, as nobody knows that they were
// probes.
func TestCrashOfProbeIsReportedAsThat(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("draft", policy.KindStream, "notes"))
	fixture.coordinator.grantProbes = true
	fixture.server("engine-1", "notes", func(writer http.ResponseWriter, _ *http.Request) { hijack(writer).Close() })
	deadly, other := crash.FingerprintOfPart("bad"), crash.FingerprintOfPart("other")
	began := time.Now().Add(-time.Minute)
	for index, server := range []string{"other-1", "other-2", "other-3"} {
		fixture.crashes.Add(crash.Suspicion{Fingerprint: deadly, Part: true, Server: server, At: began.Add(time.Duration(index) * time.Second)})
	}
	fixture.crashes.Settle(began)
	fixture.call(http.MethodPost, "/draft/1", "own", map[string]string{"Parts": "other,bad,own"})
	suspicions, _ := fixture.crashes.Since(0)
	probes := map[crash.Fingerprint]bool{}
	for _, suspicion := range suspicions {
		if strings.HasPrefix(suspicion.Server, "engine-1/") {
			probes[suspicion.Fingerprint] = suspicion.Probe
		}
	}
	g.Expect(probes).To(HaveKeyWithValue(deadly, true))
	g.Expect(probes).To(HaveKeyWithValue(other, false))
}

// countEvents returns how many events with a name were logged.
func countEvents(fixture *fixture, name string) int {
	count := 0
	for _, entry := range fixture.logs.AllEntries() {
		if entry.Message == name {
			count++
		}
	}
	return count
}
