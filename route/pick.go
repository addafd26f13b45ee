package route

import (
	"slices"
	"time"
)

// requestCostSeconds is the wait that each request sent since a server's last
// load report is assumed to add.
const requestCostSeconds = 0.008

// Pick returns the server for query, or an *[UnavailableError] if there is none.
func (router *Router) Pick(now time.Time, query Query) (Choice, error) {
	view := router.view(now, query.Target)
	probe := router.collectCandidates(now, view, &query)
	if probe != nil {
		return newChoice(probe, ReasonProbe), nil
	}
	candidates := router.candidateBuffer
	switch len(candidates) {
	case 0:
		return Choice{}, newUnavailableError(now, view, &query)
	case 1:
		return newChoice(candidates[0], ReasonOnly), nil
	}
	best := router.pickByLoad(now, candidates)
	if affine := router.pickAffine(now, candidates, &query, best); affine != nil {
		return newChoice(affine, ReasonAffinity), nil
	}
	return newChoice(best, ReasonLoad), nil
}

// newChoice returns the choice of member.
func newChoice(member *member, reason Reason) Choice {
	return Choice{Server: member.replica.Server, Domain: member.replica.Domain, Reason: reason}
}

// collectCandidates fills candidateBuffer with the members that may be picked.
// If an ejected member is due for a probe and the request may serve as one, it
// returns that member instead; otherwise nil.
func (router *Router) collectCandidates(now time.Time, view *view, query *Query) *member {
	router.candidateBuffer = router.candidateBuffer[:0]
	router.ejectedBuffer = router.ejectedBuffer[:0]
	for i := range view.members {
		member := &view.members[i]
		if !member.usable(now, query) {
			continue
		}
		if member.server.ejected() {
			if query.Idempotent && member.server.probeDue(now) {
				return member
			}
			router.ejectedBuffer = append(router.ejectedBuffer, member)
			continue
		}
		router.candidateBuffer = append(router.candidateBuffer, member)
	}
	router.readmit()
	return nil
}

// readmit makes ejected members beyond the permitted share candidates again,
// those whose ejection ends soonest first.
func (router *Router) readmit() {
	usable := len(router.candidateBuffer) + len(router.ejectedBuffer)
	surplus := len(router.ejectedBuffer) - int(router.config.MaxEjectedShare*float64(usable))
	if surplus <= 0 {
		return
	}
	slices.SortStableFunc(router.ejectedBuffer, func(left, right *member) int {
		return left.server.ejectedUntil.Compare(right.server.ejectedUntil)
	})
	router.candidateBuffer = append(router.candidateBuffer, router.ejectedBuffer[:surplus]...)
}

// pickByLoad returns the less loaded of two random members (power of two
// choices). If that one is in another failure domain, it also compares it with
// a random member in this instance's domain.
func (router *Router) pickByLoad(now time.Time, candidates []*member) *member {
	if router.config.Policy.LeastLoaded {
		return router.leastLoaded(now, candidates)
	}
	first := router.random.IntN(len(candidates))
	second := router.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	best := router.lessLoaded(now, candidates[first], candidates[second])
	if best.distance > 0 {
		if local := router.pickLocal(candidates); local != nil {
			best = router.lessLoaded(now, local, best)
		}
	}
	return best
}

// pickLocal returns a random member in this instance's failure domain, or nil.
func (router *Router) pickLocal(candidates []*member) *member {
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

func (router *Router) leastLoaded(now time.Time, candidates []*member) *member {
	best := candidates[0]
	for _, member := range candidates[1:] {
		best = router.lessLoaded(now, best, member)
	}
	return best
}

func (router *Router) lessLoaded(now time.Time, left, right *member) *member {
	if router.score(now, right) < router.score(now, left) {
		return right
	}
	return left
}

// score returns the expected time to the first token, in seconds, with the
// distance to the member.
func (router *Router) score(now time.Time, member *member) float64 {
	return router.load(now, member.server) + member.distance.Seconds()
}

// load returns the expected wait at a server, in seconds. As its last report
// ages, the mean wait of all servers takes the report's place.
func (router *Router) load(now time.Time, server *server) float64 {
	weight := server.reportWeight(now, router.config.HalfLife)
	wait := weight*server.load.FirstToken.Seconds() + (1-weight)*router.meanWait
	pending := max(float64(server.sentSinceReport), (1-weight)*float64(server.inFlight))
	return wait + requestCostSeconds*pending
}

// pickAffine returns a member that may have the request's prefix cached or its
// adapter loaded: the first of the two that rendezvous hashing ranks highest
// whose load is within the bound and whose score is not worse than that of best
// by more than AffinityGain. It returns nil if there is none.
func (router *Router) pickAffine(now time.Time, candidates []*member, query *Query, best *member) *member {
	key := query.affinityKey()
	if key == 0 || router.config.Policy.NoAffinity {
		return nil
	}
	first, second := topRanked(candidates, key)
	sum := 0.0
	for _, member := range candidates {
		sum += router.load(now, member.server) + requestCostSeconds
	}
	maxLoad := router.config.AffinityBound * sum / float64(len(candidates))
	maxScore := router.score(now, best) + router.config.AffinityGain.Seconds()
	for _, member := range [...]*member{first, second} {
		if router.load(now, member.server) <= maxLoad && router.score(now, member) <= maxScore {
			return member
		}
	}
	return nil
}

// topRanked returns the two members with the highest rendezvous hash for key.
func topRanked(candidates []*member, key uint64) (first, second *member) {
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

func newUnavailableError(now time.Time, view *view, query *Query) error {
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
