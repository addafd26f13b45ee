package spread

import (
	"time"

	"github.com/basilkeel/basilkeel/config"
)

// follower is a peer that follows this instance.
type follower struct {
	// anchorMicros is the anchor on the follower's clock, arrived its arrival
	// on the own one.
	anchorMicros  int64
	arrived       time.Duration
	versionCounts []VersionCount
	// told is what the last news told, at toldAt; sent tells that there was one.
	notified   bool
	lastSentAt time.Duration
	lastDigest digest
}

// digest is the part of an instance's knowledge whose advance is worth a
// message at once. All else waits for the next heartbeat.
type digest struct {
	version config.Version
	// confirmed is the time of the freshest reading, outage that until which no
	// failure domain reached the service, failed that of the last failed read in
	// the own failure domain.
	confirmed, outage, failed time.Duration
}

// advanced tells whether latest is worth a message after digest.
func (digest digest) advanced(latest digest) bool {
	return latest.version > digest.version ||
		latest.confirmed-digest.confirmed >= minEvidenceAdvance ||
		latest.outage-digest.outage >= minEvidenceAdvance ||
		latest.failed-digest.failed >= minEvidenceAdvance
}

// due tells whether the follower is to be sent news.
func (follower *follower) due(now time.Duration, latest digest) bool {
	return !follower.notified || now-follower.lastSentAt >= heartbeatPeriod || follower.lastDigest.advanced(latest)
}

// recordSent keeps what news just told.
func (follower *follower) recordSent(now time.Duration, latest digest) {
	follower.notified, follower.lastSentAt, follower.lastDigest = true, now, latest
}
