package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

// quarantine makes the entry learn that three servers crashed while running a request.
func (fixture *fixture) quarantine(path, body string) {
	fingerprint := crash.FingerprintOf("crew", http.MethodPost, path, []byte(body))
	for _, server := range []string{"other-1", "other-2", "other-3"} {
		fixture.crashes.Add(crash.Suspicion{Fingerprint: fingerprint, Server: server, At: time.Now()})
	}
}

// TestQuarantineStopsRequestsUnderWay checks that a request that is quarantined after its
// admission is sent to no further server.
func TestQuarantineStopsRequestsUnderWay(t *testing.T) {
	cases := []struct {
		name      string
		kind      policy.Kind
		resumable bool
		// first is what the first server does once the request is quarantined.
		first func(writer http.ResponseWriter)
		// status is zero if the caller gets a broken response.
		status int
	}{
		{name: "sent again", kind: policy.KindSafe, first: func(writer http.ResponseWriter) { hijack(writer).Close() }, status: http.StatusBadGateway},
		{name: "not run by the first server", kind: policy.KindUnsafe, status: http.StatusServiceUnavailable, first: func(writer http.ResponseWriter) {
			writer.Header().Set("Not-Run", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
		}},
		{name: "failed by the first server", kind: policy.KindSafe, status: http.StatusInternalServerError, first: func(writer http.ResponseWriter) {
			writer.WriteHeader(http.StatusInternalServerError)
		}},
		{name: "resumed", kind: policy.KindStream, resumable: true, first: func(writer http.ResponseWriter) {
			_, _ = fmt.Fprint(writer, events(1, 1))
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			draft := route("draft", each.kind, "desk")
			draft.Resumable = each.resumable
			fixture := newFixture(t, draft)
			handle := func(writer http.ResponseWriter, _ *http.Request) {
				fixture.quarantine("/draft/1", "deadly")
				each.first(writer)
			}
			first, second := fixture.server("desk-1", "desk", handle), fixture.server("desk-2", "desk", handle)
			result := fixture.call(http.MethodPost, "/draft/1", "deadly", nil)
			g.Expect(first.count()+second.count()).To(Equal(1), "no further server gets it")
			if each.status == 0 {
				g.Expect(result.err).To(HaveOccurred())
				return
			}
			g.Expect(result.status).To(Equal(each.status))
		})
	}
}

// TestQuarantineStopsWaitingRequests checks that a request that is quarantined while it
// waits for its model is refused.
func TestQuarantineStopsWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("draft", policy.KindStream, "notes"))
	seen := fixture.server("engine-1", "notes", ok)
	fixture.coordinator.onWait = func(model names.Model) {
		fixture.quarantine("/draft/1", "deadly")
		time.AfterFunc(50*time.Millisecond, func() {
			fixture.pool.Put(&pool.Server{ID: "engine-1", Service: "notes", Address: "127.0.0.1:1", Domain: "a", Slots: 4, Models: []names.Model{model}})
		})
	}
	result := fixture.call(http.MethodPost, "/draft/1", "deadly", map[string]string{"Model": "rare"})
	g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(result.body).To(ContainSubstring("quarantined"))
	g.Expect(seen.count()).To(BeZero())
}
