package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/relay"
)

// newMemoryFixture returns a fixture with a budget and a policy that allows bodies of a MiB.
func newMemoryFixture(t *testing.T, budget *memory.Budget, routes ...*policy.Route) *fixture {
	t.Helper()
	fixture := newConfiguredFixture(t, plainCodec{}, func(config *relay.Config) { config.Memory = budget }, routes...)
	fixture.relay.SetPolicy(policy.NewSnapshot(policy.SnapshotConfig{
		Version: 4, Routes: routes, Limits: policy.Limits{BodyBytes: 1 << 20},
		Services: []*policy.Service{{Name: "desk"}},
		Accounts: []*policy.Account{{Name: "crew", Keys: []string{"secret"}}},
	}))
	return fixture
}

// TestBurstOfLargeBodiesIsRefusedNotHeld guards against a process that is killed since many
// callers with large bodies come at once: at most what the budget allows is held, the others
// are refused without having run.
func TestBurstOfLargeBodiesIsRefusedNotHeld(t *testing.T) {
	g := NewWithT(t)
	const bodyBytes, callers = 300 << 10, 12
	budget := memory.NewBudget(1 << 20)
	order := route("order", policy.KindUnsafe, "desk")
	order.Timeout = 10 * time.Second
	fixture := newMemoryFixture(t, budget, order)
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	seen := fixture.server("desk-1", "desk", func(http.ResponseWriter, *http.Request) { <-released })
	t.Cleanup(release)
	results := make(chan result, callers)
	for range callers {
		go func() { results <- fixture.call(http.MethodPost, "/order/1", strings.Repeat("x", bodyBytes), nil) }()
	}
	for range callers - 3 {
		refused := <-results
		g.Expect(refused.err).NotTo(HaveOccurred())
		g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(refused.body).To(ContainSubstring("memory"))
		g.Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(budget.Held(memory.Body) + budget.Promised()).To(BeNumerically("<=", budget.Limit()))
	}
	release()
	for range 3 {
		served := <-results
		g.Expect(served.status).To(Equal(http.StatusOK), "%v", served.err)
	}
	for _, body := range seen.bodies {
		g.Expect(body).To(HaveLen(bodyBytes))
	}
	g.Expect(seen.count()).To(Equal(3), "refused requests reach no server")
	g.Eventually(func() int64 { return budget.Held(memory.Body) + budget.Held(memory.Response) }).Should(BeZero())
}

// TestBodyWaitsForMemory guards against refusals of requests that could be served as soon as
// another one has ended.
func TestBodyWaitsForMemory(t *testing.T) {
	g := NewWithT(t)
	budget := memory.NewBudget(1 << 20)
	order := route("order", policy.KindUnsafe, "desk")
	order.Timeout = 10 * time.Second
	fixture := newMemoryFixture(t, budget, order)
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	fixture.server("desk-1", "desk", func(http.ResponseWriter, *http.Request) { <-released })
	t.Cleanup(release)
	statuses := make(chan int, 2)
	for _, bodyBytes := range []int{700 << 10, 300 << 10} {
		held := budget.Held(memory.Body)
		go func() {
			statuses <- fixture.call(http.MethodPost, "/order/1", strings.Repeat("x", bodyBytes), nil).status
		}()
		g.Eventually(func() bool { return budget.Held(memory.Body) >= held+int64(bodyBytes) || budget.Waiting() > 0 }).Should(BeTrue())
	}
	g.Expect(budget.Waiting()).To(Equal(1))
	release()
	g.Expect(<-statuses).To(Equal(http.StatusOK))
	g.Expect(<-statuses).To(Equal(http.StatusOK))
}

// TestResponsesAreWholeWithoutMemory guards against requests in progress that are cut since
// the budget is exhausted: their responses are then forwarded without being read ahead.
func TestResponsesAreWholeWithoutMemory(t *testing.T) {
	cases := []struct {
		name  string
		limit int64
		bytes int
	}{
		{name: "a small response, no memory", limit: 1, bytes: 100},
		{name: "a large response, no memory", limit: 1, bytes: 800 << 10},
		{name: "a large response, little memory", limit: 100 << 10, bytes: 800 << 10},
		{name: "a large response, enough memory", limit: 10 << 20, bytes: 800 << 10},
		{name: "the largest response that is read ahead", limit: 10 << 20, bytes: 1 << 20},
		{name: "a longer response", limit: 10 << 20, bytes: 1<<20 + 1},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			budget := memory.NewBudget(each.limit)
			fixture := newMemoryFixture(t, budget, route("look", policy.KindSafe, "desk"))
			text := strings.Repeat("0123456789", each.bytes/10) + strings.Repeat("x", each.bytes%10)
			fixture.server("desk-1", "desk", func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(text)) })
			result := fixture.call(http.MethodGet, "/look/1", "", nil)
			g.Expect(result.err).NotTo(HaveOccurred())
			g.Expect(result.status).To(Equal(http.StatusOK))
			g.Expect(result.body == text).To(BeTrue(), "%d bytes", len(result.body))
			g.Eventually(func() int64 { return budget.Held(memory.Response) }).Should(BeZero())
		})
	}
}

// TestStreamsAreRefusedWithoutMemory guards against more streams than the process has memory
// for.
func TestStreamsAreRefusedWithoutMemory(t *testing.T) {
	g := NewWithT(t)
	budget := memory.NewBudget(150 << 10)
	draft := route("draft", policy.KindStream, "desk")
	draft.Timeout = 10 * time.Second
	fixture := newMemoryFixture(t, budget, draft)
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	fixture.server("desk-1", "desk", func(http.ResponseWriter, *http.Request) { <-released })
	t.Cleanup(release)
	var streams sync.WaitGroup
	for range 3 {
		streams.Go(func() { fixture.call(http.MethodPost, "/draft/1", "prompt", nil) })
	}
	g.Eventually(func() int64 { return budget.Held(memory.Stream) }).Should(BeNumerically(">=", 100<<10))
	refused := result{}
	g.Eventually(func() int {
		refused = fixture.call(http.MethodPost, "/draft/1", "prompt", nil)
		return refused.status
	}).Should(Equal(http.StatusServiceUnavailable))
	g.Expect(refused.body).To(ContainSubstring("memory"))
	release()
	streams.Wait()
	g.Eventually(func() int64 { return budget.Held(memory.Stream) }).Should(BeZero())
}

// TestSilentSendersDoNotKeepOthersOut guards against callers that send most of large bodies, and
// then nothing, until no other large body can be read.
func TestSilentSendersDoNotKeepOthersOut(t *testing.T) {
	g := NewWithT(t)
	budget := memory.NewBudget(2 << 20)
	order := route("order", policy.KindUnsafe, "desk")
	order.Timeout = 20 * time.Second
	fixture := newMemoryFixture(t, budget, order)
	seen := fixture.server("desk-1", "desk", func(http.ResponseWriter, *http.Request) {})
	for range 2 {
		conn := fixture.dialFront()
		_, err := fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nId: call-1\r\nKey: secret\r\nContent-Length: %d\r\n\r\n%s", 900<<10, strings.Repeat("x", 880<<10))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(func() int64 { return budget.Held(memory.Body) }).Should(BeNumerically(">", 1700<<10))
	g.Eventually(func() int {
		return fixture.call(http.MethodPost, "/order/1", strings.Repeat("x", 900<<10), nil).status
	}).WithTimeout(15 * time.Second).Should(Equal(http.StatusOK))
	g.Expect(seen.count()).To(Equal(1))
}

// TestSilentSendersOfSmallBodiesDoNotKeepOthersOut guards against callers that announce bodies of
// one piece and send nothing, until no other body can be read.
func TestSilentSendersOfSmallBodiesDoNotKeepOthersOut(t *testing.T) {
	g := NewWithT(t)
	const pieceBytes, senders = 4 << 10, 16
	budget := memory.NewBudget(senders * pieceBytes)
	order := route("order", policy.KindUnsafe, "desk")
	order.Timeout = 20 * time.Second
	fixture := newMemoryFixture(t, budget, order)
	seen := fixture.server("desk-1", "desk", func(http.ResponseWriter, *http.Request) {})
	for range senders {
		_, err := fmt.Fprintf(fixture.dialFront(), "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nId: call-1\r\nKey: secret\r\nContent-Length: %d\r\n\r\n", pieceBytes)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(func() int64 { return budget.Held(memory.Body) }).Should(Equal(int64(senders * pieceBytes)))
	g.Eventually(func() int {
		return fixture.call(http.MethodPost, "/order/1", strings.Repeat("x", pieceBytes), nil).status
	}).WithTimeout(15 * time.Second).Should(Equal(http.StatusOK))
	g.Expect(seen.count()).To(Equal(1))
}
