package stand

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
)

// Defaults of a stand-in engine; the step is short to keep tests fast.
const (
	defaultStep               = time.Millisecond
	defaultMemoryBytes        = 80 << 30
	defaultMaxSequences       = 64
	defaultPrefillTokens      = 4096
	defaultCacheBytesPerToken = 128 << 10
)

// EngineConfig configures an [Engine]. Zero fields that need a value take a
// default.
type EngineConfig struct {
	// Clock is the source of time; nil means the system clock.
	Clock clockwork.Clock
	// Boot is the prefix of the boot identifiers, which end in a counter.
	Boot string
	// MemoryBytes is the size of the accelerator memory.
	MemoryBytes int64
	// Step is the duration of one step of the batch.
	Step time.Duration
	// MaxSequences limits the sequences in one batch.
	MaxSequences int
	// PrefillTokensPerStep limits the prompt tokens processed in one step.
	PrefillTokensPerStep int64
	// CacheBytesPerToken is the size of the KV cache of one token.
	CacheBytesPerToken int64
	// ModelCacheBytesPerToken overrides CacheBytesPerToken for the models in it.
	ModelCacheBytesPerToken map[names.Model]int64
	// PrefixBytes limits the size of the prefix cache; zero disables the cache.
	PrefixBytes int64
	// LoadTime, AdapterLoadTime and UnloadTime are the durations of loading a
	// model, loading an adapter and unloading either.
	LoadTime        time.Duration
	AdapterLoadTime time.Duration
	UnloadTime      time.Duration
	// ReportLag is the age of the state in reports.
	ReportLag time.Duration
	// Fencing makes the engine refuse orders with an epoch below the highest seen.
	Fencing bool
	// LoseFenceAtCrash makes a crash reset the highest epoch seen.
	LoseFenceAtCrash bool
	// Resident lists the weights loaded at the first boot. After a crash none are
	// resident.
	Resident []engine.Resident
	// Fetch, if not nil, reads weights from the weight store. A load completes
	// when Fetch has returned and the load time has passed; an error of Fetch
	// aborts the load.
	Fetch func(ctx context.Context, model names.Model, adapter names.Adapter, bytes int64) error
	// Exit, if not nil, is called at each crash to end the process. A crash also
	// fails all generations, clears the memory and begins a new boot.
	Exit func()
}

func (config EngineConfig) withDefaults() EngineConfig {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.Boot == "" {
		config.Boot = "boot"
	}
	if config.MemoryBytes == 0 {
		config.MemoryBytes = defaultMemoryBytes
	}
	if config.Step == 0 {
		config.Step = defaultStep
	}
	if config.MaxSequences == 0 {
		config.MaxSequences = defaultMaxSequences
	}
	if config.PrefillTokensPerStep == 0 {
		config.PrefillTokensPerStep = defaultPrefillTokens
	}
	if config.CacheBytesPerToken == 0 {
		config.CacheBytesPerToken = defaultCacheBytesPerToken
	}
	return config
}
