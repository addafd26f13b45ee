package pool

import (
	"math"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/permit"
)

// Pick chooses a server for a request.
func (pool *Pool) Pick(query Query, now time.Time) Choice {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	eligible := pool.candidates(query, now)
	candidates := eligible.usable
	if len(candidates) == 0 {
		switch {
		case eligible.pause > 0 || len(eligible.closed) > 0:
			return Full{RetryAfter: pool.returnTime(eligible.pause, eligible.closed, now), RateLimited: len(eligible.closed) > 0}
		case eligible.listed:
			return NoCopy{}
		default:
			return NoServer{}
		}
	}
	ratio := pool.requestRatio()
	best, _ := pool.best(candidates, query, ratio, now, func(*member) bool { return true })
	maxLoad := float64(maxPlainLoad)
	if query.Model != "" {
		maxLoad = maxEngineLoad
	}
	chosen := Chosen{Alternatives: len(candidates) - 1, Yields: eligible.yields && len(candidates) > 1}
	if query.Adapter != "" {
		adapter := Adapter{Model: query.Model, Name: query.Adapter}
		holder, holderScore := pool.best(candidates, query, ratio, now, func(member *member) bool { return member.hasAdapter(adapter, now) })
		idle, idleScore := pool.best(candidates, query, ratio, now, func(member *member) bool { return !member.busy(now) })
		switch {
		case holder != nil && holderScore <= idleScore+adapterSlack:
			best = holder
		case idle != nil:
			best, chosen.AdapterMissing = idle, true
		default:
			chosen.AdapterMissing = true
		}
	}
	if best.load() >= maxLoad {
		return Full{Load: best.load()}
	}
	chosen.Server, chosen.Load = best.server, best.load()
	return chosen
}

// candidates are the members that hold what a query needs.
type candidates struct {
	// usable are those that may run the request now. Without any, it is those whose last
	// permits are kept for such requests, and without these the ejected ones.
	usable []*member
	// yields reports whether usable are members of the first kind.
	yields bool
	// pause is the time until the first paused one may run it, or zero.
	pause time.Duration
	// closed are those that declare a request rate and have no permit left.
	closed []permit.Server
	// listed reports whether any server of the service accepts requests at all.
	listed bool
}

// candidates returns the candidates for a query. The caller holds the mutex.
func (pool *Pool) candidates(query Query, now time.Time) candidates {
	var result candidates
	var reserved, ejected []*member
	restrictions := pool.config.Gate.Restrictions(now)
	for _, member := range pool.members {
		if member.server.Service != query.Service || !pool.accepting(member, now) || !query.Permits(member.server) {
			continue
		}
		result.listed = true
		if slices.Contains(query.Tried, member.server.ID) {
			continue
		}
		if query.Model != "" && !member.hasModel(query.Model, now) {
			continue
		}
		if member.paused(now) {
			if left := member.pausedUntil.Sub(now); result.pause == 0 || left < result.pause {
				result.pause = left
			}
			continue
		}
		restriction := restrictions[member.server.Identity()]
		switch {
		case restriction == permit.RestrictionClosed:
			result.closed = append(result.closed, member.server.Identity())
		case member.ejected(now):
			ejected = append(ejected, member)
		case restriction == permit.RestrictionYielding:
			reserved = append(reserved, member)
		default:
			result.usable = append(result.usable, member)
		}
	}
	result.yields = len(result.usable) > 0
	if len(result.usable) == 0 {
		result.usable = reserved
	}
	if len(result.usable) == 0 {
		result.usable = ejected
	}
	return result
}

// best returns the eligible member with the lowest score, or nil.
func (pool *Pool) best(candidates []*member, query Query, ratio float64, now time.Time, eligible func(*member) bool) (*member, float64) {
	var best *member
	bestScore := math.Inf(1)
	for _, member := range candidates {
		if !eligible(member) {
			continue
		}
		score := pool.score(member, query, ratio, now)
		if score < bestScore {
			best, bestScore = member, score
		}
	}
	return best, bestScore
}

// score returns the load of a member plus penalties in the unit of loads; lower is
// better. It estimates what other instances have sent from ratio, the number of all
// instances' requests for each of this one's.
func (pool *Pool) score(member *member, query Query, ratio float64, now time.Time) float64 {
	unread := float64(member.unreadTokens) * ratio
	unseen := unseenSpread * (1 - 1/ratio)
	score := member.queryLoad(&query, now) +
		float64(member.slowRequests)*slowPenalty +
		max(member.errorRate-toleratedErrorRate, 0)*errorPenalty +
		unread/promptChunkTokens*promptPenalty +
		pool.config.Random()*(1/member.slots()+unseen)
	if member.silent(now) {
		score += silentPenalty
	}
	if member.server.Domain != query.Domain {
		score += crossDomainPenalty
	}
	return score
}

// requestRatio returns how many requests all instances run for each of this one's.
// The caller holds the mutex.
func (pool *Pool) requestRatio() float64 {
	own, others := 0, 0
	for _, member := range pool.members {
		own += member.ownRequests
		others += member.otherRequests
	}
	return 1 + float64(others)/float64(max(own, 1))
}
