package spread

import "time"

const (
	// FreshnessBound is the age of a confirmation past which an instance stops
	// admitting on keys. Withdrawals take hold within 5 s; the rest covers
	// clocks that run slow and a check that is just under way.
	FreshnessBound = 4500 * time.Millisecond
	// TickPeriod is the period of [Tick] inputs.
	TickPeriod = 250 * time.Millisecond
	// readPeriod is how often a relay reads the version from the service.
	readPeriod = time.Second
	// ReadTimeout ends a relay's read of the version.
	ReadTimeout = 500 * time.Millisecond
	// relaysPerDomain is the number of relays in each failure domain.
	relaysPerDomain = 2
	// fanout is the number of children of an instance in the tree.
	fanout = 6
	// maxFollowers bounds the followers that an instance accepts.
	maxFollowers = 24
	// minEvidenceAdvance is how much a piece of evidence must advance to be sent on.
	minEvidenceAdvance = 900 * time.Millisecond
	// heartbeatPeriod is how often news is sent when there is none.
	heartbeatPeriod = time.Second
	// anchorPeriod is how often a follower renews its anchor.
	anchorPeriod = 5 * time.Second
	// silenceTimeout ends a followed peer that sends nothing.
	silenceTimeout = 1500 * time.Millisecond
	// stallTimeout ends a parent that brings no fresher evidence; it grows with
	// the depth in the tree, so that instances higher up switch first.
	stallTimeout         = 2400 * time.Millisecond
	stallTimeoutPerLevel = 300 * time.Millisecond
	// followerTimeout forgets a follower that renews no anchor.
	followerTimeout = 4 * anchorPeriod
	// probePeriod is how long a follower stays with a substitute before it
	// tries its first choice again.
	probePeriod = 10 * time.Second
	// exchangePeriod is how often an instance compares versions with a random
	// peer.
	exchangePeriod = 10 * time.Second
	// fetchTimeout frees the slot of a fetch that gave no answer.
	fetchTimeout = 5 * time.Second
	// driftDivisor sets the allowance for clock rates: a time span from another
	// clock may be wrong by one part in driftDivisor. It covers two clocks that
	// are each off by up to half a per cent.
	driftDivisor = 66
	// maxVersionCounts bounds the versions that a standing tells apart.
	maxVersionCounts = 4
)
