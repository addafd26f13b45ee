package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

// declares returns a handler that declares a request rate.
func declares(perSecond float64) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Rate", strconv.FormatFloat(perSecond, 'f', -1, 64))
		_, _ = fmt.Fprint(writer, "fine")
	}
}

func TestRequestsWithoutPermitGoElsewhereOrAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		others int
		status int
	}{
		{name: "another server", others: 1, status: http.StatusOK},
		{name: "no other server", status: http.StatusServiceUnavailable},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			fixture := newFixture(t, route("order", policy.KindUnsafe, "desk"))
			limited := fixture.server("desk-0", "desk", declares(1))
			g.Expect(fixture.call(http.MethodPost, "/order/1", "", nil).status).To(Equal(http.StatusOK))
			for index := range each.others {
				fixture.server(names.BackendServer(fmt.Sprintf("desk-%d", index+1)), "desk", ok)
			}
			fixture.coordinator.denyLoans = true
			fixture.pool.Gate().RecordAnswer(permit.Place{}, time.Now())
			for range 5 {
				result := fixture.call(http.MethodPost, "/order/1", "", nil)
				g.Expect(result.status).To(Equal(each.status))
				if each.status != http.StatusOK {
					seconds, err := strconv.ParseFloat(result.header.Get("Retry-After"), 64)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(seconds).To(BeNumerically(">", 0.5))
					g.Expect(result.body).To(ContainSubstring("rateLimited"))
				}
			}
			g.Expect(limited.count()).To(Equal(1))
		})
	}
}

// TestChosenRequestsAreWithheldFromServersThatDeclareARate checks that a rate that is
// declared while a request waits for its adapter binds the request.
func TestChosenRequestsAreWithheldFromServersThatDeclareARate(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("draft", policy.KindStream, "notes"))
	seen := fixture.server("notes-1", "notes", ok)
	fixture.coordinator.denyLoans = true
	fixture.pool.Gate().RecordAnswer(permit.Place{}, time.Now())
	fixture.coordinator.onAdapter = func(server *pool.Server) {
		fixture.pool.Gate().Observe(server.Identity(), permit.Limited{PerSecond: 1}, time.Now(), time.Now())
	}
	result := fixture.call(http.MethodPost, "/draft/1", "", map[string]string{"Model": "notes", "Adapter": "a1"})
	g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(seen.count()).To(BeZero())
	_, ejected := fixture.pool.Pick(pool.Query{Service: "notes"}, time.Now()).(pool.Full)
	g.Expect(ejected).To(BeTrue(), "the server is closed, not ejected")
}

// TestCallersThatLeaveDoNotCloseServers guards against callers that end their requests while
// these wait for a permit, and so keep those of others from a server.
func TestCallersThatLeaveDoNotCloseServers(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("order", policy.KindSafe, "desk"))
	fixture.server("desk-0", "desk", declares(100))
	g.Expect(fixture.call(http.MethodGet, "/order/1", "", nil).status).To(Equal(http.StatusOK))
	fixture.pool.Gate().RecordAnswer(permit.Place{}, time.Now())
	asked, left := make(chan struct{}), make(chan struct{})
	fixture.coordinator.onPermit = func(ctx context.Context) error {
		close(asked)
		<-ctx.Done()
		close(left)
		return ctx.Err()
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fixture.front.URL+"/order/1", http.NoBody)
		if err != nil {
			return
		}
		request.Host = "desk.example"
		request.Header.Set("Id", "call-1")
		request.Header.Set("Key", "secret")
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	g.Eventually(asked, 5*time.Second).Should(BeClosed())
	fixture.coordinator.mutex.Lock()
	fixture.coordinator.onPermit = nil
	fixture.coordinator.mutex.Unlock()
	cancel()
	g.Eventually(left, 5*time.Second).Should(BeClosed())
	g.Eventually(ended, 5*time.Second).Should(BeClosed())
	for range 10 {
		fixture.pool.Gate().RecordAnswer(permit.Place{}, time.Now())
		g.Expect(fixture.call(http.MethodGet, "/order/1", "", nil).status).To(Equal(http.StatusOK))
	}
}
