package entry

import "github.com/basilkeel/basilkeel/poison"

// CrashTracker is what an entry knows of requests that crash backend servers. It is
// safe for concurrent use.
type CrashTracker interface {
	// Judge tells what is known of a fingerprint.
	Judge(fingerprint poison.Fingerprint) poison.Verdict
	// Digest tells what is known; see poison.Digest.
	Digest() uint64
	// Exchange returns all that is known.
	Exchange() poison.Exchange
	// Merge takes what another instance knows.
	Merge(exchange poison.Exchange)
}
