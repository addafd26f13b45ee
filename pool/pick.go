package pool

import (
	"math"
	"slices"
	"time"
)

// Pick chooses a server for a request.
func (pool *Pool) Pick(query Query, now time.Time) Choice {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	candidates, pause, listed := pool.candidates(query, now)
	if len(candidates) == 0 {
		if pause > 0 {
			return Full{RetryAfter: pause}
		}
		if listed {
			return NoCopy{}
		}
		return NoServer{}
	}
	ratio := pool.requestRatio()
	best, _ := pool.best(candidates, query, ratio, now, func(*member) bool { return true })
	maxLoad := float64(maxPlainLoad)
	if query.Model != "" {
		maxLoad = maxEngineLoad
	}
	chosen := Chosen{Alternatives: len(candidates) - 1}
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

// candidates returns the members that may run the request, the time until the first
// paused one may, and whether any server of the service accepts requests at all. If
// all that may run it are ejected, it returns the ejected ones. The caller holds the
// mutex.
func (pool *Pool) candidates(query Query, now time.Time) (candidates []*member, pause time.Duration, listed bool) {
	var available, ejected []*member
	for _, member := range pool.members {
		if member.server.Service != query.Service || !pool.accepting(member, now) {
			continue
		}
		listed = true
		if slices.Contains(query.Tried, member.server.ID) {
			continue
		}
		if query.Model != "" && !member.hasModel(query.Model, now) {
			continue
		}
		if member.paused(now) {
			if left := member.pausedUntil.Sub(now); pause == 0 || left < pause {
				pause = left
			}
			continue
		}
		if member.ejected(now) {
			ejected = append(ejected, member)
		} else {
			available = append(available, member)
		}
	}
	if len(available) == 0 {
		return ejected, pause, listed
	}
	return available, pause, listed
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
	score := member.load() +
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
