package place

import "time"

// Defaults of a planner.
const (
	DefaultLoadsPerSecond  = 2
	DefaultLoadsAtOnce     = 3
	DefaultAdaptersAtOnce  = 25
	DefaultMovesPerHour    = 60
	DefaultMoveBurst       = 10
	DefaultWeightShare     = 0.7
	DefaultCopyShare       = 0.85
	DefaultTokensPerSecond = 3000
	DefaultRiseTime        = 15 * time.Second
	DefaultFallTime        = 2 * time.Minute
	DefaultMaxReportAge    = 10 * time.Second
	DefaultLoadTimeout     = 2 * time.Minute
	DefaultAbsenceTimeout  = time.Minute
)

// Config carries what a [Planner] is built from. Zero values take the defaults.
type Config struct {
	// LoadsPerSecond and LoadsAtOnce bound the loads of models from the weight
	// store by the whole fleet.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// AdaptersAtOnce bounds the loads of adapters by the whole fleet.
	AdaptersAtOnce int
	// MovesPerHour and MoveBurst bound the copies that are made because of
	// demand. Copies that a model needs to stay reachable are not counted.
	MovesPerHour float64
	MoveBurst    float64
	// WeightShare is the share of a server's memory for weights; the rest is
	// left to KV cache.
	WeightShare float64
	// CopyShare is the share of a server's speed that one copy is planned for.
	CopyShare float64
	// TokensPerSecond is the speed of a server that does not report its own.
	TokensPerSecond float64
	// RiseTime and Fall are the time constants of the smoothing of demand.
	RiseTime, FallTime time.Duration
	// MaxReportAge is how old a report may be to be acted upon.
	MaxReportAge time.Duration
	// LoadTimeout is how long a load may take before another server is tried.
	LoadTimeout time.Duration
	// AbsenceTimeout is how long a server is off the list before it loses its target.
	AbsenceTimeout time.Duration
}

func (config Config) withDefaults() Config {
	setDefault(&config.LoadsPerSecond, DefaultLoadsPerSecond)
	setDefault(&config.LoadsAtOnce, DefaultLoadsAtOnce)
	setDefault(&config.AdaptersAtOnce, DefaultAdaptersAtOnce)
	setDefault(&config.MovesPerHour, DefaultMovesPerHour)
	setDefault(&config.MoveBurst, DefaultMoveBurst)
	setDefault(&config.WeightShare, DefaultWeightShare)
	setDefault(&config.CopyShare, DefaultCopyShare)
	setDefault(&config.TokensPerSecond, DefaultTokensPerSecond)
	setDefault(&config.RiseTime, DefaultRiseTime)
	setDefault(&config.FallTime, DefaultFallTime)
	setDefault(&config.MaxReportAge, DefaultMaxReportAge)
	setDefault(&config.LoadTimeout, DefaultLoadTimeout)
	setDefault(&config.AbsenceTimeout, DefaultAbsenceTimeout)
	return config
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
