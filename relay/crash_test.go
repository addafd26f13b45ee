package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

// TestCrashDuringAnswerIsSuspected ends a server after a part of its answer.
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
			world := newWorld(t, draft)
			world.server("desk-1", "desk", func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprint(writer, each.begin)
				_ = http.NewResponseController(writer).Flush()
				panic(http.ErrAbortHandler)
			})
			g.Expect(world.call(http.MethodPost, "/draft/1", "deadly", nil).err != nil).To(Equal(each.begin != "half"))
			g.Eventually(func() int { return len(world.crashes.Suspicions(time.Now())) }, 5*time.Second).Should(Equal(1))
		})
	}
}

// TestBreaksOfOneCrashDoNotClearEachOther ends a server with many streams, whose
// connections break one after the other.
func TestBreaksOfOneCrashDoNotClearEachOther(t *testing.T) {
	const streams = 5
	g := NewWithT(t)
	draft := route("draft", policy.KindStream, "desk")
	draft.Resumable = true
	world := newWorld(t, draft)
	var begun, ended sync.WaitGroup
	begun.Add(streams)
	crashed := make(chan struct{})
	world.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
		index := int(request.URL.Path[len(request.URL.Path)-1] - '0')
		_, _ = fmt.Fprint(writer, events(1, 1))
		_ = http.NewResponseController(writer).Flush()
		begun.Done()
		<-crashed
		time.Sleep(time.Duration(index) * 20 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	for index := range streams {
		ended.Go(func() { world.call(http.MethodPost, fmt.Sprintf("/draft/%d", index), "", nil) })
	}
	begun.Wait()
	close(crashed)
	ended.Wait()
	g.Eventually(func() int { return len(world.crashes.Suspicions(time.Now())) }, 5*time.Second).Should(Equal(streams))
}

// TestBytesUnderWayDoNotClearCrash ends a server whose last bytes on one connection
// come after the break of another.
func TestBytesUnderWayDoNotClearCrash(t *testing.T) {
	g := NewWithT(t)
	world := newWorld(t, route("draft", policy.KindStream, "desk"), route("order", policy.KindUnsafe, "desk"))
	begun, crashed := make(chan struct{}), make(chan struct{})
	world.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
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
	ended.Go(func() { world.call(http.MethodPost, "/draft/1", "", nil) })
	<-begun
	world.call(http.MethodPost, "/order/1", "deadly", nil)
	g.Eventually(func() int { return len(world.crashes.Suspicions(time.Now())) }, 5*time.Second).Should(Equal(1))
	world.front.CloseClientConnections()
	ended.Wait()
}

// TestServerThatFallsSilentIsSuspected has a server answer nothing more until the
// request ends by itself, and the registry then lose the server's entry, or not.
func TestServerThatFallsSilentIsSuspected(t *testing.T) {
	cases := []struct {
		name  string
		begin string
		// leaves tells that the caller gives up; else the route's time passes.
		leaves bool
		after  func(world *world, server *pool.Server)
		seen   int
	}{
		{name: "time passes, the entry is lost", after: removed, seen: 1},
		{name: "time passes after an event, the entry is lost", begin: events(1, 1), after: removed, seen: 1},
		{name: "the caller leaves, the entry is lost", leaves: true, after: removed, seen: 1},
		{name: "the caller leaves after an event, the server starts again", begin: events(1, 1), leaves: true, after: reborn, seen: 1},
		{name: "the entry stays", leaves: true, after: func(*world, *pool.Server) {}},
		{name: "the server left as planned", leaves: true, after: func(world *world, server *pool.Server) {
			draining := *server
			draining.Draining = true
			world.pool.Put(&draining)
			removed(world, server)
		}},
		{name: "the registry does not answer", leaves: true, after: func(world *world, server *pool.Server) {
			world.pool.RegistryLost(time.Now())
			removed(world, server)
		}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			draft := route("draft", policy.KindStream, "desk")
			draft.Timeout = 500 * time.Millisecond
			world := newWorld(t, draft)
			world.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
				if each.begin != "" {
					_, _ = fmt.Fprint(writer, each.begin)
					_ = http.NewResponseController(writer).Flush()
				}
				<-request.Context().Done()
			})
			var ended sync.WaitGroup
			ended.Go(func() { world.call(http.MethodPost, "/draft/1", "deadly", nil) })
			if each.leaves {
				time.Sleep(200 * time.Millisecond)
				world.front.CloseClientConnections()
			}
			ended.Wait()
			time.Sleep(200 * time.Millisecond)
			each.after(world, world.pool.Servers(time.Now())[0])
			sightings := func() int { return len(world.crashes.Suspicions(time.Now())) }
			g.Eventually(sightings, 6*time.Second).Should(Equal(each.seen))
			g.Consistently(sightings, 5*time.Second).Should(Equal(each.seen))
		})
	}
}

func removed(world *world, server *pool.Server) { world.pool.Remove(server.ID, time.Now()) }

func reborn(world *world, server *pool.Server) {
	restarted := *server
	restarted.Incarnation++
	world.pool.Put(&restarted)
}

// TestCallersWhoLeaveSuspectNoServerThatAnswersOthers loses the entry of a server
// that answered a later request.
func TestCallersWhoLeaveSuspectNoServerThatAnswersOthers(t *testing.T) {
	g := NewWithT(t)
	draft := route("draft", policy.KindStream, "desk")
	draft.Timeout = 300 * time.Millisecond
	world := newWorld(t, draft)
	world.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasSuffix(request.URL.Path, "/1") {
			<-request.Context().Done()
			return
		}
		_, _ = fmt.Fprint(writer, events(1, 1))
	})
	world.call(http.MethodPost, "/draft/1", "slow", nil)
	g.Expect(world.call(http.MethodPost, "/draft/2", "quick", nil).err).NotTo(HaveOccurred())
	time.Sleep(200 * time.Millisecond)
	removed(world, world.pool.Servers(time.Now())[0])
	g.Consistently(func() int { return len(world.crashes.Suspicions(time.Now())) }, 5*time.Second).Should(BeZero())
}

// TestSuccessorAtTheAddressIsNoSignOfLife has another instance answer at the address
// of a server that has crashed.
func TestSuccessorAtTheAddressIsNoSignOfLife(t *testing.T) {
	g := NewWithT(t)
	world := newWorld(t, route("order", policy.KindUnsafe, "desk"))
	var once sync.Once
	world.server("desk-1", "desk", func(writer http.ResponseWriter, _ *http.Request) {
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
	world.call(http.MethodPost, "/order/1", "deadly", nil)
	g.Expect(world.call(http.MethodPost, "/order/2", "other", nil).status).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(func() int { return len(world.crashes.Suspicions(time.Now())) }, 5*time.Second).Should(Equal(1))
}

// TestCrashThatLooksLikeAnEndIsSuspected ends a server whose answer has neither a
// length nor chunks, so that its connection's end is the answer's.
func TestCrashThatLooksLikeAnEndIsSuspected(t *testing.T) {
	cases := []struct {
		name  string
		lives bool
		seen  int
	}{
		{name: "nothing more comes from the server", seen: 1},
		{name: "the server answers others", lives: true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			world := newWorld(t, route("draft", policy.KindStream, "desk"))
			world.server("desk-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
				conn := hijack(writer)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\n%s", request.Header.Get("Id"), events(1, 1))
				conn.Close()
			})
			g.Expect(world.call(http.MethodPost, "/draft/1", "deadly", nil).body).To(Equal(events(1, 1)))
			if each.lives {
				g.Expect(world.call(http.MethodPost, "/draft/2", "other", nil).status).To(Equal(http.StatusOK))
			}
			sightings := func() int {
				count := 0
				for _, suspicion := range world.crashes.Suspicions(time.Now()) {
					if suspicion.Fingerprint == crash.FingerprintOf("crew", http.MethodPost, "/draft/1", []byte("deadly")) {
						count++
					}
				}
				return count
			}
			g.Eventually(sightings, 3*time.Second).Should(Equal(each.seen))
			g.Consistently(sightings, 2*time.Second).Should(Equal(each.seen))
		})
	}
}
