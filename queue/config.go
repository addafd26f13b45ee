package queue

import "time"

// Config carries what a [Queue] is built from. Zero fields take defaults.
type Config struct {
	// Slots bounds the requests that run at once.
	Slots int
	// CacheTokens bounds the KV cache reserved by running requests; zero means
	// no bound.
	CacheTokens int64
	// MaxItems and MaxBytes bound what waits, for batch and for other work each.
	MaxItems int
	MaxBytes int64
	// BatchShare is the part of the work that batch requests get at least while
	// other work waits.
	BatchShare float64
	// ReservedShare is the part of the slots that batch requests leave free.
	ReservedShare float64
	// PromptWeight is the cost of a prompt token relative to an output token.
	PromptWeight float64
	// TokenGap and PromptGap are the time a token of output and of prompt is
	// expected to take before any was measured.
	TokenGap  time.Duration
	PromptGap time.Duration
	// MaxPreemptions bounds how often one batch request is asked for its slot;
	// negative means never.
	MaxPreemptions int
	// Policy selects mechanisms; its zero value has all of them on.
	Policy Policy
}

// Policy turns single mechanisms off, for measurements against a baseline.
type Policy struct {
	// NoFairness ignores client accounts.
	NoFairness bool
	// NoDisplacement refuses the newest request, whatever its account had.
	NoDisplacement bool
	// NoDeadline orders by arrival.
	NoDeadline bool
	// NoRefusal lets requests wait however long.
	NoRefusal bool
	// NoPacing lets all slots run however slow tokens get.
	NoPacing bool
	// NoBatchClass treats batch work as other work.
	NoBatchClass bool
	// StrictPriority serves kinds in the order of [call.Kinds], whatever is due.
	StrictPriority bool
}

const (
	defaultSlots        = 32
	defaultMaxItems     = 10_000
	defaultMaxBytes     = 32 << 20
	defaultBatchShare   = 0.05
	defaultReserve      = 0.125
	defaultPromptWeight = 0.2
	defaultTokenGap     = 25 * time.Millisecond
	defaultPromptGap    = 100 * time.Microsecond
	defaultPreemptions  = 8
)

func (config Config) withDefaults() Config {
	setDefault(&config.Slots, defaultSlots)
	setDefault(&config.MaxItems, defaultMaxItems)
	setDefault(&config.MaxBytes, defaultMaxBytes)
	setDefault(&config.BatchShare, defaultBatchShare)
	setDefault(&config.ReservedShare, defaultReserve)
	setDefault(&config.PromptWeight, defaultPromptWeight)
	setDefault(&config.TokenGap, defaultTokenGap)
	setDefault(&config.PromptGap, defaultPromptGap)
	setDefault(&config.MaxPreemptions, defaultPreemptions)
	return config
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
