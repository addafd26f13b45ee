package spread

import (
	"time"

	"github.com/basilkeel/basilkeel/config"
)

// follower is a peer that follows this instance.
type follower struct {
	// anchorMicros is the last anchor, on the follower's clock; arrived is when
	// it arrived, on this instance's clock.
	anchorMicros  int64
	arrived       time.Duration
	versionCounts []VersionCount
	// notified reports whether news was sent; lastDigest is the digest of the
	// last news, sent at lastSentAt.
	notified   bool
	lastSentAt time.Duration
	lastDigest digest
}

// digest holds the parts of an instance's state whose advance is sent to
// followers at once. All else waits for the next heartbeat.
type digest struct {
	version config.Version
	// confirmed is the time of the latest successful read. outage is the time up
	// to which an outage proves that the version in force is the latest. failed
	// is the time of the last failed read in this failure domain, on relays only.
	confirmed, outage, failed time.Duration
}

// advanced reports whether latest differs from digest enough to be sent at once.
func (digest digest) advanced(latest digest) bool {
	return latest.version > digest.version ||
		latest.confirmed-digest.confirmed >= minEvidenceAdvance ||
		latest.outage-digest.outage >= minEvidenceAdvance ||
		latest.failed-digest.failed >= minEvidenceAdvance
}

// due reports whether news is to be sent to the follower.
func (follower *follower) due(now time.Duration, latest digest) bool {
	return !follower.notified || now-follower.lastSentAt >= heartbeatPeriod || follower.lastDigest.advanced(latest)
}

// recordSent records that news with the digest latest was sent.
func (follower *follower) recordSent(now time.Duration, latest digest) {
	follower.notified, follower.lastSentAt, follower.lastDigest = true, now, latest
}
