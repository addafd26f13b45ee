package crash

import (
	"strconv"
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

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
	// UnconfirmedGrace is how long after it should have been confirmed an unconfirmed
	// suspicion counts. It has to cover the report of a withdrawal, and to leave enough of
	// contactMs (3 to 4 s) after the 1.5 s until the confirmation.
	UnconfirmedGrace = 500 * time.Millisecond
	// MaxUnconfirmed bounds how long a suspicion stays unconfirmed, whatever another
	// instance reports.
	MaxUnconfirmed = 10 * time.Second
	// withdrawnLifetime is how long a withdrawal is stored after the suspicion would have
	// counted. Until then an entry that has not received it may report the suspicion again.
	withdrawnLifetime = 10 * time.Second
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
	// At is when the server broke off the subject, or when it answered, by this process's
	// clock. Every later answer clears the suspicion, also before it counts: a subject that
	// crashes servers is never answered.
	At      time.Time
	Cleared bool
	// CountsAt is when an unconfirmed suspicion counts unless it is confirmed or withdrawn
	// earlier, or zero if the suspicion is confirmed. An entry reports a suspicion before it
	// knows whether the server has ended, so that the suspicion outlives the entry.
	CountsAt time.Time
	// Withdrawn reports whether the server proved to be alive, so that the unconfirmed
	// suspicion does not count.
	Withdrawn bool
	// Probe reports whether the server ended under a probe of the part.
	Probe bool
}

// Subject returns what the suspicion is about.
func (suspicion Suspicion) Subject() Subject {
	return Subject{Fingerprint: suspicion.Fingerprint, Part: suspicion.Part}
}

// ServerName returns how suspicions identify an incarnation of a server.
func ServerName(server names.BackendServer, incarnation int64) string {
	return string(server) + "/" + strconv.FormatInt(incarnation, 10)
}

// ParseServerName returns what [ServerName] was given, or false if that is not what name is
// from.
func ParseServerName(name string) (names.BackendServer, int64, bool) {
	index := strings.LastIndexByte(name, '/')
	if index < 0 {
		return "", 0, false
	}
	incarnation, err := strconv.ParseInt(name[index+1:], 10, 64)
	return names.BackendServer(name[:index]), incarnation, err == nil
}
