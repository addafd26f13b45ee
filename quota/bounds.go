package quota

import "time"

const (
	// Shards is the number of groups that client accounts are divided into. It
	// has to be the same at every instance for the life of a deployment, since
	// with two values at once an account would have two buckets.
	Shards = 32
	// Seats is the number of portions that each account's bucket is divided
	// into, and so of the seats of each shard.
	Seats = 3

	// ClockDrift bounds the relative error of any instance's monotonic clock.
	ClockDrift = 0.0005
	// driftMargin covers the drift between a slow and a fast clock.
	driftMargin = 3 * ClockDrift

	// SeatLeaseLength is how long a holder may lend after a confirmation.
	SeatLeaseLength = 6 * time.Second
	// RenewPeriod is the time between two renewals of a seat lease.
	RenewPeriod = 2 * time.Second
	// LoanLength is how long an entry may spend borrowed tokens after a grant.
	LoanLength = 4 * time.Second
	// VoteOnlyLimit bounds how long a holder may lend without a confirmation by
	// the platform's service, on the votes of other holders alone.
	VoteOnlyLimit = time.Hour
)

// lengthenForDrift returns a duration on the local clock within which length
// has passed on every other clock.
func lengthenForDrift(length time.Duration) time.Duration {
	return length + time.Duration(float64(length)*driftMargin) + time.Nanosecond
}

// shortenForDrift returns a duration that on every other clock has passed
// before length has passed on the local clock.
func shortenForDrift(length time.Duration) time.Duration {
	return length - time.Duration(float64(length)*driftMargin)
}
