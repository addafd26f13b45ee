package entry

import "github.com/basilkeel/basilkeel/poison"

// CrashTracker records what an entry knows of requests that crash backend
// servers. It is safe for concurrent use.
type CrashTracker interface {
	// Classify returns what the known crashes imply for a fingerprint.
	Classify(fingerprint poison.Fingerprint) poison.Verdict
	// Digest returns a digest of all that is known; see [poison.Digest].
	Digest() uint64
	// Snapshot returns all that is known.
	Snapshot() poison.Snapshot
	// Merge adds what another instance knows.
	Merge(snapshot poison.Snapshot)
}
