package accept

import "time"

// Limits bounds what callers may send. Zero means the default for heads, and no limit for idle
// connections.
type Limits struct {
	// HeadBytes is the length of the longest head.
	HeadBytes int64
	// HeadTimeout is the longest time for a head, from its first byte.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
}

const (
	// DefaultHeadBytes is the length of the longest head where no limit is configured.
	DefaultHeadBytes = 64 << 10
	// DefaultHeadTimeout is the longest time for a head where no limit is configured.
	DefaultHeadTimeout = 10 * time.Second
	// lenience multiplies limits of time, so that a connection is not closed while a caller that
	// observes them sends a request on it.
	lenience = 1.3
)

// Lenient returns limits that are never exceeded by callers which observe these.
func (limits Limits) Lenient() Limits {
	limits.HeadTimeout = time.Duration(lenience * float64(limits.HeadTimeout))
	limits.IdleTimeout = time.Duration(lenience * float64(limits.IdleTimeout))
	return limits
}

// withDefaults returns the limits with defaults for those of heads that are zero.
func (limits Limits) withDefaults() Limits {
	if limits.HeadBytes <= 0 {
		limits.HeadBytes = DefaultHeadBytes
	}
	if limits.HeadTimeout <= 0 {
		limits.HeadTimeout = DefaultHeadTimeout
	}
	return limits
}
