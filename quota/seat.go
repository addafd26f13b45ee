package quota

import "time"

// seat is what a keeper holds of one seat: a tenure with its home, or a
// challenge, or neither.
type seat struct {
	tenure    *SeatLease
	home      *Lender
	challenge *Takeover
	state     seatState
	// betterSince is since when another instance should hold the seat.
	betterSince time.Time
	// closedAt is when the seat was given up for another instance.
	closedAt time.Time
}

// seatState is what was last logged of a held seat.
type seatState int

const (
	seatConfirmed seatState = iota
	seatRiding
	seatEnded
)

// seatWithout returns a seat that is neither held nor challenged.
func seatWithout() seat { return seat{} }
