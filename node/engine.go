package node

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/loader"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/place"
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/store"
)

// reportRetryDelay is the delay between attempts to get an engine's first report.
const reportRetryDelay = 100 * time.Millisecond

// backend is the backend of an agent: a model engine with its loader and guard,
// or a plain service.
type backend struct {
	loader  *loader.Loader
	guard   *poison.Guard
	applier *place.Applier
	memory  int64
	plain   engine.PlainService
}

// backendParts are the dependencies of a backend.
type backendParts struct {
	fx.In

	Settings *setup.Agent
	Clock    *clock.Service
	Source   config.Source
	Store    *store.Client
	Log      logrus.FieldLogger
	Metrics  metrics.Registry
}

func newBackend(parts backendParts) (*backend, error) {
	settings := parts.Settings
	if settings.PlainURL != "" {
		return &backend{plain: engine.NewHTTPPlainService(engine.HTTPPlainServiceConfig{URL: settings.PlainURL})}, nil
	}
	client := engine.NewHTTPEngine(engine.HTTPEngineConfig{URL: settings.EngineURL})
	memory, err := memoryBytes(client, settings, parts.Clock)
	if err != nil {
		return nil, err
	}
	built := &backend{memory: memory}
	built.loader = loader.New(loader.Config{
		Ledger: ledger.Config{
			Instance: settings.InstanceName(), Address: settings.Listen, MemoryBytes: memory,
			ReportPeriod: settings.ReportPeriod, ReportLag: settings.ReportLag,
		},
		Server: names.BackendServer(settings.Server), Engine: client, Store: parts.Store,
		Clock: parts.Clock, Logger: parts.Log, Metrics: parts.Metrics,
		CacheBytes: func(generation engine.Generation) int64 { return cacheBytes(parts.Source, generation) },
		OnReport: func(askedAt time.Time, report engine.Report) {
			built.applier.HandleReport(report)
			built.guard.Observe(askedAt, report)
		},
	})
	built.applier = place.NewApplier(built.loader)
	// The guard wraps the loader, so that a suspected request first waits and then
	// asks the loader for permission.
	built.guard = poison.NewGuard(poison.GuardConfig{
		Server: names.BackendServer(settings.Server), Engine: built.loader.Engine(),
		Clock: parts.Clock, Logger: parts.Log, ReportLag: settings.ReportLag,
	})
	return built, nil
}

// memoryBytes returns the size of the accelerator memory, from the settings or
// else from the engine's first report.
func memoryBytes(client engine.Engine, settings *setup.Agent, clock *clock.Service) (int64, error) {
	if settings.MemoryBytes > 0 {
		return settings.MemoryBytes, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for {
		report, err := client.Report(ctx)
		if err == nil {
			return report.MemoryBytes, nil
		}
		select {
		case <-clock.After(reportRetryDelay):
		case <-ctx.Done():
			return 0, err
		}
	}
}

// cacheBytes returns the size of a generation's KV cache, for its prompt and its
// maximum output.
func cacheBytes(source config.Source, generation engine.Generation) int64 {
	tokens := generation.PromptTokens + generation.MaxTokens
	snapshot := source.Current()
	if snapshot == nil {
		return 0
	}
	model, known := snapshot.Model(generation.Model)
	if !known {
		return 0
	}
	return int64(tokens) * model.CacheBytesPerToken()
}
