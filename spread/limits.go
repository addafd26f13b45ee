package spread

import "time"

const (
	// FreshnessBound is the age of a confirmation past which an instance stops
	// admitting requests by their keys. A withdrawal takes effect within 5 s; the
	// remaining 500 ms cover slow clocks and a check that is in progress.
	FreshnessBound = 4500 * time.Millisecond
	// TickPeriod is the period of [Tick] inputs.
	TickPeriod = 250 * time.Millisecond
	// readPeriod is how often a relay reads the version from the platform's
	// service.
	readPeriod = time.Second
	// ReadTimeout limits a relay's read of the version.
	ReadTimeout = 500 * time.Millisecond
	// relaysPerDomain is the number of relays in each failure domain.
	relaysPerDomain = 2
	// fanout is the number of children of an instance in the tree.
	fanout = 6
	// maxFollowers is the number of followers that an instance accepts.
	maxFollowers = 24
	// minEvidenceAdvance is how much the time of evidence must advance for the
	// evidence to be forwarded before the next heartbeat.
	minEvidenceAdvance = 900 * time.Millisecond
	// heartbeatPeriod is how often news is sent when nothing has changed.
	heartbeatPeriod = time.Second
	// anchorPeriod is how often a follower sends a new anchor.
	anchorPeriod = 5 * time.Second
	// silenceTimeout is how long a followed peer may send no news before it is
	// replaced, or a probe of a preferred peer is given up.
	silenceTimeout = 1500 * time.Millisecond
	// stallTimeout is how long a parent may send no fresher evidence before it is
	// replaced. It grows with the depth in the tree, so that instances higher up
	// switch first.
	stallTimeout         = 2400 * time.Millisecond
	stallTimeoutPerLevel = 300 * time.Millisecond
	// followerTimeout is how long a follower may send no anchor before it is
	// dropped.
	followerTimeout = 4 * anchorPeriod
	// probePeriod is how long an instance follows a fallback before it probes its
	// preferred peer again.
	probePeriod = 10 * time.Second
	// exchangePeriod is how often an instance compares versions with a random
	// peer.
	exchangePeriod = 10 * time.Second
	// fetchTimeout limits a fetch. Past it, another fetch may start.
	fetchTimeout = 5 * time.Second
	// driftDivisor sets the allowance for clock rates: a time span measured by
	// another clock may be off by one part in driftDivisor. This covers two clocks
	// that are each off by up to half a percent.
	driftDivisor = 66
	// maxVersionCounts limits the number of entries that [Node.VersionCounts]
	// returns.
	maxVersionCounts = 4
)
