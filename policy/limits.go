package policy

import "time"

// Limits bounds what callers may send. Zero means that a limit is not configured.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller may leave a connection unused.
	IdleTimeout time.Duration
}
