package member

import "time"

// trackedMember is what a node keeps of a member.
type trackedMember struct {
	record Record
	// accusedSince is when the member was first accused on most rings; zero
	// while it is not.
	accusedSince time.Time
	// recoveredAt is until when a member that had failed does not count as live.
	recoveredAt time.Time
	goneAt      time.Time
}

// live tells whether the member stands on the rings.
func (trackedMember *trackedMember) live() bool { return trackedMember.record.Health < Failed }
