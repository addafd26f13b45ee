package relay_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/policy"
)

// A stopping process ends the requests in progress.
func TestEndedRequestsGetResponses(t *testing.T) {
	g := NewWithT(t)
	order := route("order", policy.KindUnsafe, "desk")
	order.Timeout = 10 * time.Second
	fixture := newFixture(t, order, route("draft", policy.KindStream, "notes"))
	seen := fixture.server("desk-1", "desk", func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
	results := make(chan result, 2)
	go func() { results <- fixture.call(http.MethodPost, "/order/1", "", nil) }()
	go func() { results <- fixture.call(http.MethodPost, "/draft/1", "", map[string]string{"Model": "rare"}) }()
	g.Eventually(seen.count, 5*time.Second).Should(Equal(1))
	time.Sleep(100 * time.Millisecond)
	fixture.relay.Drain(time.Now().Add(5 * time.Second))
	g.Expect(fixture.call(http.MethodPost, "/order/2", "", nil).status).To(Equal(http.StatusServiceUnavailable), "it might take ten seconds")
	g.Expect(seen.count()).To(Equal(1))
	fixture.relay.EndRequests()
	statuses := []int{(<-results).status, (<-results).status}
	g.Expect(statuses).To(ConsistOf(http.StatusBadGateway, http.StatusServiceUnavailable), "the order may have run, the draft has waited for its model")
}
