package pool

import "time"

const (
	// reportedLifetime is how long the load that a server stated counts instead of the
	// number of requests that the instances have reported. That number is up to half a
	// second old and is the same for all instances, which then choose the same server. In
	// simulations lifetimes of 0.7 to 5 s differ little, and one of 0.25 s is worse.
	reportedLifetime = time.Second
	// paceLifetime is how long a stated pace counts, less and less. Servers are slow for
	// some hundred milliseconds at a time.
	paceLifetime = 600 * time.Millisecond
)

// InstanceLoad is the load that a server states in a response.
type InstanceLoad struct {
	// Running and Waiting count the requests of all instances that the server runs and
	// queues.
	Running int
	Waiting int
	// Pace is how many times as long as usual work takes at this moment. It is one unless
	// PaceStated is set.
	Pace       float64
	PaceStated bool
}

// reportedLoad is an [InstanceLoad] with its time.
type reportedLoad struct {
	InstanceLoad
	at time.Time
	// own is the number of this instance's requests in flight at that time.
	own int
}

// RecordLoad records the load that an incarnation of a server has just stated.
func (pool *Pool) RecordLoad(server *Server, load InstanceLoad, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, found := pool.members[server.ID]
	if found && member.server.Incarnation == server.Incarnation {
		member.reported = &reportedLoad{InstanceLoad: load, at: now, own: member.ownRequests}
	}
}

// queryLoad returns the load of a member that counts for a query. That of a server that has
// stated its load lately also contains the time that requests wait in its queue, and how
// much longer than usual its work takes, in units of the time to work on a request.
func (member *member) queryLoad(query *Query, now time.Time) float64 {
	reported := member.reported
	if !query.Reported || reported == nil || now.Sub(reported.at) > reportedLifetime {
		return member.load()
	}
	inFlight := float64(max(reported.Running+reported.Waiting+member.ownRequests-reported.own, member.ownRequests))
	weight := max(1-float64(now.Sub(reported.at))/float64(paceLifetime), 0)
	pace := 1 + (reported.Pace-1)*weight
	queued := max(inFlight+1-member.slots(), 0) / member.slots()
	return inFlight/member.slots() + pace*(1+queued) - 1
}
