package spread

import (
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// News is what an instance tells a follower. Offsets count from the arrival of
// the follower's anchor, on the sender's clock.
type News struct {
	// Version is in force at the sender.
	Version config.Version
	// Confirmed is the freshest reading of the service; nil where there is none.
	Confirmed *Confirmation
	// Outages has the last failure of each failure domain to reach the service.
	Outages []Outage
}

// Confirmation tells that a version was the latest at a moment.
type Confirmation struct {
	Version config.Version
	Offset  time.Duration
}

// Outage tells that relays of a failure domain failed to reach the service.
type Outage struct {
	Domain names.FailureDomain
	Offset time.Duration
	// Version is the highest that the relay had heard of.
	Version config.Version
}

// VersionCount counts the instances at a version.
type VersionCount struct {
	Version config.Version
	Count   int
}
