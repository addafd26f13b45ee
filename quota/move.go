package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/event"
)

// moveAfter is how long another instance has to be the candidate for a seat
// before the seat is released for it, so that a short absence of an instance
// moves no seat.
const moveAfter = SeatLeaseLength

// moveSeat closes a seat's lease once another live instance has been its
// candidate, as misplaced reports, for moveAfter. The seat then lends no more and
// is released when its loans have expired. Only one seat of a shard moves at a
// time, so that an account keeps most of its rate. The result reports whether
// the seat is due for release. The caller holds keeper.mu.
func (keeper *Keeper) moveSeat(now time.Time, state *shardState, index int, misplaced bool) bool {
	seat := &state.seats[index]
	if seat.lease == nil || keeper.stopped {
		return false
	}
	if seat.lease.Closing() {
		return now.Sub(seat.closedAt) >= lengthenForDrift(LoanLength)
	}
	if !misplaced {
		seat.misplacedSince = time.Time{}
		return false
	}
	if seat.misplacedSince.IsZero() {
		seat.misplacedSince = now
	}
	if now.Sub(seat.misplacedSince) < moveAfter || state.moving() || !seat.lease.Valid(now) || seat.lease.KeptByVotes(now) {
		return false
	}
	seat.lease.Close()
	seat.closedAt = now
	event.QuotaSeatMoving.Log(keeper.config.Logger, recordFields(seat.lease.Record()))
	return false
}

// moving reports whether this instance is giving up a seat of the shard.
func (state *shardState) moving() bool {
	for index := range state.seats {
		if seatLease := state.seats[index].lease; seatLease != nil && seatLease.Closing() {
			return true
		}
	}
	return false
}
