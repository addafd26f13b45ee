package route

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Config configures a [Router]. Zero fields that have a default take it.
type Config struct {
	// Domain is the failure domain of this instance.
	Domain names.FailureDomain
	// Plan lists the replicas of each target.
	Plan Plan
	// Distance is the round-trip time to each failure domain plus the cost of its
	// link, expressed as time. Domains that are not listed take FarDistance.
	Distance    map[names.FailureDomain]time.Duration
	FarDistance time.Duration
	// AffinityGain is the time that a cached prefix or resident adapter saves.
	AffinityGain time.Duration
	// AffinityBound is the highest load, relative to the mean of the candidates,
	// at which a server is still picked for affinity.
	AffinityBound float64
	// HalfLife is the time in which the weight of a load report halves.
	HalfLife time.Duration
	// MaxEjectedShare bounds the share of a target's replicas that are ejected at
	// a time.
	MaxEjectedShare float64
	// RetryShare is the number of retries earned by each complete answer, and
	// RetryBurst the most that accumulate.
	RetryShare float64
	RetryBurst float64
	// HedgeShare is the number of hedges earned by each request sent, and
	// HedgeBurst the most that accumulate.
	HedgeShare float64
	HedgeBurst float64
	// MaxTargets bounds the targets kept; the least recently used is evicted.
	MaxTargets int
	// Seed seeds the random choices; it should differ between instances.
	Seed uint64
	// Policy disables single mechanisms; its zero value enables all of them.
	Policy Policy
}

// Policy disables single mechanisms, to measure each against a baseline.
type Policy struct {
	// LeastLoaded picks the replica with the least estimated load of all, instead
	// of comparing random ones.
	LeastLoaded bool
	// NoAffinity ignores prefixes and adapters.
	NoAffinity bool
	// NoEjection never ejects a slow or failing server.
	NoEjection bool
	// NoDistance ignores failure domains.
	NoDistance bool
	// NoBudget permits retries and hedges beyond their budgets.
	NoBudget bool
	// NoSequence accepts load reports that arrive out of order.
	NoSequence bool
}

const (
	defaultFarDistance     = 12 * time.Millisecond
	defaultAffinityGain    = 60 * time.Millisecond
	defaultAffinityBound   = 1.25
	defaultHalfLife        = 2 * time.Second
	defaultMaxEjectedShare = 0.34
	defaultRetryShare      = 0.1
	defaultRetryBurst      = 10
	defaultHedgeShare      = 0.02
	defaultHedgeBurst      = 5
	defaultMaxTargets      = 512
)

func (config Config) withDefaults() Config {
	setDefault(&config.FarDistance, defaultFarDistance)
	setDefault(&config.AffinityGain, defaultAffinityGain)
	setDefault(&config.AffinityBound, defaultAffinityBound)
	setDefault(&config.HalfLife, defaultHalfLife)
	setDefault(&config.MaxEjectedShare, defaultMaxEjectedShare)
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
