package entry

import "github.com/basilkeel/basilkeel/poison"

// Crashes is what an entry knows of requests that crash backend servers. It is
// safe for concurrent use.
type Crashes interface {
	// Classify tells what is known of a fingerprint.
	Classify(fingerprint poison.Fingerprint) poison.Verdict
	// Digest tells what is known; see poison.Digest.
	Digest() uint64
	// Snapshot returns all that is known.
	Snapshot() poison.Snapshot
	// Merge takes what another instance knows.
	Merge(snapshot poison.Snapshot)
}
