package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

// TestCrashDuringAnswerIsSuspected checks that a server that ends after a part of its
// response is reported as crashed.
func TestCrashDuringAnswerIsSuspected(t *testing.T) {
	cases := []struct {
		name      string
		kind      policy.Kind
		resumable bool
		begin     string
	}{
		{name: "a stream", kind: policy.KindStream, begin: events(1, 1)},
		{name: "a stream whose retries are used up", kind: policy.KindStream, resumable: true, begin: events(1, 1)},
		{name: "a whole answer", kind: policy.KindUnsafe, begin: "half"},
		{name: "an answer too large to hold back", kind: policy.KindUnsafe, begin: strings.Repeat("x", 2<<20)},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			draft := route("draft", each.kind, "desk")
			draft.Resumable, draft.MaxAttempts = each.resumable, 1
			fixture := newFixture(t, draft)
			fixture.server("desk-1", "desk", func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprint(writer, each.begin)
				_ = http.NewResponseController(writer).Flush()
				panic(http.ErrAbortHandler)
			})
			g.Expect(fixture.call(http.MethodPost, "/draft/1", "deadly", nil).err != nil).To(Equal(each.begin != "half"))
			g.Eventually(func() int { return len(fixture.crashes.Suspicions(time.Now())) }, 5*time.Second).Should(Equal(1))
		})
	}
}

// TestBreaksOfOneCrashDoNotClearEachOther guards against one crash clearing itself: the
// connections of a crashed server's streams break one after the other, and a later break
// must not count as evidence that the server was alive after an earlier one.
func TestBreaksOfOneCrashDoNotClearEachOther(t *testing.T) {
	const streams = 5
	g := NewWithT(t)
	draft := route("draft", policy.KindStream, "desk")
	draft.Resumable = true
	fixture := newFixture(t, draft)
	var begun, ended sync.WaitGroup
	begun.Add(streams)
	crashed := make(chan struct{})
	fixture.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
		index := int(request.URL.Path[len(request.URL.Path)-1] - '0')
		_, _ = fmt.Fprint(writer, events(1, 1))
		_ = http.NewResponseController(writer).Flush()
		begun.Done()
		<-crashed
		time.Sleep(time.Duration(index) * 20 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	for index := range streams {
		ended.Go(func() { fixture.call(http.MethodPost, fmt.Sprintf("/draft/%d", index), "", nil) })
	}
	begun.Wait()
	close(crashed)
	ended.Wait()
	g.Eventually(func() int { return len(fixture.crashes.Suspicions(time.Now())) }, 5*time.Second).Should(Equal(streams))
}

// TestBytesUnderWayDoNotClearCrash guards against counting a crashed server as alive
// because bytes that it sent before the crash arrive after another connection broke.
func TestBytesUnderWayDoNotClearCrash(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("draft", policy.KindStream, "desk"), route("order", policy.KindUnsafe, "desk"))
	begun, crashed := make(chan struct{}), make(chan struct{})
	fixture.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/order/") {
			hijack(writer).Close()
			close(crashed)
			return
		}
		controller := http.NewResponseController(writer)
		_, _ = fmt.Fprint(writer, events(1, 1))
		_ = controller.Flush()
		close(begun)
		<-crashed
		time.Sleep(50 * time.Millisecond)
		_, _ = fmt.Fprint(writer, events(2, 2))
		_ = controller.Flush()
		<-request.Context().Done()
	})
	var ended sync.WaitGroup
	ended.Go(func() { fixture.call(http.MethodPost, "/draft/1", "", nil) })
	<-begun
	fixture.call(http.MethodPost, "/order/1", "deadly", nil)
	g.Eventually(func() int { return len(fixture.crashes.Suspicions(time.Now())) }, 5*time.Second).Should(Equal(1))
	fixture.front.CloseClientConnections()
	ended.Wait()
}

// TestServerThatFallsSilentIsSuspected checks that a server that sends nothing until the
// request ends is reported as crashed only if the registry then shows that it ended
// unannounced.
func TestServerThatFallsSilentIsSuspected(t *testing.T) {
	cases := []struct {
		name  string
		begin string
		// leaves makes the caller disconnect; else the route's timeout ends the request.
		leaves bool
		after  func(fixture *fixture, server *pool.Server)
		seen   int
	}{
		{name: "time passes, the entry is lost", after: removeServer, seen: 1},
		{name: "time passes after an event, the entry is lost", begin: events(1, 1), after: removeServer, seen: 1},
		{name: "the caller leaves, the entry is lost", leaves: true, after: removeServer, seen: 1},
		{name: "the caller leaves after an event, the server starts again", begin: events(1, 1), leaves: true, after: restartServer, seen: 1},
		{name: "the entry stays", leaves: true, after: func(*fixture, *pool.Server) {}},
		{name: "the server left as planned", leaves: true, after: func(fixture *fixture, server *pool.Server) {
			draining := *server
			draining.Draining = true
			fixture.pool.Put(&draining)
			removeServer(fixture, server)
		}},
		{name: "the registry does not answer", leaves: true, after: func(fixture *fixture, server *pool.Server) {
			fixture.pool.RegistryLost(time.Now())
			removeServer(fixture, server)
		}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			draft := route("draft", policy.KindStream, "desk")
			draft.Timeout = 500 * time.Millisecond
			fixture := newFixture(t, draft)
			fixture.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
				if each.begin != "" {
					_, _ = fmt.Fprint(writer, each.begin)
					_ = http.NewResponseController(writer).Flush()
				}
				<-request.Context().Done()
			})
			var ended sync.WaitGroup
			ended.Go(func() { fixture.call(http.MethodPost, "/draft/1", "deadly", nil) })
			if each.leaves {
				time.Sleep(200 * time.Millisecond)
				fixture.front.CloseClientConnections()
			}
			ended.Wait()
			time.Sleep(200 * time.Millisecond)
			each.after(fixture, fixture.pool.Servers(time.Now())[0])
			sightings := func() int { return len(fixture.crashes.Suspicions(time.Now())) }
			g.Eventually(sightings, 6*time.Second).Should(Equal(each.seen))
			g.Consistently(sightings, 5*time.Second).Should(Equal(each.seen))
		})
	}
}

func removeServer(fixture *fixture, server *pool.Server) { fixture.pool.Remove(server.ID, time.Now()) }

func restartServer(fixture *fixture, server *pool.Server) {
	restarted := *server
	restarted.Incarnation++
	fixture.pool.Put(&restarted)
}

// TestAbandonedRequestDoesNotSuspectLiveServer checks that a server is not suspected for a
// request that timed out if it answered a later one, although the registry then loses its
// entry.
func TestAbandonedRequestDoesNotSuspectLiveServer(t *testing.T) {
	g := NewWithT(t)
	draft := route("draft", policy.KindStream, "desk")
	draft.Timeout = 300 * time.Millisecond
	fixture := newFixture(t, draft)
	fixture.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasSuffix(request.URL.Path, "/1") {
			<-request.Context().Done()
			return
		}
		_, _ = fmt.Fprint(writer, events(1, 1))
	})
	fixture.call(http.MethodPost, "/draft/1", "slow", nil)
	g.Expect(fixture.call(http.MethodPost, "/draft/2", "quick", nil).err).NotTo(HaveOccurred())
	time.Sleep(200 * time.Millisecond)
	removeServer(fixture, fixture.pool.Servers(time.Now())[0])
	g.Consistently(func() int { return len(fixture.crashes.Suspicions(time.Now())) }, 5*time.Second).Should(BeZero())
}

// TestAnswerOfSuccessorAtSameAddressIsNoSignOfLife checks that a refusal by another server
// at the address of a crashed one does not clear the suspicion.
func TestAnswerOfSuccessorAtSameAddressIsNoSignOfLife(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("order", policy.KindUnsafe, "desk"))
	var once sync.Once
	fixture.server("desk-1", "desk", func(writer http.ResponseWriter, _ *http.Request) {
		crashed := false
		once.Do(func() {
			crashed = true
			hijack(writer).Close()
		})
		if !crashed {
			writer.Header().Set("Not-Run", "1")
			writer.WriteHeader(http.StatusMisdirectedRequest)
		}
	})
	fixture.call(http.MethodPost, "/order/1", "deadly", nil)
	g.Expect(fixture.call(http.MethodPost, "/order/2", "other", nil).status).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(func() int { return len(fixture.crashes.Suspicions(time.Now())) }, 5*time.Second).Should(Equal(1))
}

// Guards against crashes that look like the end of a response without a length or chunks, and
// against sound requests that are refused since quiet servers count as crashed (review/9).
func TestCrashThatLooksLikeAnEndIsSuspected(t *testing.T) {
	cases := []struct {
		name string
		// after is what happens once the response has ended.
		after func(fixture *fixture, backend *httptest.Server)
		seen  int
	}{
		{name: "the server has ended", after: func(_ *fixture, backend *httptest.Server) { backend.Close() }, seen: 1},
		{name: "the server has ended and another one uses its address", after: func(fixture *fixture, _ *httptest.Server) {
			time.AfterFunc(2*time.Second, func() { restartServer(fixture, fixture.pool.Servers(time.Now())[0]) })
		}, seen: 1},
		{name: "the server answers others", after: func(fixture *fixture, _ *httptest.Server) {
			fixture.call(http.MethodPost, "/draft/2", "other", nil)
		}},
		{name: "the server is quiet"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			fixture := newFixture(t, route("draft", policy.KindStream, "desk"))
			backend, _ := fixture.endingServer("desk-1")
			g.Expect(fixture.call(http.MethodPost, "/draft/1", "deadly", nil).body).To(Equal(events(1, 1)))
			if each.after != nil {
				each.after(fixture, backend)
			}
			seen := func() int {
				count := 0
				for _, suspicion := range fixture.crashes.Suspicions(time.Now()) {
					if suspicion.Fingerprint == crash.FingerprintOf("crew", http.MethodPost, "/draft/1", []byte("deadly")) {
						count++
					}
				}
				return count
			}
			g.Eventually(seen, 6*time.Second).Should(Equal(each.seen))
			g.Consistently(seen, 6*time.Second).Should(Equal(each.seen))
		})
	}
}

// Guards against a request that is refused although every server has answered it (review/9),
// and checks that such an answer clears it.
func TestResponsesThatEndWithTheirConnectionClearTheirRequest(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("draft", policy.KindStream, "desk"))
	fingerprint := crash.FingerprintOf("crew", http.MethodPost, "/draft/1", []byte("sound"))
	for _, server := range []string{"other-1", "other-2"} {
		fixture.crashes.Add(crash.Suspicion{Fingerprint: fingerprint, Server: server, At: time.Now()})
	}
	for _, id := range []names.BackendServer{"desk-1", "desk-2", "desk-3"} {
		_, server := fixture.endingServer(id)
		g.Expect(fixture.call(http.MethodPost, "/draft/1", "sound", nil).status).To(Equal(http.StatusOK))
		fixture.pool.RecordDeparture(server, time.Now())
	}
	g.Eventually(func() []crash.Suspicion { return fixture.crashes.Suspicions(time.Now()) }, 10*time.Second).Should(BeEmpty())
	g.Consistently(func() []crash.Suspicion { return fixture.crashes.Suspicions(time.Now()) }, 2*time.Second).Should(BeEmpty())
}

// endingServer adds a server whose responses end with their connections.
func (fixture *fixture) endingServer(id names.BackendServer) (*httptest.Server, *pool.Server) {
	backend := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn := hijack(writer)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nConnection: close\r\n\r\n%s", request.Header.Get("Id"), events(1, 1))
		conn.Close()
	}))
	fixture.t.Cleanup(backend.Close)
	server := &pool.Server{ID: id, Service: "desk", Address: backend.Listener.Addr().String(), Domain: "a", Slots: 4}
	fixture.pool.Put(server)
	return backend, server
}
