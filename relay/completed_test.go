package relay_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/policy"
)

// Two servers end by chance while they run the same lookup, which others answer.
func TestCompletedRequestIsNoSuspect(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("look", policy.KindSafe, "desk"))
	fixture.server("desk-1", "desk", ok)
	fingerprint := crash.FingerprintOf("crew", http.MethodGet, "/look/1", nil)
	crashed := func(server string) {
		fixture.crashes.Add(crash.Suspicion{Fingerprint: fingerprint, Server: server, At: time.Now()})
	}
	crashed("other-1")
	crashed("other-2")
	g.Expect(fixture.call(http.MethodGet, "/look/1", "", nil).status).To(Equal(http.StatusOK))
	crashed("other-3")
	g.Expect(fixture.call(http.MethodGet, "/look/1", "", nil).status).To(Equal(http.StatusOK))
	for _, server := range []string{"other-4", "other-5", "other-6"} {
		crashed(server)
	}
	g.Expect(fixture.call(http.MethodGet, "/look/1", "", nil).status).To(Equal(http.StatusServiceUnavailable), "three servers without an answer between")
}
