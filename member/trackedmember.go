package member

import "time"

// trackedMember is the state that a node keeps for a member.
type trackedMember struct {
	record Record
	// accusedSince is when this node found enough accusations for the member to
	// fail; zero while there are not enough.
	accusedSince time.Time
	// recoveredAt is when a member that had failed counts as live again.
	recoveredAt time.Time
	goneAt      time.Time
}

// live reports whether the member has not failed and so is on the rings.
func (trackedMember *trackedMember) live() bool { return trackedMember.record.Health < Failed }
