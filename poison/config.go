package poison

import "time"

// Defaults and limits of a [Tracker].
const (
	DefaultRetention     = time.Hour
	DefaultDeferDuration = 30 * time.Second
	DefaultMaxCrashes    = 256
	// MaxRunning limits the fingerprints stored for one crash.
	MaxRunning = 512
	// failingServerCrashes is the number of crashes without a given fingerprint
	// from which a server counts as failing for other reasons.
	failingServerCrashes = 2
	// outageCrashes is the number of crashes without a given fingerprint, within
	// outageWindow, from which a crash counts as part of a wider outage, such as
	// that of a rack.
	outageCrashes = 4
	outageWindow  = 30 * time.Second
	// maxSuspectWait is how long a suspect waits before no new request is admitted
	// ahead of it.
	maxSuspectWait = 2 * time.Second
	// quarantineCrashes is the number of crashes from which a fingerprint is
	// quarantined, or deferred if it ran alone in none of them.
	quarantineCrashes = 2
	// maxSnapshotCrashes and maxSnapshotClearances limit a snapshot received from
	// another instance.
	maxSnapshotCrashes    = 4 * DefaultMaxCrashes
	maxSnapshotClearances = clearancesPerCrash * maxSnapshotCrashes
	// clearancesPerCrash limits the clearances in proportion to
	// [Config.MaxCrashes].
	clearancesPerCrash = 64
)

// Config configures a [Tracker]. Zero fields take the defaults.
type Config struct {
	// Retention is how long a crash counts. A quarantine ends when too few of its
	// crashes still count.
	Retention time.Duration
	// DeferDuration is how long a fingerprint is refused after the newest of the
	// crashes that count against it, if it ran alone in none of them.
	DeferDuration time.Duration
	// MaxCrashes limits the crashes stored; the oldest are removed first.
	MaxCrashes int
}

func (config Config) withDefaults() Config {
	if config.Retention == 0 {
		config.Retention = DefaultRetention
	}
	if config.DeferDuration == 0 {
		config.DeferDuration = DefaultDeferDuration
	}
	if config.MaxCrashes == 0 {
		config.MaxCrashes = DefaultMaxCrashes
	}
	return config
}
