package route

import (
	"slices"
	"time"
)

// requestCost is the wait that a request sent since the last report adds.
const requestCost = 0.008

// Pick chooses a server for query, or returns an *[UnavailableError].
func (router *Router) Pick(now time.Time, query Query) (Choice, error) {
	view := router.view(now, query.Target)
	probe := router.candidates(now, view, &query)
	if probe != nil {
		return choose(probe, ReasonProbe), nil
	}
	candidates := router.scratch
	switch len(candidates) {
	case 0:
		return Choice{}, unavailable(now, view, &query)
	case 1:
		return choose(candidates[0], ReasonOnly), nil
	}
	best := router.lighter(now, candidates)
	if affine := router.affine(now, candidates, &query, best); affine != nil {
		return choose(affine, ReasonAffinity), nil
	}
	return choose(best, ReasonLoad), nil
}

func choose(member *member, reason Reason) Choice {
	return Choice{Server: member.replica.Server, Domain: member.replica.Domain, Reason: reason}
}

// candidates fills scratch with the members that may be picked. It returns a
// member instead if one that was set aside is to be tried.
func (router *Router) candidates(now time.Time, view *view, query *Query) *member {
	router.scratch = router.scratch[:0]
	router.aside = router.aside[:0]
	for i := range view.members {
		member := &view.members[i]
		if !member.usable(now, query) {
			continue
		}
		if member.server.aside() {
			if query.Idempotent && member.server.probeDue(now) {
				return member
			}
			router.aside = append(router.aside, member)
			continue
		}
		router.scratch = append(router.scratch, member)
	}
	router.readmit()
	return nil
}

// readmit adds members that were set aside beyond the share that may be, those
// that come back soonest first.
func (router *Router) readmit() {
	usable := len(router.scratch) + len(router.aside)
	surplus := len(router.aside) - int(router.config.MaxEjectedShare*float64(usable))
	if surplus <= 0 {
		return
	}
	slices.SortStableFunc(router.aside, func(left, right *member) int {
		return left.server.until.Compare(right.server.until)
	})
	router.scratch = append(router.scratch, router.aside[:surplus]...)
}

// lighter compares two members drawn at random, and a nearby one where the
// draw was far.
func (router *Router) lighter(now time.Time, candidates []*member) *member {
	if router.config.Policy.LeastLoaded {
		return router.least(now, candidates)
	}
	first := router.random.IntN(len(candidates))
	second := router.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	best := router.better(now, candidates[first], candidates[second])
	if best.distance > 0 {
		if near := router.near(candidates); near != nil {
			best = router.better(now, near, best)
		}
	}
	return best
}

// near draws one of the members in this instance's failure domain.
func (router *Router) near(candidates []*member) *member {
	var found *member
	count := 0
	for _, member := range candidates {
		if member.distance > 0 {
			continue
		}
		count++
		if router.random.IntN(count) == 0 {
			found = member
		}
	}
	return found
}

func (router *Router) least(now time.Time, candidates []*member) *member {
	best := candidates[0]
	for _, member := range candidates[1:] {
		best = router.better(now, best, member)
	}
	return best
}

func (router *Router) better(now time.Time, left, right *member) *member {
	if router.score(now, right) < router.score(now, left) {
		return right
	}
	return left
}

// score is the expected time to the first token, in seconds. What a report says
// counts the less the older it is; the mean of all servers takes its place.
func (router *Router) score(now time.Time, member *member) float64 {
	return router.load(now, member.server) + member.distance.Seconds()
}

func (router *Router) load(now time.Time, server *server) float64 {
	trust := server.trust(now, router.config.HalfLife)
	wait := trust*server.load.FirstToken.Seconds() + (1-trust)*router.wait
	pending := max(float64(server.sent), (1-trust)*float64(server.flying))
	return wait + requestCost*pending
}

// affine returns the member that may hold the request's prefix or adapter, if
// its load is within bounds.
func (router *Router) affine(now time.Time, candidates []*member, query *Query, best *member) *member {
	key := query.affinity()
	if key == 0 || router.config.Policy.NoAffinity {
		return nil
	}
	first, second := ranked(candidates, key)
	sum := 0.0
	for _, member := range candidates {
		sum += router.load(now, member.server) + requestCost
	}
	limit := router.config.AffinityBound * sum / float64(len(candidates))
	bar := router.score(now, best) + router.config.AffinityGain.Seconds()
	for _, member := range [...]*member{first, second} {
		if router.load(now, member.server) <= limit && router.score(now, member) <= bar {
			return member
		}
	}
	return nil
}

// ranked returns the two members with the highest rendezvous hash for key.
func ranked(candidates []*member, key uint64) (first, second *member) {
	var highest, next uint64
	for _, member := range candidates {
		hash := mix(key, member.server.hash)
		switch {
		case first == nil || hash > highest:
			second, next = first, highest
			first, highest = member, hash
		case second == nil || hash > next:
			second, next = member, hash
		}
	}
	return first, second
}

func unavailable(now time.Time, view *view, query *Query) error {
	unavailableError := &UnavailableError{
		Target:   view.target,
		Replicas: len(view.members),
		Tried:    len(query.Tried),
	}
	for i := range view.members {
		if view.members[i].replica.Leaving || view.members[i].server.leaving(now) {
			unavailableError.Leaving++
		}
	}
	return unavailableError
}
