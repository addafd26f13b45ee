package pool

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
)

// unseenPeriods is how many registry periods without a new entry make the pool assume that
// a server has become cold, while other servers' entries arrive.
const unseenPeriods = 2.5

// ColdStart is what the policy declares of a service's servers: for Span after a start they
// are cold and accept PerSecond requests a second.
type ColdStart struct {
	Span      time.Duration
	PerSecond float64
}

// coldTimes is what is known of a server's cold time.
type coldTimes struct {
	// assumedAt is since when the server is assumed to be cold for the span of its service,
	// as it has started or was not observed; zero if it is not.
	assumedAt time.Time
	// assumedUntilEntryAt is the time from which an entry of the same incarnation ends the
	// assumption. One that is read earlier may be from before a failure of the server.
	assumedUntilEntryAt time.Time
	// statedUntil is until when its entry in the registry, and the time until the next
	// one, make it cold.
	statedUntil time.Time
}

// until returns until when the server is cold.
func (coldTimes coldTimes) until(coldStart ColdStart) time.Time {
	if assumedUntil := coldTimes.assumedAt.Add(coldStart.Span); !coldTimes.assumedAt.IsZero() && assumedUntil.After(coldTimes.statedUntil) {
		return assumedUntil
	}
	return coldTimes.statedUntil
}

// SetColdStarts sets what the policy declares of services.
func (pool *Pool) SetColdStarts(coldStarts map[names.Service]ColdStart, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.coldStarts = coldStarts
	for _, member := range pool.members {
		pool.updateCold(member, true, now)
	}
}

// RegistryRead records that the registry has been read for the first time. Servers that
// appear from then on are assumed to be cold unless their entries say otherwise.
func (pool *Pool) RegistryRead() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.registryRead = true
}

// assumeCold assumes that a server has become cold unobserved, such as when its failure
// domain is used again. A later entry of the server that states its cold time ends this. The
// caller holds the mutex.
func (pool *Pool) assumeCold(member *member, now time.Time) {
	member.cold.assumedAt = now
	pool.updateCold(member, false, now)
}

// assumeColdAfterFailure assumes that a server has ended and will be cold at the end of its
// ejection, perhaps before the registry tells of its restart. The caller holds the mutex.
func (pool *Pool) assumeColdAfterFailure(member *member, now time.Time) {
	if _, coldStarts := pool.coldStarts[member.server.Service]; !coldStarts {
		return
	}
	member.cold.assumedAt, member.cold.assumedUntilEntryAt = member.ejectedUntil, now.Add(pool.config.RegistryPeriod)
	pool.updateCold(member, true, now)
}

// observeCold applies the cold time in a server's entry. The entry may be a registry
// period old, and the next one may tell of another cold time that has begun meanwhile, so
// what it states counts a period longer unless another entry follows. The caller holds the
// mutex.
func (pool *Pool) observeCold(member *member, appeared, used bool) {
	server := member.server
	now := server.ListedAt
	if server.ColdStated && !now.Before(member.cold.assumedUntilEntryAt) {
		member.cold = coldTimes{}
	}
	switch {
	case server.ColdStated && server.ColdLeft > 0:
		member.cold.statedUntil = now.Add(server.ColdLeft + pool.config.RegistryPeriod)
	case server.ColdStated:
		member.cold.statedUntil = time.Time{}
	case appeared && pool.registryRead:
		member.cold.assumedAt = now
	}
	pool.updateCold(member, used, now)
}

// assumeUnseen assumes that servers whose entries were not renewed, although those of
// others were, have become cold: a domain may have been cut off. The caller holds the mutex.
func (pool *Pool) assumeUnseen(now time.Time) {
	if !pool.registryLostAt.IsZero() || !pool.registryRead || len(pool.coldStarts) == 0 {
		return
	}
	span := time.Duration(unseenPeriods * float64(pool.config.RegistryPeriod))
	if !pool.registryRecoveredAt.IsZero() && now.Sub(pool.registryRecoveredAt) <= span {
		// Not all entries have been renewed since.
		return
	}
	var newest time.Time
	for _, member := range pool.members {
		if member.server.ListedAt.After(newest) {
			newest = member.server.ListedAt
		}
	}
	if now.Sub(newest) > pool.config.RegistryPeriod {
		// No entry arrives: it is the registry that is not observed.
		return
	}
	for _, member := range pool.members {
		_, coldStarts := pool.coldStarts[member.server.Service]
		if coldStarts && member.delistedAt.IsZero() && newest.Sub(member.server.ListedAt) > span {
			member.cold.assumedAt = now
			pool.updateCold(member, true, now)
		}
	}
}

// updateCold tells the gate until when a server is cold. Used reports whether it may have
// been sent requests without permits until now. The caller holds the mutex.
func (pool *Pool) updateCold(member *member, used bool, now time.Time) {
	coldStart, found := pool.coldStarts[member.server.Service]
	if !found {
		pool.config.Gate.SetCold(member.server.Identity(), permit.Cold{}, used, now)
		return
	}
	pool.config.Gate.SetCold(member.server.Identity(), permit.Cold{PerSecond: coldStart.PerSecond, Until: member.cold.until(coldStart)}, used, now)
}

// ColdServers returns the servers that are cold, with the rates that they accept.
func (pool *Pool) ColdServers(now time.Time) map[permit.Server]float64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	cold := map[permit.Server]float64{}
	for _, member := range pool.members {
		server := member.server.Identity()
		if perSecond, isCold := pool.config.Gate.Cold(server, now); isCold {
			cold[server] = perSecond
		}
	}
	return cold
}

// ColdRate returns the rate that a server accepts while it is cold, or false.
func (pool *Pool) ColdRate(server *Server, now time.Time) (float64, bool) {
	return pool.config.Gate.Cold(server.Identity(), now)
}
