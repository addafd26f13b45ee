package loader

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
)

// Loader runs a [ledger.Ledger]. Its methods are safe for concurrent use.
type Loader struct {
	config Config
	// slots holds a value for each running call.
	slots chan struct{}
	calls sync.WaitGroup
	// ended is closed once the ledger has ended.
	ended chan struct{}

	orders metrics.Counter
	reads  metrics.Counter
	writes metrics.Counter

	// mu guards the fields below.
	mu     sync.Mutex
	ledger *ledger.Ledger
	// holding is the result of [ledger.Ledger.Holding] at the last update.
	holding bool
	// lost reports whether another agent has acquired the engine.
	lost bool
	// freed is closed and replaced whenever KV cache may have become free.
	freed chan struct{}
}

// New returns a loader that does nothing until [Loader.Start].
func New(config Config) *Loader {
	if config.Tick == 0 {
		config.Tick = defaultTick
	}
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	return &Loader{
		config: config, slots: make(chan struct{}, maxConcurrentCalls), ended: make(chan struct{}),
		freed:  make(chan struct{}),
		ledger: ledger.New(config.Ledger),
		orders: metrics.GetOrRegisterCounter("ledger.orders", config.Metrics),
		reads:  metrics.GetOrRegisterCounter("ledger.recordReads", config.Metrics),
		writes: metrics.GetOrRegisterCounter("ledger.recordWrites", config.Metrics),
	}
}

// Start runs the ledger in the background until ctx ends.
func (loader *Loader) Start(ctx context.Context) {
	loader.handleEvent(ctx, ledger.Tick{})
	loader.config.Clock.Subscribe(ctx, loader.config.Tick, func(ctx context.Context, _ time.Time) {
		loader.handleEvent(ctx, ledger.Tick{})
	})
}

// Wait blocks until no call is running. Call it after the context of
// [Loader.Start] and the clock's subscriptions have ended.
func (loader *Loader) Wait() { loader.calls.Wait() }

// Ended returns a channel that is closed once the agent has lost or released its
// engine; [Loader.Lost] reports which.
func (loader *Loader) Ended() <-chan struct{} { return loader.ended }

// Lost reports whether another agent has acquired the engine.
func (loader *Loader) Lost() bool {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.lost
}

// handleEvent passes event to the ledger and starts the actions that it returns.
func (loader *Loader) handleEvent(ctx context.Context, event ledger.Event) {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	loader.startActions(ctx, loader.ledger.Step(loader.config.Clock.Now(), event))
	loader.updateState()
	loader.wakeWaiters()
}

// wakeWaiters makes the generations that wait for KV cache try again. The caller
// holds mu.
func (loader *Loader) wakeWaiters() {
	close(loader.freed)
	loader.freed = make(chan struct{})
}

// startActions starts to execute actions in the background. The caller holds mu.
func (loader *Loader) startActions(ctx context.Context, actions []ledger.Action) {
	for _, action := range actions {
		if terminate, isTerminate := action.(ledger.Terminate); isTerminate {
			loader.lost = true
			event.EngineLost.Log(loader.config.Logger, logrus.Fields{"epoch": terminate.Epoch})
			continue
		}
		loader.calls.Go(func() {
			loader.slots <- struct{}{}
			defer func() { <-loader.slots }()
			loader.handleEvent(ctx, loader.execute(ctx, action))
		})
	}
}

// updateState logs changes of the ledger's state, and closes ended once the ledger
// has ended. The caller holds mu.
func (loader *Loader) updateState() {
	if holding := loader.ledger.Holding(); holding != loader.holding {
		loader.holding = holding
		if holding {
			event.EngineTaken.Log(loader.config.Logger, logrus.Fields{"epoch": loader.ledger.Epoch()})
		}
	}
	if !loader.ledger.Ended() {
		return
	}
	select {
	case <-loader.ended:
	default:
		close(loader.ended)
		if !loader.lost {
			event.EngineReleased.Log(loader.config.Logger, logrus.Fields{"epoch": loader.ledger.Epoch()})
		}
	}
}

// SetTarget sets the target if its version is newer than the current one, and
// reports whether it was.
func (loader *Loader) SetTarget(target ledger.Target) bool {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.ledger.SetTarget(target)
}

// Reserve reserves the KV cache of a generation and reports whether it could.
func (loader *Loader) Reserve(request names.Request, item ledger.Item, bytes int64) bool {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.ledger.ReserveCache(loader.config.Clock.Now(), request, item, bytes)
}

// MayGenerate reports whether a generation may be sent now. Call it immediately
// before the generation is sent.
func (loader *Loader) MayGenerate() bool {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.ledger.MayGenerate(loader.config.Clock.Now())
}

// Release frees the KV cache of a generation that the engine has finished, or that
// was not sent and never will be.
func (loader *Loader) Release(request names.Request) {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	loader.ledger.ReleaseCache(request)
	loader.wakeWaiters()
}

// Abandon gives up a generation that the engine may still run or may yet receive.
// Its KV cache is freed once a cancellation has certainly ended it.
func (loader *Loader) Abandon(request names.Request) {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	loader.ledger.AbandonCache(loader.config.Clock.Now(), request)
}

// AbandonRunning is like [Loader.Abandon] for a generation that has produced
// output.
func (loader *Loader) AbandonRunning(request names.Request) {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	loader.ledger.AbandonRunning(loader.config.Clock.Now(), request)
}

// Usable reports whether item is loaded and part of the target; see
// [ledger.Ledger.Usable].
func (loader *Loader) Usable(item ledger.Item) bool {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.ledger.Usable(item)
}

// Missing returns the items of the target that are not usable.
func (loader *Loader) Missing() []ledger.Item {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.ledger.Missing()
}

// Reserved returns the items that may be resident, sorted by model and adapter.
func (loader *Loader) Reserved() []ledger.Weights {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.ledger.Reserved()
}

// Stop releases the engine once no KV cache is reserved, so that a successor need
// not wait. It returns when the release is recorded or ctx ends.
func (loader *Loader) Stop(ctx context.Context) error {
	loader.mu.Lock()
	loader.startActions(ctx, loader.ledger.Release(loader.config.Clock.Now()))
	loader.updateState()
	loader.mu.Unlock()
	select {
	case <-loader.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
