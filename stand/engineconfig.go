package stand

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
)

// Defaults of a stand-in engine; they are fast, for tests.
const (
	defaultStep               = time.Millisecond
	defaultMemoryBytes        = 80 << 30
	defaultMaxSequences       = 64
	defaultPrefillTokens      = 4096
	defaultCacheBytesPerToken = 128 << 10
)

// EngineConfig carries what an [Engine] is built from. Zero fields that need a
// value take a default.
type EngineConfig struct {
	// Clock is the source of time; nil means the machine's clock.
	Clock clockwork.Clock
	// Boot is the start of the boot identifiers, which end in a counter.
	Boot string
	// MemoryBytes is the size of the accelerator memory.
	MemoryBytes int64
	// Step is the time that one step of the batch takes.
	Step time.Duration
	// MaxSequences bounds the sequences of one batch.
	MaxSequences int
	// PrefillTokensPerStep bounds the prompt tokens processed in one step.
	PrefillTokensPerStep int64
	// CacheBytesPerToken is the KV cache that a token takes.
	CacheBytesPerToken int64
	// ModelCacheBytesPerToken goes before CacheBytesPerToken for its models.
	ModelCacheBytesPerToken map[names.Model]int64
	// PrefixBytes bounds the prefix cache; zero turns it off.
	PrefixBytes int64
	// LoadTime, AdapterLoadTime and UnloadTime are what orders take.
	LoadTime        time.Duration
	AdapterLoadTime time.Duration
	UnloadTime      time.Duration
	// ReportLag is the age of what reports tell.
	ReportLag time.Duration
	// Fencing refuses orders with an epoch below the highest seen.
	Fencing bool
	// LoseFenceAtCrash makes a crash lose the highest epoch seen.
	LoseFenceAtCrash bool
	// Resident is loaded at the first boot; a crash leaves nothing resident.
	Resident []engine.Resident
	// Fetch, where not nil, reads weights from the weight store; a load ends
	// once it returned and the load time passed. An error ends the load.
	Fetch func(ctx context.Context, model names.Model, adapter names.Adapter, bytes int64) error
	// Exit, where not nil, ends the process at a crash. Otherwise a crash breaks
	// all streams, empties the memory and begins a new boot.
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
