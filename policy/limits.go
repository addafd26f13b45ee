package policy

import "time"

// Limits bound what a caller may send. Zero means not told.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller may leave a connection unused.
	IdleTimeout time.Duration
}
