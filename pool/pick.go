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
	candidates, rest, listed := pool.candidates(query, now)
	if len(candidates) == 0 {
		if rest > 0 {
			return Full{RetryAfter: rest}
		}
		if listed {
			return NoCopy{}
		}
		return NoServer{}
	}
	ratio := pool.allPerOwn()
	best, _ := pool.best(candidates, query, ratio, now, func(*member) bool { return true })
	full := float64(fullPlain)
	if query.Model != "" {
		full = fullEngine
	}
	chosen := Chosen{Alternatives: len(candidates) - 1}
	if query.Adapter != "" {
		adapter := Adapter{Model: query.Model, Name: query.Adapter}
		with, withScore := pool.best(candidates, query, ratio, now, func(member *member) bool { return member.holdsAdapter(adapter, now) })
		idle, idleScore := pool.best(candidates, query, ratio, now, func(member *member) bool { return !member.busy(now) })
		switch {
		case with != nil && withScore <= idleScore+adapterSlack:
			best = with
		case idle != nil:
			best, chosen.AdapterMissing = idle, true
		default:
			chosen.AdapterMissing = true
		}
	}
	if best.load() >= full {
		return Full{Load: best.load()}
	}
	chosen.Server, chosen.Load = best.server, best.load()
	return chosen
}

// candidates returns the members that may run the request, how long until the
// first of those that rest may, and whether any server of the service is usable at
// all. Where every one is ejected, it returns those. It is called with the mutex
// held.
func (pool *Pool) candidates(query Query, now time.Time) (candidates []*member, rest time.Duration, listed bool) {
	var good, ejected []*member
	for _, member := range pool.members {
		if member.server.Service != query.Service || !pool.open(member, now) {
			continue
		}
		listed = true
		if slices.Contains(query.Tried, member.server.ID) {
			continue
		}
		if query.Model != "" && !member.holds(query.Model, now) {
			continue
		}
		if member.resting(now) {
			if left := member.restsUntil.Sub(now); rest == 0 || left < rest {
				rest = left
			}
			continue
		}
		if member.ejected(now) {
			ejected = append(ejected, member)
		} else {
			good = append(good, member)
		}
	}
	if len(good) == 0 {
		return ejected, rest, listed
	}
	return good, rest, listed
}

// best returns the member with the least score of those that are fit, or nil.
func (pool *Pool) best(candidates []*member, query Query, ratio float64, now time.Time, fit func(*member) bool) (*member, float64) {
	var best *member
	bestScore := math.Inf(1)
	for _, member := range candidates {
		if !fit(member) {
			continue
		}
		score := pool.score(member, query, ratio, now)
		if score < bestScore {
			best, bestScore = member, score
		}
	}
	return best, bestScore
}

// score is the load of a member, and what else speaks against it, in loads. What
// other instances have begun is estimated from ratio, that of all requests to this
// one's.
func (pool *Pool) score(member *member, query Query, ratio float64, now time.Time) float64 {
	unread := float64(member.unread) * ratio
	unseen := unseenSpread * (1 - 1/ratio)
	score := member.load() +
		float64(member.slow)*slowPenalty +
		max(member.errors-toleratedErrors, 0)*errorPenalty +
		unread/promptChunk*promptPenalty +
		pool.config.Random()*(1/member.slots()+unseen)
	if member.silent(now) {
		score += silentPenalty
	}
	if member.server.Domain != query.Domain {
		score += distancePenalty
	}
	return score
}

// allPerOwn is how many requests all instances run for each of this one's.
// It is called with the mutex held.
func (pool *Pool) allPerOwn() float64 {
	own, others := 0, 0
	for _, member := range pool.members {
		own += member.own
		others += member.others
	}
	return 1 + float64(others)/float64(max(own, 1))
}
