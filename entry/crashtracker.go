package entry

import "github.com/basilkeel/basilkeel/poison"

// CrashTracker records what an entry knows of requests that crash backend
// servers. It is safe for concurrent use.
type CrashTracker interface {
	// Judge returns what the known crashes imply for a fingerprint.
	Judge(fingerprint poison.Fingerprint) poison.Verdict
	// Digest returns a digest of all that is known; see [poison.Digest].
	Digest() uint64
	// Exchange returns all that is known.
	Exchange() poison.Exchange
	// Merge adds what another instance knows.
	Merge(exchange poison.Exchange)
}
