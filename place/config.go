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

// Config is the configuration of a [Planner]. Zero values select the defaults.
type Config struct {
	// LoadsPerSecond and LoadsAtOnce bound the loads of models from the weight
	// store by the whole fleet.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// AdaptersAtOnce bounds the loads of adapters by the whole fleet.
	AdaptersAtOnce int
	// MovesPerHour and MoveBurst bound the copies that are added because of
	// demand. Copies of a model that has none, or has them in too few failure
	// domains, are not counted.
	MovesPerHour float64
	MoveBurst    float64
	// WeightShare is the fraction of a server's memory that weights may use;
	// the rest is left to the KV cache.
	WeightShare float64
	// CopyShare is the fraction of a server's speed that the planner expects
	// one copy to use.
	CopyShare float64
	// TokensPerSecond is the assumed speed of a server that does not report one.
	TokensPerSecond float64
	// RiseTime and FallTime are the time constants with which the smoothed
	// demand follows a higher and a lower rate.
	RiseTime, FallTime time.Duration
	// MaxReportAge is the maximum age of an agent's report that the planner uses.
	MaxReportAge time.Duration
	// LoadTimeout is how long a load may take before the planner tries another
	// server.
	LoadTimeout time.Duration
	// AbsenceTimeout is how long a server may be missing from the membership
	// list before the planner removes its target.
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
