package config

// Source provides the snapshot that is in force at this instance. It is safe for
// concurrent use and never returns to a lower version.
type Source interface {
	// Current returns the snapshot in force, or nil if there is none yet.
	Current() *Snapshot
}
