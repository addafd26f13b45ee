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
	eligible := pool.candidates(&query, now)
	return pool.choose(&eligible, &query, pool.config.Gate.Return, now)
}

// choose chooses among candidates. Next is used if all that are left are closed, see
// [Pool.returnTime]. The caller holds the mutex.
func (pool *Pool) choose(eligible *candidates, query *Query, next func([]permit.Server, time.Time) time.Duration, now time.Time) Choice {
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
	scorer := pool.newScorer(query, now)
	best, _ := scorer.best(eligible, amongAll)
	maxLoad := float64(maxPlainLoad)
	if query.Model != "" {
		maxLoad = maxEngineLoad
	}
	chosen := Chosen{Alternatives: len(candidates) - 1, Yields: eligible.yields && len(candidates) > 1}
	if query.Adapter != "" {
		holder, holderScore := scorer.best(eligible, amongHolders)
		idle, idleScore := scorer.best(eligible, amongIdle)
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
func (pool *Pool) candidates(query *Query, now time.Time) candidates {
	result := candidates{usable: pool.usable[:0]}
	var reserved, ejected []*member
	restrictions := pool.config.Gate.Restrictions(now)
	for _, member := range pool.byService[query.Service] {
		exclusion := pool.exclusion(member, query, restrictions, now)
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
	pool.usable = result.usable
	if len(result.usable) == 0 {
		result.usable = reserved
	}
	if len(result.usable) == 0 {
		result.usable = ejected
	}
	return result
}

// group is a part of the candidates.
type group int

const (
	amongAll group = iota
	// amongHolders are those that hold the query's adapter, amongIdle those that accept an
	// order to load it.
	amongHolders
	amongIdle
)

// scorer computes the scores of members for a query.
type scorer struct {
	pool  *Pool
	query *Query
	now   time.Time
	// ratio is the number of all instances' requests for each of this one's, from which it is
	// estimated what the others have sent. unseen is the load over which choices are
	// randomized because of the others.
	ratio  float64
	unseen float64
}

// newScorer returns a scorer. The caller holds the mutex.
func (pool *Pool) newScorer(query *Query, now time.Time) scorer {
	ratio := pool.requestRatio()
	return scorer{pool: pool, query: query, now: now, ratio: ratio, unseen: unseenSpread * (1 - 1/ratio)}
}

// best returns the usable member of a group with the lowest score, or nil.
func (scorer *scorer) best(candidates *candidates, group group) (*member, float64) {
	var best *member
	bestScore := math.Inf(1)
	var score Score
	for _, member := range candidates.usable {
		if !scorer.includes(group, member) {
			continue
		}
		scorer.score(member, &score)
		if candidates.record != nil {
			candidates.record(member, score)
		}
		if total := score.Total(); total < bestScore {
			best, bestScore = member, total
		}
	}
	return best, bestScore
}

// includes reports whether a member belongs to a group.
func (scorer *scorer) includes(group group, member *member) bool {
	switch group {
	case amongHolders:
		return member.hasAdapter(Adapter{Model: scorer.query.Model, Name: scorer.query.Adapter}, scorer.now)
	case amongIdle:
		return !member.busy(scorer.now)
	default:
		return true
	}
}

// score computes the load of a member plus penalties in the unit of loads; lower is
// better.
func (scorer *scorer) score(member *member, score *Score) {
	slots := member.slots()
	score.Load = member.queryLoad(scorer.query, scorer.now)
	score.Slow = float64(member.slowRequests) * slowPenalty
	score.Errors = max(member.errorRate-toleratedErrorRate, 0) * errorPenalty
	score.Prompt = float64(member.unreadTokens) * scorer.ratio / promptChunkTokens * promptPenalty
	score.Random = scorer.pool.config.Random() * (1/slots + scorer.unseen)
	score.Silent, score.Distance = 0, 0
	if member.silent(scorer.now) {
		score.Silent = silentPenalty
	}
	if member.server.Domain != scorer.query.Domain {
		score.Distance = crossDomainPenalty
	}
}

// requestRatio returns how many requests all instances run for each of this one's.
// The caller holds the mutex.
func (pool *Pool) requestRatio() float64 {
	return 1 + float64(pool.otherRequests)/float64(max(pool.ownRequests, 1))
}
