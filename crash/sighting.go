package crash

import "time"

const (
	// Threshold is how many servers a request crashes before it is quarantined. Two
	// crashes beside a common lookup may be chance.
	Threshold = 3
	// Lifetime is how long a sighting counts; callers send again within their deadlines
	// of some seconds, and operators' days have hours.
	Lifetime = 10 * time.Minute
)

// Suspicion is a server that ended while it ran a request.
type Suspicion struct {
	Fingerprint Fingerprint
	// Server names one incarnation.
	Server string
	// At is when the server was found to have ended, by this process's clock.
	At time.Time
}
