package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/policy"
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
			g.Eventually(func() int { return len(world.crashes.Sightings(time.Now())) }, 5*time.Second).Should(Equal(1))
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
	g.Eventually(func() int { return len(world.crashes.Sightings(time.Now())) }, 5*time.Second).Should(Equal(streams))
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
	g.Eventually(func() int { return len(world.crashes.Sightings(time.Now())) }, 5*time.Second).Should(Equal(1))
	world.front.CloseClientConnections()
	ended.Wait()
}
