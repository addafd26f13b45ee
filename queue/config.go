package queue

import "time"

// Config configures a [Queue]. Zero fields that have a default take it.
type Config struct {
	// Slots bounds the requests that run at once.
	Slots int
	// CacheTokens bounds the KV cache reserved by running requests; zero means
	// no bound.
	CacheTokens int64
	// MaxItems and MaxBytes bound the waiting requests, separately for batch and
	// for other requests.
	MaxItems int
	MaxBytes int64
	// BatchShare is the minimum work of batch requests, relative to the other
	// work that starts while they wait.
	BatchShare float64
	// ReservedShare is the share of the slots that batch requests leave free.
	ReservedShare float64
	// PromptWeight is the cost of a prompt token relative to an output token.
	PromptWeight float64
	// TokenGap and PromptGap are the time that an output token and a prompt token
	// are expected to take until they are measured.
	TokenGap  time.Duration
	PromptGap time.Duration
	// MaxPreemptions bounds how often one batch request is preempted; negative
	// means never.
	MaxPreemptions int
	// Policy disables single mechanisms; its zero value enables all of them.
	Policy Policy
}

// Policy disables single mechanisms, to measure each against a baseline.
type Policy struct {
	// NoFairness treats all requests as one account's.
	NoFairness bool
	// NoDisplacement refuses an infeasible request even if its account has had
	// less recent work than another with waiting requests.
	NoDisplacement bool
	// NoDeadline orders requests by arrival.
	NoDeadline bool
	// NoRefusal admits requests that are expected to miss their objective.
	NoRefusal bool
	// NoPacing uses all slots however slow tokens get.
	NoPacing bool
	// NoBatchClass schedules batch requests together with the others.
	NoBatchClass bool
	// StrictPriority orders requests by kind, in the order of [call.Kinds], and
	// then by arrival.
	StrictPriority bool
}

const (
	defaultSlots          = 32
	defaultMaxItems       = 10_000
	defaultMaxBytes       = 32 << 20
	defaultBatchShare     = 0.05
	defaultReservedShare  = 0.125
	defaultPromptWeight   = 0.2
	defaultTokenGap       = 25 * time.Millisecond
	defaultPromptGap      = 100 * time.Microsecond
	defaultMaxPreemptions = 8
)

func (config Config) withDefaults() Config {
	setDefault(&config.Slots, defaultSlots)
	setDefault(&config.MaxItems, defaultMaxItems)
	setDefault(&config.MaxBytes, defaultMaxBytes)
	setDefault(&config.BatchShare, defaultBatchShare)
	setDefault(&config.ReservedShare, defaultReservedShare)
	setDefault(&config.PromptWeight, defaultPromptWeight)
	setDefault(&config.TokenGap, defaultTokenGap)
	setDefault(&config.PromptGap, defaultPromptGap)
	setDefault(&config.MaxPreemptions, defaultMaxPreemptions)
	return config
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
