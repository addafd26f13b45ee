package quota

import "time"

// seat is a keeper's state of one seat: a lease with its lender if the instance
// holds the seat, or a takeover in preparation, or neither.
type seat struct {
	lease       *SeatLease
	lender      *Lender
	takeover    *Takeover
	loggedState seatState
	// misplacedSince is since when another instance should hold the seat; zero
	// means that none should.
	misplacedSince time.Time
	// closedAt is when the lease was closed in favor of another instance.
	closedAt time.Time
}

// seatState is the state of a held seat's lease, as last logged.
type seatState int

const (
	seatConfirmed seatState = iota
	seatKeptByVotes
	seatExpired
)

// emptySeat returns a seat that is not held and has no takeover in preparation.
func emptySeat() seat { return seat{} }
