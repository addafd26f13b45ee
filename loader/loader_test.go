package loader_test

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/loader"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/stand"
	"github.com/basilkeel/basilkeel/store"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

const eventuallyTimeout = 30 * time.Second

// fakeStore stores one entry. It does not implement the methods that the loader
// does not use.
type fakeStore struct {
	store.Store
	mu       sync.Mutex
	entry    store.Entry
	revision store.Revision
	writes   int
	// loseAnswers is the number of writes to come that take effect and return
	// *[store.UnknownError].
	loseAnswers int
}

func (fakeStore *fakeStore) Get(context.Context, string) (store.Entry, bool, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	return fakeStore.entry, fakeStore.revision != 0, nil
}

func (fakeStore *fakeStore) Swap(_ context.Context, swap store.Swap) (store.Revision, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	if swap.Expected != fakeStore.revision {
		return 0, &store.ConflictError{Key: swap.Key, Expected: swap.Expected, Actual: fakeStore.revision}
	}
	fakeStore.revision++
	fakeStore.writes++
	fakeStore.entry = store.NewEntry(store.EntryConfig{Key: swap.Key, Value: swap.Value, Revision: fakeStore.revision})
	if fakeStore.loseAnswers > 0 {
		fakeStore.loseAnswers--
		return 0, &store.UnknownError{Operation: "swap"}
	}
	return fakeStore.revision, nil
}

type process struct {
	loader *loader.Loader
	clock  *clock.Service
	stop   context.CancelFunc
}

func (process process) kill() {
	process.stop()
	process.clock.Wait()
	process.loader.Wait()
}

func startLoader(fakeStore *fakeStore, client engine.Engine, name names.Instance) process {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	service := clock.NewService(clock.ServiceConfig{})
	ctx, stop := context.WithCancel(context.Background())
	process := process{clock: service, stop: stop, loader: loader.New(loader.Config{
		Server: "engine-1", Engine: client, Store: fakeStore, Clock: service, Logger: logger,
		CacheBytes: func(generation engine.Generation) int64 {
			return stand.EngineTokens(generation.Prompt) + int64(generation.MaxTokens)
		},
		Tick: 2 * time.Millisecond, Timeout: 20 * time.Millisecond,
		Ledger: ledger.Config{
			Instance: name, Address: "127.0.0.1:1", MemoryBytes: 100, OrderLifetime: 50 * time.Millisecond,
			RetryWait: 5 * time.Millisecond, ReportPeriod: 2 * time.Millisecond,
		},
	})}
	process.loader.Start(ctx)
	return process
}

// TestMovesThroughFaults checks that a loader reaches its targets, and serves a
// generation, on a simulated engine over HTTP, in spite of lost, late and
// duplicated orders, lost results of writes to the store and a restart.
func TestMovesThroughFaults(t *testing.T) {
	g := NewWithT(t)
	leaks := goleak.IgnoreCurrent()
	standEngine := stand.NewEngine(stand.EngineConfig{MemoryBytes: 100, CacheBytesPerToken: 1})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); standEngine.Run(ctx) }()
	server := httptest.NewServer(standEngine.Handler())
	client := engine.NewHTTPEngine(engine.HTTPEngineConfig{URL: server.URL})
	fakeStore := &fakeStore{loseAnswers: 2}

	first := startLoader(fakeStore, client, "agent-1")
	items := []ledger.Weights{
		{Item: ledger.Item{Model: "a@1"}, Bytes: 60},
		{Item: ledger.Item{Model: "a@1", Adapter: "x"}, Bytes: 5},
		{Item: ledger.Item{Model: "b@1"}, Bytes: 70},
	}
	standEngine.SetFaults(stand.EngineFaults{
		LoseOrders: 1, DelayOrders: 1, DoubleOrders: 1, LoseAnswers: 1, OrderDelay: 20 * time.Millisecond,
	})
	g.Expect(first.loader.SetTarget(ledger.Target{Version: 1, Role: engine.RoleMixed, Items: items[:2]})).To(BeTrue())
	g.Eventually(first.loader.Missing, eventuallyTimeout).Should(BeEmpty())
	g.Expect(first.loader.Reserve("r", items[1].Item, 20)).To(BeTrue())
	g.Expect(first.loader.Reserve("r2", items[1].Item, 20)).To(BeFalse())
	first.loader.Abandon("r")
	text := ""
	g.Expect(first.loader.Ready("a@1", "x")).To(BeTrue())
	g.Expect(first.loader.Models()).To(Equal([]names.Model{"a@1"}))
	generation := engine.Generation{Request: "r3", Model: "a@1", Adapter: "x", Prompt: "a label", MaxTokens: 10}
	g.Expect(first.loader.Engine().Generate(ctx, generation, func(piece engine.Piece) error {
		text += piece.Text
		return nil
	})).To(Succeed())
	g.Expect(strings.Fields(text)).To(HaveLen(10))
	generation.MaxTokens = 1000
	var refusal *call.Refusal
	g.Expect(errors.As(first.loader.Engine().Generate(ctx, generation, nil), &refusal)).To(BeTrue())
	g.Expect(refusal.Code).To(Equal(call.CodeTooLarge))
	first.loader.SetTarget(ledger.Target{Version: 2, Role: engine.RoleMixed, Items: items[2:]})
	g.Eventually(first.loader.Missing, eventuallyTimeout).Should(BeEmpty())
	first.kill()

	second := startLoader(fakeStore, client, "agent-2")
	second.loader.SetTarget(ledger.Target{Version: 3, Role: engine.RoleMixed, Items: items[:2]})
	g.Eventually(second.loader.Missing, eventuallyTimeout).Should(BeEmpty())
	g.Expect(second.loader.Stop(ctx)).To(Succeed())
	g.Expect(second.loader.Lost()).To(BeFalse())
	second.kill()

	g.Expect(standEngine.Truth().Violations).To(BeZero())
	client.Close()
	server.Close()
	stop()
	<-ended
	goleak.VerifyNone(t, leaks)
}
