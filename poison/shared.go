package poison

import (
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/clock"
)

// SharedTrackerConfig carries what a [SharedTracker] is built from.
type SharedTrackerConfig struct {
	Clock *clock.Service
	Book  Config
}

// SharedTracker is a book that the requests of an entry share. All methods are safe
// for concurrent use.
type SharedTracker struct {
	clock *clock.Service

	// mu guards book and digest.
	mu     sync.Mutex
	book   *Book
	digest uint64
}

// NewSharedTracker returns an empty book.
func NewSharedTracker(config SharedTrackerConfig) *SharedTracker {
	return &SharedTracker{clock: config.Clock, book: NewBook(config.Book)}
}

// Classify tells what is known of fingerprint.
func (sharedTracker *SharedTracker) Classify(fingerprint Fingerprint) Verdict {
	sharedTracker.mu.Lock()
	defer sharedTracker.mu.Unlock()
	return sharedTracker.book.Judge(sharedTracker.clock.Now(), fingerprint)
}

// Digest tells what the book knows; see [Digest].
func (sharedTracker *SharedTracker) Digest() uint64 {
	sharedTracker.mu.Lock()
	defer sharedTracker.mu.Unlock()
	return sharedTracker.digest
}

// Snapshot returns all that the book knows.
func (sharedTracker *SharedTracker) Snapshot() Snapshot {
	sharedTracker.mu.Lock()
	defer sharedTracker.mu.Unlock()
	return sharedTracker.book.Exchange()
}

// Merge takes what another book knows.
func (sharedTracker *SharedTracker) Merge(snapshot Snapshot) {
	sharedTracker.mu.Lock()
	defer sharedTracker.mu.Unlock()
	if sharedTracker.book.Merge(sharedTracker.clock.Now(), snapshot) {
		sharedTracker.digest = Digest(sharedTracker.book.Exchange())
	}
}

// Quarantines returns the fingerprints under quarantine and until when.
func (sharedTracker *SharedTracker) Quarantines() map[Fingerprint]time.Time {
	sharedTracker.mu.Lock()
	defer sharedTracker.mu.Unlock()
	return sharedTracker.book.Quarantines(sharedTracker.clock.Now())
}

// Lift ends the quarantine of fingerprint.
func (sharedTracker *SharedTracker) Lift(fingerprint Fingerprint) {
	sharedTracker.mu.Lock()
	defer sharedTracker.mu.Unlock()
	sharedTracker.book.Lift(sharedTracker.clock.Now(), fingerprint)
	sharedTracker.digest = Digest(sharedTracker.book.Exchange())
}
