package pool

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// SetEvacuated replaces the failure domains whose servers get no requests. Servers without
// a failure domain are never evacuated.
func (pool *Pool) SetEvacuated(domains []names.FailureDomain, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	former := pool.evacuated
	pool.evacuated = map[names.FailureDomain]struct{}{}
	for _, domain := range domains {
		if domain != "" {
			pool.evacuated[domain] = struct{}{}
			delete(pool.returnedAt, domain)
		}
	}
	for _, member := range pool.members {
		domain := member.server.Domain
		if _, was := former[domain]; was && !pool.isEvacuated(domain) {
			pool.returnedAt[domain] = now
			pool.assumeCold(member, now)
		}
	}
	pool.notifyChanged()
}

// Evacuated reports whether the servers of a failure domain get no requests.
func (pool *Pool) Evacuated(domain names.FailureDomain) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.isEvacuated(domain)
}

// ReturnedAt returns when the last evacuation of a failure domain ended. It returns false
// if the domain is evacuated, or has not been while it had servers.
func (pool *Pool) ReturnedAt(domain names.FailureDomain) (time.Time, bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	returnedAt, found := pool.returnedAt[domain]
	return returnedAt, found
}

// isEvacuated is [Pool.Evacuated]. The caller holds the mutex.
func (pool *Pool) isEvacuated(domain names.FailureDomain) bool {
	if len(pool.evacuated) == 0 {
		return false
	}
	_, evacuated := pool.evacuated[domain]
	return evacuated
}
