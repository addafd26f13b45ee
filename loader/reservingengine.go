package loader

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
)

// refusalRetryAfter is the delay after which a caller may repeat a request that was
// refused here.
const refusalRetryAfter = 2 * time.Second

// ReservingEngine is the loader's engine, with KV cache reserved before each
// generation is sent. Generations must reach the engine only through it.
type ReservingEngine struct {
	engine.Engine
	loader *Loader
}

// Engine returns the engine on which the agent serves generations.
func (loader *Loader) Engine() *ReservingEngine {
	return &ReservingEngine{Engine: loader.config.Engine, loader: loader}
}

// Generate implements [engine.Engine]. Besides the engine's own errors it
// returns a *[call.Refusal] for a generation that was not sent.
func (reservingEngine *ReservingEngine) Generate(ctx context.Context, generation engine.Generation, sink func(engine.Piece) error) error {
	loader := reservingEngine.loader
	if err := loader.waitForCache(ctx, generation); err != nil {
		return err
	}
	if !loader.MayGenerate() {
		loader.Release(generation.Request)
		return refusal(call.CodeUnavailable, "the agent must confirm that it still has its engine")
	}
	running := false
	err := reservingEngine.Engine.Generate(ctx, generation, func(piece engine.Piece) error {
		running = true
		return sink(piece)
	})
	switch {
	case generationEnded(err):
		loader.Release(generation.Request)
	case running:
		loader.AbandonRunning(generation.Request)
	default:
		loader.Abandon(generation.Request)
	}
	return err
}

// generationEnded reports whether the engine does not run the generation any more
// and will not receive it later, judging by the error of Generate.
func generationEnded(err error) bool {
	var (
		sendError   *engine.SendError
		statusError *engine.StatusError
	)
	switch {
	case err == nil, errors.As(err, &statusError):
		return true
	case errors.As(err, &sendError):
		return !sendError.MaybeSent
	default:
		return false
	}
}

// waitForCache waits until it has reserved the generation's KV cache. It returns a
// *[call.Refusal] if it cannot.
func (loader *Loader) waitForCache(ctx context.Context, generation engine.Generation) error {
	item := ledger.Item{Model: generation.Model, Adapter: generation.Adapter}
	bytes := loader.config.CacheBytes(generation)
	for {
		loader.mu.Lock()
		freed := loader.freed
		reserved := loader.ledger.ReserveCache(loader.config.Clock.Now(), generation.Request, item, bytes)
		usable := loader.usable(item)
		maxBytes := loader.ledger.MaxCacheBytes()
		loader.mu.Unlock()
		switch {
		case reserved:
			return nil
		case !usable:
			return refusal(call.CodeLoading, "the model is not usable here")
		case bytes > maxBytes:
			return refusal(call.CodeTooLarge, "prompt and output do not fit beside the models")
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return refusal(call.CodeOverloaded, "no KV cache became free in time")
		}
	}
}

func refusal(code call.Code, message string) *call.Refusal {
	return &call.Refusal{Code: code, Message: message, Outcome: call.NotRun{}, RetryAfter: refusalRetryAfter}
}

// Ready reports whether the agent can serve model, with adapter unless that is
// empty.
func (loader *Loader) Ready(model names.Model, adapter names.Adapter) bool {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	return loader.usable(ledger.Item{Model: model, Adapter: adapter})
}

// usable reports whether the agent can serve item. The caller holds mu.
func (loader *Loader) usable(item ledger.Item) bool {
	return loader.ledger.Serving() && loader.ledger.Usable(ledger.Item{Model: item.Model}) && loader.ledger.Usable(item)
}

// Models returns the models that the agent can serve.
func (loader *Loader) Models() []names.Model {
	loader.mu.Lock()
	defer loader.mu.Unlock()
	var models []names.Model
	for _, weights := range loader.ledger.Reserved() {
		if weights.Item.Adapter == "" && loader.usable(weights.Item) {
			models = append(models, weights.Item.Model)
		}
	}
	return slices.Clip(models)
}
