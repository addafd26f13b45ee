package pool

import (
	"math"
	"time"

	"github.com/basilkeel/basilkeel/permit"
)

// Pick chooses a server for a request.
func (pool *Pool) Pick(query Query, now time.Time) Choice {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	eligible := pool.candidates(query, now)
	return pool.choose(&eligible, query, pool.config.Gate.Return, now)
}

// choose chooses among candidates. Next is used if all that are left are closed, see
// [Pool.returnTime]. The caller holds the mutex.
func (pool *Pool) choose(eligible *candidates, query Query, next func([]permit.Server, time.Time) time.Duration, now time.Time) Choice {
	candidates := eligible.usable
	if len(candidates) == 0 {
		switch {
		case eligible.pause > 0 || len(eligible.closed) > 0:
			return Full{RetryAfter: pool.returnTime(eligible.pause, eligible.closed, next, now), RateLimited: len(eligible.closed) > 0}
		case eligible.listed:
			return NoCopy{}
		default:
			return NoServer{}
		}
	}
	ratio := pool.requestRatio()
	score := func(member *member, score *Score) { pool.score(member, &query, ratio, now, score) }
	best, _ := eligible.best(score, func(*member) bool { return true })
	maxLoad := float64(maxPlainLoad)
	if query.Model != "" {
		maxLoad = maxEngineLoad
	}
	chosen := Chosen{Alternatives: len(candidates) - 1, Yields: eligible.yields && len(candidates) > 1}
	if query.Adapter != "" {
		adapter := Adapter{Model: query.Model, Name: query.Adapter}
		holder, holderScore := eligible.best(score, func(member *member) bool { return member.hasAdapter(adapter, now) })
		idle, idleScore := eligible.best(score, func(member *member) bool { return !member.busy(now) })
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
	// record, unless it is nil, is called with each score that is compared.
	record func(*member, Score)
}

// candidates returns the candidates for a query. The caller holds the mutex.
func (pool *Pool) candidates(query Query, now time.Time) candidates {
	var result candidates
	var reserved, ejected []*member
	restrictions := pool.config.Gate.Restrictions(now)
	for _, member := range pool.sorted {
		if member.server.Service != query.Service {
			continue
		}
		exclusion := pool.exclusion(member, &query, restrictions, now)
		result.listed = result.listed || exclusion.accepts()
		switch exclusion {
		case ExclusionPaused:
			if left := member.pausedUntil.Sub(now); result.pause == 0 || left < result.pause {
				result.pause = left
			}
		case ExclusionRateUsed:
			result.closed = append(result.closed, member.server.Identity())
		case ExclusionEjected:
			ejected = append(ejected, member)
		case ExclusionLastPermits:
			reserved = append(reserved, member)
		case ExclusionNone:
			result.usable = append(result.usable, member)
		default:
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

// best returns the usable and eligible member with the lowest score, or nil.
func (candidates *candidates) best(compute func(*member, *Score), eligible func(*member) bool) (*member, float64) {
	var best *member
	bestScore := math.Inf(1)
	var score Score
	for _, member := range candidates.usable {
		if !eligible(member) {
			continue
		}
		compute(member, &score)
		if candidates.record != nil {
			candidates.record(member, score)
		}
		if total := score.Total(); total < bestScore {
			best, bestScore = member, total
		}
	}
	return best, bestScore
}

// score computes the load of a member plus penalties in the unit of loads; lower is
// better. It estimates what other instances have sent from ratio, the number of all
// instances' requests for each of this one's.
func (pool *Pool) score(member *member, query *Query, ratio float64, now time.Time, score *Score) {
	unread := float64(member.unreadTokens) * ratio
	unseen := unseenSpread * (1 - 1/ratio)
	score.Load = member.queryLoad(query, now)
	score.Slow = float64(member.slowRequests) * slowPenalty
	score.Errors = max(member.errorRate-toleratedErrorRate, 0) * errorPenalty
	score.Prompt = unread / promptChunkTokens * promptPenalty
	score.Random = pool.config.Random() * (1/member.slots() + unseen)
	score.Silent, score.Distance = 0, 0
	if member.silent(now) {
		score.Silent = silentPenalty
	}
	if member.server.Domain != query.Domain {
		score.Distance = crossDomainPenalty
	}
}

// requestRatio returns how many requests all instances run for each of this one's.
// The caller holds the mutex.
func (pool *Pool) requestRatio() float64 {
	own, others := 0, 0
	for _, member := range pool.sorted {
		own += member.ownRequests
		others += member.otherRequests
	}
	return 1 + float64(others)/float64(max(own, 1))
}
