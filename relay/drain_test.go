package relay_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
)

// slowRoute returns a route whose requests may take much longer than a stop.
func slowRoute(name string, kind policy.Kind, service names.Service) *policy.Route {
	route := route(name, kind, service)
	route.Timeout = 30 * time.Second
	return route
}

// Guards against requests that a stopping instance serves although it has to end them, such
// as streams that are cut after their first events, and against refusals of those that it can
// finish.
func TestStoppingEntryServesWhatItCanFinish(t *testing.T) {
	// millisecondsPerToken is how fast servers write; the instance stops in stopTime.
	const (
		millisecondsPerToken = 1
		stopTime             = 3 * time.Second
	)
	cases := []struct {
		name   string
		path   string
		output int
		// known is the number of streams that have ended before, late whether the request comes
		// when the load balancer sends none any more.
		known  int
		late   bool
		status int
	}{
		{name: "a late stream that might be cut", path: "/draft/1", output: 40, known: 25, late: true, status: http.StatusServiceUnavailable},
		{name: "a late stream that ends in time", path: "/brief/1", output: 40, known: 25, late: true, status: http.StatusOK},
		{name: "a late lookup", path: "/look/1", output: -1, late: true, status: http.StatusOK},
		{name: "a short stream", path: "/draft/1", output: 40, known: 25, status: http.StatusOK},
		{name: "a stream that takes longer", path: "/draft/1", output: 10_000, known: 25, status: http.StatusServiceUnavailable},
		{name: "a stream of unknown times", path: "/draft/1", output: 40, known: 5, status: http.StatusServiceUnavailable},
		{name: "a lookup", path: "/look/1", output: -1, status: http.StatusOK},
		{name: "an order that may take longer", path: "/order/1", output: -1, status: http.StatusServiceUnavailable},
		{name: "an order", path: "/quick/1", output: -1, status: http.StatusOK},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			fixture := newFixture(t, slowRoute("draft", policy.KindStream, "desk"), slowRoute("look", policy.KindSafe, "desk"),
				slowRoute("order", policy.KindUnsafe, "desk"), route("quick", policy.KindUnsafe, "desk"), route("brief", policy.KindStream, "desk"))
			seen := fixture.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
				_, _ = fmt.Fprint(writer, events(1, 1))
				_ = http.NewResponseController(writer).Flush()
				tokens, _ := strconv.Atoi(request.Header.Get("Output"))
				time.Sleep(time.Duration(tokens*millisecondsPerToken) * time.Millisecond)
				_, _ = fmt.Fprint(writer, events(2, 2))
			})
			for range each.known {
				g.Expect(fixture.call(http.MethodPost, "/draft/1", "", map[string]string{"Output": "50"}).status).To(Equal(http.StatusOK))
			}
			fixture.relay.Drain(time.Now().Add(stopTime))
			if each.late {
				fixture.relay.LimitRequests(time.Second)
			}
			result := fixture.call(http.MethodPost, each.path, "", map[string]string{"Output": strconv.Itoa(each.output)})
			g.Expect(result.err).NotTo(HaveOccurred())
			g.Expect(result.status).To(Equal(each.status))
			if each.status == http.StatusOK {
				return
			}
			g.Expect(result.header.Get("Retry-After")).NotTo(BeEmpty(), "another instance can serve it")
			g.Expect(seen.count()).To(Equal(each.known))
		})
	}
}

// Guards against streams that wait at a stopping instance, are sent shortly before its end and
// are cut then: rolls beside changes of the configuration cut some on most days.
func TestWaitingRequestsThatOutlastAStopAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, slowRoute("draft", policy.KindStream, "notes"))
	seen := fixture.server("notes-1", "notes", ok)
	waiting := make(chan struct{}, 1)
	fixture.coordinator.onWait = func(names.Model) { waiting <- struct{}{} }
	results := make(chan result, 1)
	go func() {
		results <- fixture.call(http.MethodPost, "/draft/1", "", map[string]string{"Model": "rare", "Output": "400"})
	}()
	g.Eventually(waiting, 5*time.Second).Should(Receive())
	fixture.relay.Drain(time.Now().Add(4 * time.Second))
	// The model is loaded in the last second of the stop.
	time.AfterFunc(3500*time.Millisecond, func() {
		server := *fixture.pool.Servers(time.Now())[0]
		server.Models = []names.Model{"notes", "rare"}
		fixture.pool.Put(&server)
	})
	var refused result
	g.Eventually(results, 2*time.Second).Should(Receive(&refused), "what cannot be finished does not wait")
	g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(seen.count()).To(BeZero())
}

// Guards against requests whose body is still read at the end of a stop, and that get no
// response, as only admitted ones were ended.
func TestRequestsThatAreBeingReadAreAnsweredAtTheEndOfAStop(t *testing.T) {
	cases := []struct {
		name   string
		header string
		body   string
	}{
		{name: "a body with a length", header: "Content-Length: 10", body: "part"},
		{name: "a body with a length of which nothing has come", header: "Content-Length: 10"},
		{name: "a body in chunks", header: "Transfer-Encoding: chunked", body: "4\r\npart\r\n"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			fixture := newFixture(t, route("order", policy.KindUnsafe, "desk"))
			seen := fixture.server("desk-1", "desk", ok)
			conn := fixture.dialFront()
			_, err := fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nId: call-1\r\nKey: secret\r\n%s\r\n\r\n%s", each.header, each.body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(fixture.relay.ActiveRequests, 5*time.Second).Should(BeNumerically("==", 1))
			time.Sleep(50 * time.Millisecond)
			fixture.relay.Drain(time.Now().Add(10 * time.Second))
			fixture.relay.EndRequests()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
			g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
			g.Expect(response.Close).To(BeTrue())
			g.Expect(seen.count()).To(BeZero())
		})
	}
}
