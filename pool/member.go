package pool

import (
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// member is what is known of one server.
type member struct {
	server *Server
	// own and others count the requests that this instance and the other ones
	// have under way there.
	own    int
	others int
	// unread counts the tokens of this instance's prompts that the server has not
	// answered yet.
	unread int64
	// heardAt is when bytes of any answer last came, or when the first of the
	// requests under way was sent.
	heardAt time.Time
	// answeredAt is when bytes of any answer last came, and lastAnswered when the
	// newest of the requests was sent that bytes came for.
	answeredAt   time.Time
	lastAnswered time.Time
	// holding is what the coordinator knows that the server holds; it is newer
	// than the registry until the time given.
	holding      *Holding
	holdingUntil time.Time
	// absent are models that the server said it lacks, until a time.
	absent map[names.Model]time.Time
	// failures counts failures since the last answer; ejectedUntil and ejections
	// tell how long no request goes there, and how often that happened.
	failures     int
	ejections    int
	ejectedUntil time.Time
	// restsUntil is until when the server wants no requests.
	restsUntil time.Time
	// errors is the moving share of answers that were the server's own errors.
	errors float64
	// slow counts requests that wait for a first byte for too long.
	slow int
	// goneAt is when the entry was found missing; zero while it is listed. lapsed
	// tells that an outage of the registry may be why.
	goneAt time.Time
	lapsed bool
}

func (member *member) slots() float64 { return float64(max(member.server.Slots, 1)) }

func (member *member) load() float64 { return float64(member.own+member.others) / member.slots() }

func (member *member) holds(model names.Model, now time.Time) bool {
	if until, found := member.absent[model]; found && now.Before(until) {
		return false
	}
	if member.holding != nil && now.Before(member.holdingUntil) {
		return slices.Contains(member.holding.Models, model)
	}
	return member.server.HasModel(model)
}

func (member *member) holdsAdapter(adapter Adapter, now time.Time) bool {
	if member.holding != nil && now.Before(member.holdingUntil) {
		return slices.Contains(member.holding.Adapters, adapter)
	}
	return member.server.HasAdapter(adapter)
}

func (member *member) busy(now time.Time) bool {
	return member.holding != nil && now.Before(member.holdingUntil) && member.holding.Busy
}

// silent tells whether no byte has come for long while requests are under way.
func (member *member) silent(now time.Time) bool {
	return member.own > 0 && now.Sub(member.heardAt) > silentAfter
}

func (member *member) resting(now time.Time) bool { return now.Before(member.restsUntil) }

func (member *member) ejected(now time.Time) bool { return now.Before(member.ejectedUntil) }
