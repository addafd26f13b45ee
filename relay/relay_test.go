package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

func stringBody(body string) io.Reader { return strings.NewReader(body) }

func ok(writer http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(writer, "fine") }

func TestAdmission(t *testing.T) {
	open := route("open", policy.KindSafe, "desk")
	open.Open = true
	cases := []struct {
		name   string
		path   string
		body   string
		header map[string]string
		status int
		runs   int
	}{
		{name: "a key that is known", path: "/look/1?a=b", status: http.StatusOK, runs: 1},
		{name: "a key that is not known", path: "/look/1", header: map[string]string{"Key": "other"}, status: http.StatusUnauthorized},
		{name: "no route", path: "/nowhere/1", status: http.StatusNotFound},
		{name: "an open route needs no key", path: "/open/1", header: map[string]string{"Key": ""}, status: http.StatusOK, runs: 1},
		{name: "a body beyond the limit", path: "/order/1", body: strings.Repeat("x", 1001), status: http.StatusRequestEntityTooLarge},
		{name: "a body within the limit", path: "/order/1", body: strings.Repeat("x", 1000), status: http.StatusOK, runs: 1},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			fixture := newFixture(t, route("look", policy.KindSafe, "desk"), route("order", policy.KindUnsafe, "desk"), open)
			seen := fixture.server("desk-1", "desk", ok)
			method := http.MethodGet
			if each.body != "" {
				method = http.MethodPost
			}
			result := fixture.call(method, each.path, each.body, each.header)
			g.Expect(result.err).NotTo(HaveOccurred())
			g.Expect(result.status).To(Equal(each.status))
			g.Expect(seen.count()).To(Equal(each.runs))
			if each.runs > 0 {
				g.Expect(seen.targets[0]).To(Equal(each.path), "the target is passed on as it came")
				g.Expect(seen.bodies[0]).To(Equal(each.body))
				g.Expect(seen.headers[0].Get("Server")).To(Equal("desk-1"))
				g.Expect(seen.headers[0].Get("Key")).To(BeEmpty(), "no server sees a key")
			}
		})
	}
}

func TestWithoutPolicyRequestsAreRefused(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t)
	fixture.relay.SetPolicy(nil)
	result := fixture.call(http.MethodGet, "/look/1", "", nil)
	g.Expect(result.status).To(Equal(http.StatusServiceUnavailable), "no route is known to be missing yet")
	g.Expect(result.header.Get("Retry-After")).NotTo(BeEmpty())
}

// TestStatusShowsWhetherRequestMayHaveRun checks the caller's status and the number of
// attempts for each way in which a server can fail.
func TestStatusShowsWhetherRequestMayHaveRun(t *testing.T) {
	reset := func(writer http.ResponseWriter, _ *http.Request) { hijack(writer).Close() }
	full := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	failed := func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusInternalServerError) }
	short := func(writer http.ResponseWriter, _ *http.Request) {
		conn := hijack(writer)
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\nContent-Length: 100\r\n\r\nshort")
		conn.Close()
	}
	cases := []struct {
		name   string
		path   string
		handle http.HandlerFunc
		// status is what the caller gets if two servers behave alike, visits the number of
		// requests that they receive.
		status int
		visits int
	}{
		{"an order whose answer is lost is not sent again", "/order/1", reset, http.StatusBadGateway, 1},
		{"an order whose answer is cut is not sent again", "/order/1", short, http.StatusBadGateway, 1},
		{"an order that failed is not sent again", "/order/1", failed, http.StatusInternalServerError, 1},
		{"an order that no server ran is refused", "/order/1", full, http.StatusServiceUnavailable, 2},
		{"a lookup whose answer is lost is sent again", "/look/1", reset, http.StatusBadGateway, 2},
		{"a lookup that failed is sent again", "/look/1", failed, http.StatusInternalServerError, 2},
		{"a lookup whose answer is cut is sent again", "/look/1", short, http.StatusBadGateway, 2},
		{"a stream whose answer is lost is not sent again", "/draft/1", reset, http.StatusBadGateway, 1},
		{"a resumable stream whose answer is lost is sent again", "/later/1", reset, http.StatusBadGateway, 2},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			later := route("later", policy.KindStream, "desk")
			later.Resumable = true
			fixture := newFixture(t, route("look", policy.KindSafe, "desk"), route("order", policy.KindUnsafe, "desk"),
				route("draft", policy.KindStream, "desk"), later)
			first, second := fixture.server("desk-1", "desk", each.handle), fixture.server("desk-2", "desk", each.handle)
			result := fixture.call(http.MethodGet, each.path, "", nil)
			g.Expect(result.err).NotTo(HaveOccurred())
			g.Expect(result.status).To(Equal(each.status))
			g.Expect(first.count() + second.count()).To(Equal(each.visits))
		})
	}
}

func TestUnsentOrderGoesElsewhere(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("order", policy.KindUnsafe, "desk"))
	fixture.pool.Put(&pool.Server{ID: "desk-0", Service: "desk", Address: "127.0.0.1:1", Domain: "a", Slots: 400})
	seen := fixture.server("desk-1", "desk", ok)
	for range 3 {
		result := fixture.call(http.MethodPost, "/order/1", "", nil)
		g.Expect(result.status).To(Equal(http.StatusOK))
	}
	g.Expect(seen.count()).To(Equal(3))
}

func TestLookupLeavesASilentServer(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("look", policy.KindSafe, "desk"))
	silent := make(chan struct{})
	var once sync.Once
	handle := func(writer http.ResponseWriter, request *http.Request) {
		first := false
		once.Do(func() { first = true })
		if first {
			select {
			case <-silent:
			case <-request.Context().Done():
			}
			return
		}
		ok(writer, request)
	}
	fixture.server("desk-1", "desk", handle)
	fixture.server("desk-2", "desk", handle)
	defer close(silent)
	began := time.Now()
	result := fixture.call(http.MethodGet, "/look/1", "", nil)
	g.Expect(result.status).To(Equal(http.StatusOK))
	g.Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond), "three objectives of 100 ms, and room for a busy machine")
}

func TestTimeoutIsAFinalAnswer(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("order", policy.KindUnsafe, "desk"))
	fixture.server("desk-1", "desk", func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
	began := time.Now()
	result := fixture.call(http.MethodPost, "/order/1", "", map[string]string{"Wait": "300ms"})
	g.Expect(result.status).To(Equal(http.StatusGatewayTimeout))
	g.Expect(time.Since(began)).To(BeNumerically("<", 800*time.Millisecond))
}

func TestStreamIsResumedAfterItsLastEvent(t *testing.T) {
	g := NewWithT(t)
	later := route("later", policy.KindStream, "notes")
	later.Resumable = true
	fixture := newFixture(t, later)
	handle := func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Resume") == "" {
			conn := hijack(writer)
			text := events(1, 2) + "id: 3\ndata: pie"
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
			time.Sleep(50 * time.Millisecond)
			conn.Close()
			return
		}
		_, _ = fmt.Fprint(writer, events(3, 4))
	}
	first, second := fixture.server("notes-1", "notes", handle), fixture.server("notes-2", "notes", handle)
	result := fixture.call(http.MethodPost, "/later/1", "prompt", map[string]string{"Model": "notes"})
	g.Expect(result.err).NotTo(HaveOccurred())
	g.Expect(result.body).To(Equal(events(1, 4)))
	g.Expect(first.count() + second.count()).To(Equal(2))
}

// TestFailedResumptions checks what the caller gets of a broken stream that the next
// server fails to continue.
func TestFailedResumptions(t *testing.T) {
	cases := []struct {
		name string
		next http.HandlerFunc
		// third handles the request at a third server; nil means that there is none.
		third http.HandlerFunc
		want  string
		whole bool
	}{
		{
			name: "an error of the next server does not become part of the stream",
			next: func(writer http.ResponseWriter, _ *http.Request) {
				http.Error(writer, "failed", http.StatusInternalServerError)
			},
			want: events(1, 2),
		},
		{
			name: "nor does a refusal",
			next: func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Not-Run", "1")
				http.Error(writer, "full", http.StatusServiceUnavailable)
			},
			want: events(1, 2),
		},
		{
			name: "after a refusal another server goes on",
			next: func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Not-Run", "1")
				http.Error(writer, "full", http.StatusServiceUnavailable)
			},
			third: func(writer http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(writer, events(3, 4)) },
			want:  events(1, 4), whole: true,
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			later := route("later", policy.KindStream, "notes")
			later.Resumable = true
			fixture := newFixture(t, later)
			var mutex sync.Mutex
			resumed := 0
			handle := func(writer http.ResponseWriter, request *http.Request) {
				if request.Header.Get("Resume") == "" {
					conn := hijack(writer)
					text := events(1, 2)
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
					time.Sleep(50 * time.Millisecond)
					conn.Close()
					return
				}
				mutex.Lock()
				resumed++
				first := resumed == 1
				mutex.Unlock()
				if first {
					each.next(writer, request)
					return
				}
				each.third(writer, request)
			}
			fixture.server("notes-1", "notes", handle)
			fixture.server("notes-2", "notes", handle)
			if each.third != nil {
				fixture.server("notes-3", "notes", handle)
			}
			result := fixture.call(http.MethodPost, "/later/1", "prompt", map[string]string{"Model": "notes"})
			g.Expect(result.body).To(Equal(each.want))
			if each.whole {
				g.Expect(result.err).NotTo(HaveOccurred())
			} else {
				g.Expect(result.err).To(HaveOccurred(), "it must not look complete")
			}
		})
	}
}

// breakOff is a server that sends two events of a stream and closes the connection.
func breakOff(writer http.ResponseWriter, _ *http.Request) {
	conn := hijack(writer)
	text := events(1, 2)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
	time.Sleep(50 * time.Millisecond)
	conn.Close()
}

func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("draft", policy.KindStream, "notes"))
	fixture.server("notes-1", "notes", breakOff)
	result := fixture.call(http.MethodPost, "/draft/1", "prompt", map[string]string{"Model": "notes"})
	g.Expect(result.err).To(HaveOccurred())
	g.Expect(result.body).To(Equal(events(1, 2)))
}

// TestBrokenStreamDoesNotLookWholeInHTTP10 does the same for a caller to whom the end of the
// connection is the end of the response.
func TestBrokenStreamDoesNotLookWholeInHTTP10(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("draft", policy.KindStream, "notes"))
	fixture.server("notes-1", "notes", breakOff)
	conn := fixture.dialFront()
	g.Expect(writeRequest(conn, "HTTP/1.0", "/draft/1", "notes", "prompt")).To(Succeed())
	received, err := io.ReadAll(conn)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
	g.Expect(string(received)).To(HaveSuffix(events(1, 2)), "what came is forwarded")
}

func TestRequestWaitsForItsModel(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("draft", policy.KindStream, "notes"))
	seen := fixture.server("notes-1", "notes", ok)
	fixture.coordinator.onWait = func(model names.Model) {
		fixture.pool.ApplyUpdate(pool.Update{Holdings: []pool.Holding{{Server: "notes-1", Models: []names.Model{model}}}, Until: time.Now().Add(time.Minute)})
	}
	result := fixture.call(http.MethodPost, "/draft/1", "prompt", map[string]string{"Model": "rare"})
	g.Expect(result.status).To(Equal(http.StatusOK))
	g.Expect(seen.count()).To(Equal(1))
	g.Expect(fixture.coordinator.waitedFor).To(Equal([]names.Model{"rare"}))
}

func TestWithoutCoordinatorRequestsDoNotWait(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("draft", policy.KindStream, "notes"))
	fixture.server("notes-1", "notes", ok)
	fixture.coordinator.unreachable = true
	began := time.Now()
	result := fixture.call(http.MethodPost, "/draft/1", "prompt", map[string]string{"Model": "rare"})
	g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(result.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
}

func TestAdapterIsLoadedFirst(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("draft", policy.KindStream, "notes"))
	fixture.server("notes-1", "notes", ok)
	result := fixture.call(http.MethodPost, "/draft/1", "prompt", map[string]string{"Model": "notes", "Adapter": "a1"})
	g.Expect(result.status).To(Equal(http.StatusOK))
	g.Expect(fixture.coordinator.adapters).To(Equal([]pool.Adapter{{Model: "notes", Name: "a1"}}))
}

func TestMisdirectedRequestIsSentElsewhere(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("draft", policy.KindStream, "notes"))
	var once sync.Once
	handle := func(writer http.ResponseWriter, request *http.Request) {
		first := false
		once.Do(func() { first = true })
		if first {
			writer.Header().Set("Not-Run", "1")
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		ok(writer, request)
	}
	fixture.server("notes-1", "notes", handle)
	fixture.server("notes-2", "notes", handle)
	result := fixture.call(http.MethodPost, "/draft/1", "prompt", map[string]string{"Model": "notes"})
	g.Expect(result.status).To(Equal(http.StatusOK))
}

func TestLeavingCallerStopsTheServer(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("draft", policy.KindStream, "notes"))
	stopped := make(chan struct{})
	started := make(chan struct{})
	fixture.server("notes-1", "notes", func(_ http.ResponseWriter, request *http.Request) {
		close(started)
		<-request.Context().Done()
		close(stopped)
	})
	go fixture.call(http.MethodPost, "/draft/1", "prompt", map[string]string{"Model": "notes", "Wait": "1500ms"})
	<-started
	fixture.front.CloseClientConnections()
	g.Eventually(stopped, 500*time.Millisecond).Should(BeClosed())
}

func TestStoppingEntryRefusesAndCloses(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("look", policy.KindSafe, "desk"))
	seen := fixture.server("desk-1", "desk", ok)
	fixture.relay.Drain(time.Now().Add(time.Minute))
	result := fixture.call(http.MethodGet, "/look/1", "", nil)
	g.Expect(result.status).To(Equal(http.StatusOK), "what is read is served")
	fixture.relay.RejectRequests()
	result = fixture.call(http.MethodGet, "/look/1", "", nil)
	g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(seen.count()).To(Equal(1))
}

func TestRepeatedCrashesQuarantineRequest(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("order", policy.KindUnsafe, "desk"))
	reset := func(writer http.ResponseWriter, _ *http.Request) { hijack(writer).Close() }
	seen := fixture.server("desk-1", "desk", reset)
	fixture.call(http.MethodPost, "/order/1", "deadly", nil)
	g.Eventually(func() int { return len(fixture.crashes.Suspicions(time.Now())) }, 5*time.Second).Should(Equal(1))
	seenOnce := fixture.crashes.Suspicions(time.Now())[0]
	for _, other := range []string{"desk-2/0", "desk-3/0"} {
		fixture.crashes.Add(crash.Suspicion{Fingerprint: seenOnce.Fingerprint, Server: other, At: time.Now()})
	}
	result := fixture.call(http.MethodPost, "/order/1", "deadly", nil)
	g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(result.header.Get("Retry-After")).To(BeEmpty(), "it is not to come back")
	fixture.call(http.MethodPost, "/order/1", "harmless", nil)
	g.Expect(seen.count()).To(Equal(2))
}

func TestServerThatLivesOnHasNotCrashed(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("order", policy.KindUnsafe, "desk"))
	var once sync.Once
	fixture.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
		first := false
		once.Do(func() { first = true })
		if first {
			hijack(writer).Close()
			return
		}
		ok(writer, request)
	})
	fixture.call(http.MethodPost, "/order/1", "deadly", nil)
	g.Expect(fixture.call(http.MethodPost, "/order/1", "other", nil).status).To(Equal(http.StatusOK))
	g.Consistently(func() int { return len(fixture.crashes.Suspicions(time.Now())) }, 2*time.Second, 200*time.Millisecond).Should(BeZero())
}

func TestEachOutcomeIsLoggedWithItsCause(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("look", policy.KindSafe, "desk"))
	fixture.server("desk-1", "desk", ok)
	fixture.call(http.MethodGet, "/look/1", "", nil)
	fixture.call(http.MethodGet, "/nowhere/1", "", nil)
	var lines []string
	for _, entry := range fixture.logs.AllEntries() {
		lines = append(lines, fmt.Sprint(entry.Message, " ", entry.Data["request"], " ", entry.Data["reason"], " ", entry.Data["policy"]))
		g.Expect(fmt.Sprint(entry.Data)).NotTo(ContainSubstring("secret"))
	}
	g.Expect(lines).To(Equal([]string{"requestDone call-1 <nil> 3", "requestRefused call-1 noRoute 3"}))
}

func TestLateAnswersAreLoggedWithTheirCause(t *testing.T) {
	cases := []struct {
		name string
		path string
		// wait and pause are how long the server takes before the first and the second
		// event.
		wait  time.Duration
		pause time.Duration
		want  any
	}{
		{name: "an answer in time", path: "/look/1"},
		{name: "a late answer", path: "/look/1", wait: 150 * time.Millisecond, want: "answer"},
		{name: "a stream in time", path: "/draft/1"},
		{name: "a late first event", path: "/draft/1", wait: 150 * time.Millisecond, want: "firstEvent"},
		{name: "a long pause", path: "/draft/1", pause: 300 * time.Millisecond, want: "pause"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			draft := route("draft", policy.KindStream, "notes")
			draft.GapObjective = 200 * time.Millisecond
			fixture := newFixture(t, route("look", policy.KindSafe, "notes"), draft)
			fixture.server("notes-1", "notes", func(writer http.ResponseWriter, _ *http.Request) {
				time.Sleep(each.wait)
				_, _ = fmt.Fprint(writer, events(1, 1))
				_ = http.NewResponseController(writer).Flush()
				time.Sleep(each.pause)
				_, _ = fmt.Fprint(writer, events(2, 2))
			})
			g.Expect(fixture.call(http.MethodGet, each.path, "", nil).status).To(Equal(http.StatusOK))
			g.Eventually(func() any { return fixture.logs.LastEntry() }).ShouldNot(BeNil())
			last := fixture.logs.LastEntry()
			g.Expect(last.Message).To(Equal("requestDone"))
			if each.want == nil {
				g.Expect(last.Data).NotTo(HaveKey("late"))
				return
			}
			g.Expect(last.Data["late"]).To(Equal(each.want))
		})
	}
}

// TestServersThatRefuseRequests checks that a server gets no further requests after a
// response, forwarded or not, that says that it is shutting down or must get none for some
// time.
func TestServersThatRefuseRequests(t *testing.T) {
	leaves := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Leaving", "1")
		_, _ = fmt.Fprint(writer, "fine")
	}
	rests := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Not-Run", "1")
		writer.Header().Set("Rest", "20s")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	cases := []struct {
		name   string
		path   string
		handle http.HandlerFunc
		// first and later are the statuses that callers get, visits is the number of requests
		// that the server receives.
		first  int
		later  int
		visits int
	}{
		{"an order at a server that leaves", "/order/1", leaves, http.StatusOK, http.StatusServiceUnavailable, 1},
		{"a stream at a server that leaves", "/draft/1", leaves, http.StatusOK, http.StatusServiceUnavailable, 1},
		{"an order at a server that rests", "/order/1", rests, http.StatusServiceUnavailable, http.StatusServiceUnavailable, 1},
		{"a lookup at a server that rests", "/look/1", rests, http.StatusServiceUnavailable, http.StatusServiceUnavailable, 1},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			fixture := newFixture(t, route("order", policy.KindUnsafe, "desk"), route("look", policy.KindSafe, "desk"), route("draft", policy.KindStream, "desk"))
			seen := fixture.server("desk-1", "desk", each.handle)
			g.Expect(fixture.call(http.MethodPost, each.path, "", nil).status).To(Equal(each.first))
			for range 5 {
				result := fixture.call(http.MethodPost, each.path, "", nil)
				g.Expect(result.status).To(Equal(each.later))
				g.Expect(result.header.Get("Retry-After")).NotTo(BeEmpty())
			}
			g.Expect(seen.count()).To(Equal(each.visits))
		})
	}
}

// TestRefusedConnectionsCostNoRetry checks that attempts whose connection was refused don't
// use the retry budget: there are more of them than the budget has tokens.
func TestRefusedConnectionsCostNoRetry(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("order", policy.KindUnsafe, "desk"))
	fixture.server("desk-1", "desk", ok)
	for index := range 40 {
		id := names.BackendServer(fmt.Sprintf("desk-0%d", index))
		fixture.pool.Put(&pool.Server{ID: id, Service: "desk", Address: "127.0.0.1:1", Domain: "a", Slots: 4})
		result := fixture.call(http.MethodPost, "/order/1", "", nil)
		g.Expect(result.status).To(Equal(http.StatusOK), string(id))
		fixture.pool.Remove(id, time.Now())
	}
}
