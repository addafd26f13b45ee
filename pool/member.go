package pool

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// member is what the pool knows of one server.
type member struct {
	server *Server
	// ownRequests and otherRequests count the requests in flight from this instance
	// and from the others.
	ownRequests   int
	otherRequests int
	// unreadTokens counts the prompt tokens of this instance's requests that the
	// server has not responded to yet.
	unreadTokens int64
	// lastActiveAt is when bytes of any response last arrived, or, if later, when a
	// request was sent while no other was in flight.
	lastActiveAt time.Time
	// lastBytesAt is when bytes of any response last arrived; lastAnsweredSentAt is
	// when the newest request that got response bytes was sent.
	lastBytesAt        time.Time
	lastAnsweredSentAt time.Time
	// holding is what the coordinator says that the server holds, or nil; it takes
	// precedence over the registry until holdingUntil.
	holding      *Holding
	holdingUntil time.Time
	// missingModels maps each model that the server reported missing to the time
	// until which it counts as missing.
	missingModels map[names.Model]time.Time
	// failures and ejections count failures and ejections since the last response.
	// While ejected, the server gets requests only if every candidate is ejected.
	failures     int
	ejections    int
	ejectedUntil time.Time
	// pausedUntil is the end of the pause that the server asked for.
	pausedUntil time.Time
	// errorRate is the moving average of requests that failed or got a server error.
	errorRate float64
	// slowRequests counts requests in flight whose first byte is overdue.
	slowRequests int
	// delistedAt is when the registry dropped the server's entry, or zero while it is
	// listed; outagePossible reports whether a registry outage may be the reason.
	delistedAt     time.Time
	outagePossible bool
	cold           coldTimes
	// reported is the load that the server stated last, or nil.
	reported *reportedLoad
}

func (member *member) slots() float64 { return float64(max(member.server.Slots, 1)) }

func (member *member) load() float64 {
	return float64(member.ownRequests+member.otherRequests) / member.slots()
}

func (member *member) hasModel(model names.Model, now time.Time) bool {
	return !member.refusesModel(model, now) && member.listsModel(model, now)
}

// refusesModel reports whether the server has lately answered that it lacks a model.
func (member *member) refusesModel(model names.Model, now time.Time) bool {
	if len(member.missingModels) == 0 {
		return false
	}
	until, found := member.missingModels[model]
	return found && now.Before(until)
}

// listsModel reports whether the coordinator or the registry lists a model as held.
func (member *member) listsModel(model names.Model, now time.Time) bool {
	if member.holding != nil && now.Before(member.holdingUntil) {
		return slices.Contains(member.holding.Models, model)
	}
	return member.server.HasModel(model)
}

func (member *member) hasAdapter(adapter Adapter, now time.Time) bool {
	if member.holding != nil && now.Before(member.holdingUntil) {
		return slices.Contains(member.holding.Adapters, adapter)
	}
	return member.server.HasAdapter(adapter)
}

func (member *member) busy(now time.Time) bool {
	return member.holding != nil && now.Before(member.holdingUntil) && member.holding.Busy
}

// silent reports whether requests are in flight and no byte has arrived for longer
// than [silentAfter].
func (member *member) silent(now time.Time) bool {
	return member.ownRequests > 0 && now.Sub(member.lastActiveAt) > silentAfter
}

func (member *member) paused(now time.Time) bool { return now.Before(member.pausedUntil) }

func (member *member) ejected(now time.Time) bool { return now.Before(member.ejectedUntil) }
