package crash

import "time"

const (
	// QuarantineThreshold is how many servers a subject must crash to be quarantined.
	// Two servers may crash by chance while they run the same frequent lookup.
	QuarantineThreshold = 3
	// SuspicionLifetime is how long a suspicion counts. It is much longer than the
	// deadlines of a few seconds within which callers retry, and much shorter than an
	// operating day of several hours.
	SuspicionLifetime = 10 * time.Minute
	// commonCauseTime is the time within which servers that end count as one crash of a
	// part, since a failure of what they share ends them together. It spans the errors of
	// times that other instances report.
	commonCauseTime = 200 * time.Millisecond
	// manyServers is how many servers must have ended for two crashes of a part to be
	// enough. Requests with a part may come so fast that their crashes look like few.
	manyServers = 5
	// settleTime is how long a suspicion of a part is stored before it counts. Meanwhile
	// entries that have seen the part answered since report that at once, and this entry
	// gets it with its next report.
	settleTime = 350 * time.Millisecond
)

// Suspicion is evidence about a subject. It is a server that ended while it ran the
// request or had not begun to answer a prompt with the part, which may have caused that.
// Or, if Cleared is set, it is the complete answer to the request, or an answer to a prompt
// with the part: the subject did not crash that server, so suspicions up to then no longer
// count.
type Suspicion struct {
	Fingerprint Fingerprint
	// Part reports whether Fingerprint is that of a part of prompts.
	Part bool
	// Server identifies an incarnation of a server. It is empty if Cleared is set.
	Server string
	// At is when the server was found to have ended, or when it answered, by this process's
	// clock.
	At      time.Time
	Cleared bool
}

// Subject returns what the suspicion is about.
func (suspicion Suspicion) Subject() Subject {
	return Subject{Fingerprint: suspicion.Fingerprint, Part: suspicion.Part}
}
