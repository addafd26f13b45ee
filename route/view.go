package route

import "time"

// view is a router's state of one target.
type view struct {
	target   Target
	version  int64
	members  []member
	lastUsed time.Time
	// firstToken and tokenGap are moving averages over the answers of all
	// replicas, in seconds.
	firstToken float64
	tokenGap   float64
}

// member is one replica of a target.
type member struct {
	replica  Replica
	server   *server
	distance time.Duration
	// absentUntil is until when the server isn't picked because it said that it
	// hasn't loaded the target.
	absentUntil time.Time
}

// usable reports whether the member may be picked for query, unless its server
// is ejected.
func (member *member) usable(now time.Time, query *Query) bool {
	return !member.replica.Leaving && !member.server.leaving(now) &&
		!now.Before(member.absentUntil) && !query.tried(member.replica.Server) && query.allows(member.replica.Server)
}
