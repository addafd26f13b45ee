package spread

import (
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// News is the state that an instance sends to a follower. Offsets count from the
// arrival of the follower's anchor, on the sender's clock, and may be negative.
type News struct {
	// Version is in force at the sender.
	Version config.Version
	// Confirmed is the latest successful read of the platform's service; nil if
	// there is none.
	Confirmed *Confirmation
	// Outages holds the last failed read of each failure domain, unless a later
	// read succeeded.
	Outages []Outage
}

// Confirmation states that Version was the latest at Offset.
type Confirmation struct {
	Version config.Version
	Offset  time.Duration
}

// Outage states that a relay of a failure domain failed to reach the platform's
// service at Offset.
type Outage struct {
	Domain names.FailureDomain
	Offset time.Duration
	// Version is the highest version that the relay knew.
	Version config.Version
}

// VersionCount is the number of instances that have a version in force.
type VersionCount struct {
	Version config.Version
	Count   int
}
