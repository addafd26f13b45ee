package quota

import "time"

const (
	// Shards is the number of groups that client accounts are divided into. It
	// is the same at every instance for the life of a deployment, since two
	// values at once would be two buckets an account.
	Shards = 32
	// Seats is the number of portions of each account's bucket.
	Seats = 3

	// ClockDrift bounds the relative error of any instance's monotonic clock.
	ClockDrift = 0.0005
	// driftMargin covers one clock that is slow and another that is fast.
	driftMargin = 3 * ClockDrift

	// SeatLeaseLength is how long a confirmation lets a home lend.
	SeatLeaseLength = 6 * time.Second
	// RenewPeriod is the time between two confirmations.
	RenewPeriod = 2 * time.Second
	// LoanLength is how long an entry may spend borrowed tokens.
	LoanLength = 4 * time.Second
	// VoteOnlyLimit bounds how long a home lends on the word of other homes alone.
	VoteOnlyLimit = time.Hour
)

// lengthenForDrift returns a duration on the own clock within which length has
// passed on every other clock.
func lengthenForDrift(length time.Duration) time.Duration {
	return length + time.Duration(float64(length)*driftMargin) + time.Nanosecond
}

// shortenForDrift returns a duration that on every other clock ends before length
// has passed on the own.
func shortenForDrift(length time.Duration) time.Duration {
	return length - time.Duration(float64(length)*driftMargin)
}
