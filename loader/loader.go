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

// Loader runs a ledger. All methods are safe for concurrent use.
type Loader struct {
	config Config
	// slots holds a value for each call under way.
	slots chan struct{}
	calls sync.WaitGroup
	// ended is closed once the ledger has ended.
	ended chan struct{}

	orders metrics.Counter
	reads  metrics.Counter
	writes metrics.Counter

	// mu guards the fields below.
	mu      sync.Mutex
	ledger  *ledger.Ledger
	holding bool
	lost    bool
	// freed is closed, and made anew, when KV cache may have become free.
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
		config: config, slots: make(chan struct{}, maxCalls), ended: make(chan struct{}),
		freed:  make(chan struct{}),
		ledger: ledger.New(config.Ledger),
		orders: metrics.GetOrRegisterCounter("ledger.orders", config.Metrics),
		reads:  metrics.GetOrRegisterCounter("ledger.recordReads", config.Metrics),
		writes: metrics.GetOrRegisterCounter("ledger.recordWrites", config.Metrics),
	}
}

// Start runs the ledger until ctx ends. It returns at once.
func (loader *Loader) Start(ctx context.Context) {
	loader.step(ctx, ledger.Tick{})
	loader.config.Clock.Subscribe(ctx, loader.config.Tick, func(ctx context.Context, _ time.Time) {
		loader.step(ctx, ledger.Tick{})
	})
}

// Wait blocks until no call is under way. Call it after the context of
// [Loader.Start] has ended and the clock's subscriptions have, too.
func (loader *Loader) Wait() { loader.calls.Wait() }

// Ended is closed once the agent has lost or released its engine; [Loader.Lost]
// tells which.
func (loader *Loader) Ended() <-chan struct{} { return loader.ended }

// Lost tells that another agent has the engine.
func (loader *Loader) Lost() bool {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.lost
}

// step gives event to the ledger and starts what it asks for.
func (loader *Loader) step(ctx context.Context, event ledger.Event) {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	loader.start(ctx, loader.ledger.Step(loader.config.Clock.Now(), event))
	loader.noteState()
	loader.wake()
}

// wake lets those look again that wait for KV cache; mu is held.
func (loader *Loader) wake() {
	close(loader.freed)
	loader.freed = make(chan struct{})
}

// start starts actions; mu is held.
func (loader *Loader) start(ctx context.Context, actions []ledger.Action) {
	for _, action := range actions {
		if terminate, lost := action.(ledger.Terminate); lost {
			loader.lost = true
			event.EngineLost.Log(loader.config.Logger, logrus.Fields{"epoch": terminate.Epoch})
			continue
		}
		loader.calls.Go(func() {
			loader.slots <- struct{}{}
			defer func() { <-loader.slots }()
			loader.step(ctx, loader.run(ctx, action))
		})
	}
}

// noteState logs and tells changes of state; mu is held.
func (loader *Loader) noteState() {
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

// SetTarget takes the target of a newer plan and tells whether it was newer.
func (loader *Loader) SetTarget(target ledger.Target) bool {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.ledger.SetTarget(target)
}

// Reserve reserves the KV cache of a generation and tells whether it could.
func (loader *Loader) Reserve(request names.Request, item ledger.Item, bytes int64) bool {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.ledger.ReserveCache(loader.config.Clock.Now(), request, item, bytes)
}

// MayGenerate tells whether a generation may be sent; ask right before it is.
func (loader *Loader) MayGenerate() bool {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.ledger.MayGenerate(loader.config.Clock.Now())
}

// Release frees the KV cache of a generation that ended whole or was not sent.
func (loader *Loader) Release(request names.Request) {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	loader.ledger.ReleaseCache(request)
	loader.wake()
}

// Abandon frees the KV cache of a generation that broke, once the engine has
// surely given it up.
func (loader *Loader) Abandon(request names.Request) {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	loader.ledger.AbandonCache(loader.config.Clock.Now(), request)
}

// AbandonRunning is [Loader.Abandon] for a generation that gave output.
func (loader *Loader) AbandonRunning(request names.Request) {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	loader.ledger.AbandonRunning(loader.config.Clock.Now(), request)
}

// Usable tells that item can serve generations.
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

// Reserved returns what may be resident.
func (loader *Loader) Reserved() []ledger.Weights {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.ledger.Reserved()
}

// Stop gives the engine up once no generation runs, so that a successor need
// not wait, and returns when that is recorded or ctx ends.
func (loader *Loader) Stop(ctx context.Context) error {
	loader.mu.Lock()
	loader.start(ctx, loader.ledger.Release(loader.config.Clock.Now()))
	loader.noteState()
	loader.mu.Unlock()
	select {
	case <-loader.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
