package quota

import "time"

// seat is what a keeper holds of one seat: a tenure with its home, or a
// challenge, or neither.
type seat struct {
	lease    *SeatLease
	lender      *Lender
	takeover *Takeover
	loggedState     seatState
	// misplacedSince is since when another instance should hold the seat.
	misplacedSince time.Time
	// closedAt is when the seat was given up for another instance.
	closedAt time.Time
}

// seatState is what was last logged of a held seat.
type seatState int

const (
	seatConfirmed seatState = iota
	seatKeptByVotes
	seatExpired
)

// emptySeat returns a seat that is neither held nor challenged.
func emptySeat() seat { return seat{} }
