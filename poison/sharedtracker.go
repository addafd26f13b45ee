package poison

import (
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/clock"
)

// SharedTrackerConfig configures a [SharedTracker].
type SharedTrackerConfig struct {
	Clock   *clock.Service
	Tracker Config
}

// SharedTracker is a [Tracker] that is safe for concurrent use. All requests of
// an entry share one.
type SharedTracker struct {
	clock *clock.Service

	// mu guards tracker and digest.
	mu      sync.Mutex
	tracker *Tracker
	digest  uint64
}

// NewSharedTracker returns an empty tracker.
func NewSharedTracker(config SharedTrackerConfig) *SharedTracker {
	return &SharedTracker{clock: config.Clock, tracker: NewTracker(config.Tracker)}
}

// Classify returns how to treat a request with fingerprint.
func (sharedTracker *SharedTracker) Classify(fingerprint Fingerprint) Verdict {
	sharedTracker.mu.Lock()
	defer sharedTracker.mu.Unlock()
	return sharedTracker.tracker.Classify(sharedTracker.clock.Now(), fingerprint)
}

// Digest returns the digest of the current snapshot; see [Digest].
func (sharedTracker *SharedTracker) Digest() uint64 {
	sharedTracker.mu.Lock()
	defer sharedTracker.mu.Unlock()
	return sharedTracker.digest
}

// Snapshot returns all crashes and clearances of the tracker.
func (sharedTracker *SharedTracker) Snapshot() Snapshot {
	sharedTracker.mu.Lock()
	defer sharedTracker.mu.Unlock()
	return sharedTracker.tracker.Snapshot()
}

// Merge adds another tracker's snapshot.
func (sharedTracker *SharedTracker) Merge(snapshot Snapshot) {
	sharedTracker.mu.Lock()
	defer sharedTracker.mu.Unlock()
	if sharedTracker.tracker.Merge(sharedTracker.clock.Now(), snapshot) {
		sharedTracker.digest = Digest(sharedTracker.tracker.Snapshot())
	}
}

// Quarantines returns the quarantined fingerprints, each with the end of
// its quarantine.
func (sharedTracker *SharedTracker) Quarantines() map[Fingerprint]time.Time {
	sharedTracker.mu.Lock()
	defer sharedTracker.mu.Unlock()
	return sharedTracker.tracker.Quarantines(sharedTracker.clock.Now())
}

// Lift ends the quarantine of fingerprint.
func (sharedTracker *SharedTracker) Lift(fingerprint Fingerprint) {
	sharedTracker.mu.Lock()
	defer sharedTracker.mu.Unlock()
	sharedTracker.tracker.Lift(sharedTracker.clock.Now(), fingerprint)
	sharedTracker.digest = Digest(sharedTracker.tracker.Snapshot())
}
