package copies_test

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// streamingEngine unloads models only once their streams have ended, and is busy until
// then. It counts the orders that it refuses.
type streamingEngine struct {
	*fakeEngine
	// streamsEnd is when the streams of all models have ended.
	streamsEnd time.Time
	stopping   names.Model
	refused    int
	// unloadAt is when the unload of a model was accepted.
	unloadAt time.Time
	// loadTime is how long a load takes, or zero if it ends by finish.
	loadTime time.Duration
	// loadAt is when the last order for a model was accepted.
	loadAt time.Time
}

// settle ends the running unload if its streams have ended.
func (engine *streamingEngine) settle() {
	if engine.stopping != "" && !engine.clock.Now().Before(engine.streamsEnd) {
		engine.models = slices.DeleteFunc(engine.models, func(model names.Model) bool { return model == engine.stopping })
		engine.stopping, engine.loading = "", ""
		engine.record()
	}
}

// settleLoad ends the running load if its time has passed.
func (engine *streamingEngine) settleLoad() {
	if engine.loadTime > 0 && engine.clock.Now().Sub(engine.loadAt) >= engine.loadTime {
		engine.finish()
	}
}

// Order implements [copies.EngineClient].
func (engine *streamingEngine) Order(ctx context.Context, orderRequest copies.OrderRequest) (copies.Outcome, error) {
	engine.settle()
	if orderRequest.Unload && orderRequest.Adapter == "" && engine.stopping == "" {
		engine.stopping, engine.loading = orderRequest.Model, orderRequest.Model
		engine.accepted++
		engine.unloadAt = engine.clock.Now()
		engine.record()
		return copies.OutcomeAccepted, nil
	}
	outcome, err := engine.fakeEngine.Order(ctx, orderRequest)
	switch outcome {
	case copies.OutcomeConflict:
		engine.refused++
	case copies.OutcomeAccepted:
		engine.loadAt = engine.clock.Now()
	}
	return outcome, err
}

// Report implements [copies.EngineClient].
func (engine *streamingEngine) Report(ctx context.Context, address string, server names.BackendServer) (copies.EngineReport, error) {
	engine.settle()
	engine.settleLoad()
	return engine.fakeEngine.Report(ctx, address, server)
}

func newStreamingDispatcher(engine *streamingEngine, models ...names.Model) *copies.Dispatcher {
	dispatcher := copies.NewDispatcher(copies.DispatcherConfig{
		Engines: engine, Clock: clock.NewService(clock.ServiceConfig{Clock: engine.clock}),
		Log: discardLogger(), Holder: "entry", Term: func() int64 { return 1 },
	})
	dispatcher.SyncRegistry(serversWith(models...), epoch)
	for range 3 {
		dispatcher.QueryUnknown(context.Background(), "notes")
		dispatcher.Wait()
	}
	return dispatcher
}

// TestNoLoadIsOrderedDuringAnUnload guards against loads that are repeated, and refused
// each time, while the unload before them waits for its streams.
func TestNoLoadIsOrderedDuringAnUnload(t *testing.T) {
	for _, streams := range []time.Duration{0, 600 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		t.Run(streams.String(), func(t *testing.T) {
			g := NewWithT(t)
			engine := &streamingEngine{fakeEngine: newFakeEngine("a", "b")}
			dispatcher := newStreamingDispatcher(engine, "a", "b")
			engine.streamsEnd = engine.clock.Now().Add(streams)
			dispatcher.StartStep(context.Background(), copies.Step{Server: engineID, Unload: []names.Model{"b"}, Load: "c"}, engineSpec())
			dispatcher.Wait()
			engine.finish()
			g.Expect(engine.held()).To(ConsistOf(names.Model("a"), names.Model("c")))
			g.Expect(engine.refused).To(BeZero())
			g.Expect(engine.recordedViolations()).To(BeEmpty())
		})
	}
}

// TestBusyEnginesAreNotOrderedToLoadAdapters guards against orders for adapters that an
// engine refuses as it still loads a model, also one that was taken to be loaded.
func TestBusyEnginesAreNotOrderedToLoadAdapters(t *testing.T) {
	g := NewWithT(t)
	engine := &streamingEngine{fakeEngine: newFakeEngine("a")}
	dispatcher := newStreamingDispatcher(engine, "a")
	load := func() error {
		return dispatcher.LoadAdapter(context.Background(), engineID, pool.Adapter{Model: "a", Name: "a1"}, engineSpec())
	}
	dispatcher.StartStep(context.Background(), copies.Step{Server: engineID, Load: "b"}, engineSpec())
	dispatcher.Wait()
	g.Expect(load()).NotTo(Succeed())
	g.Expect(engine.refused).To(BeZero())
	// The load takes longer than usual.
	dispatcher.SyncRegistry(serversWith("a"), engine.clock.Now().Add(5*time.Second))
	engine.clock.After(5 * time.Second)
	for range 20 {
		g.Expect(load()).NotTo(Succeed())
		dispatcher.QueryUnknown(context.Background(), "notes")
		dispatcher.Wait()
	}
	g.Expect(engine.refused).To(Equal(1))
	g.Expect(dispatcher.States("notes")[0].Blocked).To(BeTrue())
	engine.finish()
	g.Eventually(func() error {
		dispatcher.QueryUnknown(context.Background(), "notes")
		dispatcher.Wait()
		return load()
	}).Should(Succeed())
	g.Expect(engine.refused).To(Equal(1))
}

// TestWaitsForAnEngineEndWithTheirContext guards against a caller's request that waits for
// an engine longer than its time allows, for the order of another request.
func TestWaitsForAnEngineEndWithTheirContext(t *testing.T) {
	g := NewWithT(t)
	engine := newFakeEngine("a")
	dispatcher := newReadyDispatcher(engine, 1, "a")
	held, release := make(chan struct{}), make(chan struct{})
	engine.fate = func() fate {
		close(held)
		<-release
		engine.fate = func() fate { return fateReplied }
		return fateReplied
	}
	first := make(chan error, 1)
	go func() { first <- dispatcher.LoadAdapter(context.Background(), engineID, adapter, engineSpec()) }()
	<-held
	ctx, cancel := context.WithCancel(context.Background())
	second := make(chan error, 1)
	go func() {
		second <- dispatcher.LoadAdapter(ctx, engineID, pool.Adapter{Model: "a", Name: "a2"}, engineSpec())
	}()
	g.Consistently(second, "20ms").ShouldNot(Receive())
	cancel()
	g.Eventually(second).Should(Receive(MatchError(context.Canceled)))
	close(release)
	g.Eventually(first).Should(Receive(Succeed()))
	dispatcher.Wait()
}
