package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
)

// Exclusion is why a server of a query's service is not chosen.
type Exclusion int

// Exclusions of servers that accept requests.
const (
	// ExclusionNone means that the server qualifies.
	ExclusionNone Exclusion = iota
	ExclusionTried
	ExclusionModelMissing
	ExclusionPaused
	// ExclusionRateUsed means that there is no permit for the server.
	ExclusionRateUsed
	// ExclusionEjected and ExclusionLastPermits are those of servers that are chosen only if
	// no other is usable: they have failed lately, or their last permits are kept.
	ExclusionEjected
	ExclusionLastPermits
)

// Exclusions of servers that accept no new requests, or none of the query's. They follow all
// others.
const (
	ExclusionDraining Exclusion = iota + ExclusionLastPermits + 1
	ExclusionGone
	ExclusionDeparted
	ExclusionEvacuated
	ExclusionHome
)

// String implements [fmt.Stringer]. It is empty for ExclusionNone.
func (exclusion Exclusion) String() string {
	return [...]string{
		ExclusionNone: "", ExclusionTried: "tried", ExclusionModelMissing: "modelMissing", ExclusionPaused: "paused", ExclusionRateUsed: "rateUsed",
		ExclusionEjected: "ejected", ExclusionLastPermits: "lastPermits", ExclusionDraining: "draining", ExclusionGone: "gone",
		ExclusionDeparted: "departed", ExclusionEvacuated: "evacuated", ExclusionHome: "home",
	}[exclusion]
}

// accepts reports whether a server with the exclusion accepts requests of the kind.
func (exclusion Exclusion) accepts() bool { return exclusion < ExclusionDraining }

// exclusion returns why a server of the query's service is not among the best candidates.
// The caller holds the mutex.
func (pool *Pool) exclusion(member *member, query *Query, restrictions map[permit.Server]permit.Restriction, now time.Time) Exclusion {
	if closure := pool.closure(member, now); closure != ExclusionNone {
		return closure
	}
	switch {
	case !query.Permits(member.server):
		return ExclusionHome
	case slices.Contains(query.Tried, member.server.ID):
		return ExclusionTried
	case query.Model != "" && !member.hasModel(query.Model, now):
		return ExclusionModelMissing
	case member.paused(now):
		return ExclusionPaused
	}
	restriction := restrictions[member.server.Identity()]
	switch {
	case restriction == permit.RestrictionClosed:
		return ExclusionRateUsed
	case member.ejected(now):
		return ExclusionEjected
	case restriction == permit.RestrictionYielding:
		return ExclusionLastPermits
	default:
		return ExclusionNone
	}
}

// Score is the load of a server with penalties, in the unit of loads; lower is better.
type Score struct {
	Load float64
	// Slow is the penalty for requests whose first byte is overdue, Errors that for failed
	// requests, Prompt that for prompts that the server has not read.
	Slow   float64
	Errors float64
	Prompt float64
	// Random spreads the choices of instances that do not see each other's latest requests.
	// It is drawn anew for each comparison.
	Random float64
	// Silent is the penalty for requests in flight without a byte, Distance that for another
	// failure domain.
	Silent   float64
	Distance float64
}

// Total returns the sum of the parts.
func (score *Score) Total() float64 {
	return score.Load + score.Slow + score.Errors + score.Prompt + score.Random + score.Silent + score.Distance
}

// Candidate is a server of a query's service as [Pool.Explain] shows it.
type Candidate struct {
	Server *Server
	// Excluded is why the server was not compared with others, ExclusionNone if it was.
	Excluded Exclusion
	// Score is the last one that was compared. It is zero if the server is excluded.
	Score Score
	// AdapterMissing and Busy report whether the server lacks the query's adapter, and whether
	// it accepts no order to load it.
	AdapterMissing bool
	Busy           bool
}

// Explain returns what [Pool.Pick] chooses for a query, and all servers of its service, the
// best first. It changes nothing. The random parts of scores are drawn for each call.
func (pool *Pool) Explain(query Query, now time.Time) (Choice, []Candidate) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	scores := map[*member]Score{}
	eligible := pool.candidates(&query, now)
	eligible.record = func(member *member, score Score) { scores[member] = score }
	choice := pool.choose(&eligible, &query, pool.config.Gate.NextReturn, now)
	restrictions := pool.config.Gate.Restrictions(now)
	listed := pool.byService[query.Service]
	explained := slices.Grow([]Candidate(nil), len(listed))
	for _, member := range listed {
		candidate := Candidate{Server: member.server, Busy: member.busy(now)}
		candidate.AdapterMissing = query.Adapter != "" && !member.hasAdapter(Adapter{Model: query.Model, Name: query.Adapter}, now)
		score, compared := scores[member]
		if candidate.Score = score; !compared {
			candidate.Excluded = pool.exclusion(member, &query, restrictions, now)
		}
		explained = append(explained, candidate)
	}
	chosen := names.BackendServer("")
	if choice, isChosen := choice.(Chosen); isChosen {
		chosen = choice.Server.ID
	}
	// The chosen server is not always that with the lowest score, as for adapters.
	rank := func(candidate *Candidate) int {
		switch {
		case candidate.Server.ID == chosen:
			return 0
		case candidate.Excluded == ExclusionNone:
			return 1
		default:
			return 2
		}
	}
	slices.SortFunc(explained, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rank(&a), rank(&b)), cmp.Compare(a.Score.Total(), b.Score.Total()), cmp.Compare(a.Server.ID, b.Server.ID))
	})
	return choice, explained
}
