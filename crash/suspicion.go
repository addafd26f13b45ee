package crash

import "time"

const (
	// QuarantineThreshold is how many servers a request must crash to be quarantined.
	// Two servers may crash by chance while they run the same frequent lookup.
	QuarantineThreshold = 3
	// SuspicionLifetime is how long a suspicion counts. It is much longer than the
	// deadlines of a few seconds within which callers retry, and much shorter than an
	// operating day of several hours.
	SuspicionLifetime = 10 * time.Minute
)

// Suspicion is a server that ended while it ran a request, which may have caused that.
type Suspicion struct {
	Fingerprint Fingerprint
	// Server identifies an incarnation of a server.
	Server string
	// At is when the server was found to have ended, by this process's clock.
	At time.Time
}
