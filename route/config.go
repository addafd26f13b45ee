package route

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Config carries what a [Router] is built from. Zero fields take defaults.
type Config struct {
	// Domain is the failure domain of this instance.
	Domain names.FailureDomain
	Plan   Plan
	// Distance is the round trip to a failure domain with the cost of its link
	// expressed as time; domains not listed take FarDistance.
	Distance    map[names.FailureDomain]time.Duration
	FarDistance time.Duration
	// AffinityGain is the time that a cached prefix or resident adapter saves.
	AffinityGain time.Duration
	// AffinityBound is the load, relative to the mean, up to which affinity is kept.
	AffinityBound float64
	// HalfLife is the age at which half of a load report's weight is lost.
	HalfLife time.Duration
	// MaxEjectedShare bounds the part of a target's replicas that is set aside.
	MaxEjectedShare float64
	// RetryShare is the retries earned with each success, RetryBurst the most kept.
	RetryShare float64
	RetryBurst float64
	// HedgeShare is the hedges earned with each request sent, HedgeBurst the most kept.
	HedgeShare float64
	HedgeBurst float64
	// MaxTargets bounds the targets kept; the one unused for longest goes first.
	MaxTargets int
	// Seed seeds the choices; instances should differ.
	Seed uint64
	// Policy selects mechanisms; its zero value has all of them on.
	Policy Policy
}

// Policy turns single mechanisms off, for measurements against a baseline.
type Policy struct {
	// LeastLoaded picks the least known load of all replicas.
	LeastLoaded bool
	// NoAffinity ignores prefixes and adapters.
	NoAffinity bool
	// NoEjection never sets servers aside.
	NoEjection bool
	// NoDistance ignores failure domains.
	NoDistance bool
	// NoBudget lets every permitted retry and hedge happen.
	NoBudget bool
	// NoSequence accepts load reports in whatever order they come.
	NoSequence bool
}

const (
	defaultFarDistance   = 12 * time.Millisecond
	defaultAffinityGain  = 60 * time.Millisecond
	defaultAffinityBound = 1.25
	defaultHalfLife      = 2 * time.Second
	defaultAsideShare    = 0.34
	defaultRetryShare    = 0.1
	defaultRetryBurst    = 10
	defaultHedgeShare    = 0.02
	defaultHedgeBurst    = 5
	defaultMaxTargets    = 512
)

func (config Config) withDefaults() Config {
	setDefault(&config.FarDistance, defaultFarDistance)
	setDefault(&config.AffinityGain, defaultAffinityGain)
	setDefault(&config.AffinityBound, defaultAffinityBound)
	setDefault(&config.HalfLife, defaultHalfLife)
	setDefault(&config.MaxEjectedShare, defaultAsideShare)
	setDefault(&config.RetryShare, defaultRetryShare)
	setDefault(&config.RetryBurst, defaultRetryBurst)
	setDefault(&config.HedgeShare, defaultHedgeShare)
	setDefault(&config.HedgeBurst, defaultHedgeBurst)
	setDefault(&config.MaxTargets, defaultMaxTargets)
	return config
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
